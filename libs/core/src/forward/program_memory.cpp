#include <core/forward/program_memory.hpp>

namespace cuminledge::core::forward {

namespace {

    void evictOldest(recent_programs& programs)
    {
        const auto& [at, program] = programs.admissions.front();
        const auto found = programs.lastAdmitted.find(program);
        if (found != programs.lastAdmitted.end() && found->second == at) {
            programs.lastAdmitted.erase(found);
        }
        programs.admissions.pop_front();
    }

} // namespace

void recordAdmission(recent_programs& programs, const std::string& program, time_point now)
{
    if (program.empty()) {
        return;
    }
    programs.lastAdmitted[program] = now;
    programs.admissions.emplace_back(now, program);
    while (programs.admissions.size() > programs.maxPrograms || programs.admissions.front().first + programs.retention <= now) {
        evictOldest(programs);
    }
}

bool isActive(const recent_programs& programs, const std::string& program, time_point now)
{
    const auto found = programs.lastAdmitted.find(program);
    return found != programs.lastAdmitted.end() && found->second + programs.retention > now;
}

} // namespace cuminledge::core::forward
