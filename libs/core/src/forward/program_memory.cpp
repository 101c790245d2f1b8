#include <core/forward/program_memory.hpp>

namespace cuminledge::core::forward {

namespace {

    void forgetOldest(program_memory& memory)
    {
        const auto& [at, program] = memory.order.front();
        const auto found = memory.lastSeen.find(program);
        if (found != memory.lastSeen.end() && found->second == at) {
            memory.lastSeen.erase(found);
        }
        memory.order.pop_front();
    }

} // namespace

void noteAdmitted(program_memory& memory, const std::string& program, time_point now)
{
    if (program.empty()) {
        return;
    }
    memory.lastSeen[program] = now;
    memory.order.emplace_back(now, program);
    while (memory.order.size() > memory.maxPrograms || memory.order.front().first + memory.retention <= now) {
        forgetOldest(memory);
    }
}

bool isUnderWay(const program_memory& memory, const std::string& program, time_point now)
{
    const auto found = memory.lastSeen.find(program);
    return found != memory.lastSeen.end() && found->second + memory.retention > now;
}

} // namespace cuminledge::core::forward
