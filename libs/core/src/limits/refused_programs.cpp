#include <core/limits/refused_programs.hpp>

namespace cuminledge::core::limits {

namespace {

    /// Clients wait a few seconds at most between two tries.
    constexpr std::chrono::milliseconds rememberedFor { 10'000 };
    constexpr std::size_t maxRefusals = 20'000;

    void forgetOldest(refused_programs& programs)
    {
        const auto& [at, program] = programs.refusals.front();
        const auto found = programs.lastRefused.find(program);
        const bool isLast = found != programs.lastRefused.end() && found->second == at;
        if (isLast) {
            programs.lastRefused.erase(found);
        }
        programs.refusals.pop_front();
    }

} // namespace

void forgetOld(refused_programs& programs, time_point now)
{
    while (!programs.refusals.empty() && programs.refusals.front().first + rememberedFor <= now) {
        forgetOldest(programs);
    }
}

void noteRefused(refused_programs& programs, const std::string& program, time_point now)
{
    if (programs.refusals.size() >= maxRefusals) {
        forgetOldest(programs);
    }
    programs.lastRefused[program] = now;
    programs.refusals.emplace_back(now, program);
}

bool noteAdmitted(refused_programs& programs, const std::string& program)
{
    return programs.lastRefused.erase(program) != 0;
}

bool wasRefused(const refused_programs& programs, const std::string& program)
{
    return programs.lastRefused.contains(program);
}

} // namespace cuminledge::core::limits
