#include <controller/internal.hpp>

#include <core/group.hpp>

namespace cuminledge::core::controller {

namespace {

    /// Until an end or abandonment that was proposed is proposed again.
    constexpr std::chrono::milliseconds proposalPause = std::chrono::seconds(1);

    /// When the program is looked at again: when its idle lease ends, or its turn under way has taken too long.
    time_point dueAt(const controller_settings& settings, const store::program& p, time_point lastActivity)
    {
        return lastActivity + (p.underWay.turn != 0 ? settings.turnTimeout : p.idleTimeout);
    }

    const store::program* findOpen(const hosted_group& group, const std::string& id)
    {
        const auto found = group.shard.programs.find(id);
        const bool isOpen = found != group.shard.programs.end() && found->second.endedOrder == 0;
        return isOpen ? &found->second : nullptr;
    }

    /// What the lost attempt used is not known, so the worst case is charged.
    void abandonLostTurn(reduction& r, hosted_group& group, const store::program& p)
    {
        ++r.state.counters.lostTurns;
        log(r, log_level::Warning, "turn_lost", { { "program", p.id }, { "attempt", p.underWay.attempt } });
        const wire::abandon_turn command { p.id, p.account, p.underWay.turn, p.underWay.attempt, p.underWay.tokens };
        static_cast<void>(propose(r, group, command, own_origin {}));
    }

    void endIdleProgram(reduction& r, hosted_group& group, const store::program& p)
    {
        ++r.state.counters.idlePrograms;
        log(r, log_level::Info, "program_idle", { { "program", p.id }, { "account", p.account } });
        static_cast<void>(propose(r, group, wire::end_program { p.id, "", "idle" }, own_origin {}));
    }

    void scheduleCheck(program_watch& watch, const std::string& id, time_point at)
    {
        auto& watched = watch.programs[id];
        watch.checks.erase({ watched.nextCheck, id });
        watched.nextCheck = at;
        watch.checks.insert({ at, id });
    }

    void stopWatching(program_watch& watch, const std::string& id)
    {
        const auto watched = watch.programs.find(id);
        if (watched != watch.programs.end()) {
            watch.checks.erase({ watched->second.nextCheck, id });
            watch.programs.erase(watched);
        }
    }

    void checkProgram(reduction& r, hosted_group& group, const std::string& id)
    {
        const auto* p = findOpen(group, id);
        if (p == nullptr) {
            stopWatching(group.watch, id);
            return;
        }
        const auto due = dueAt(r.state.settings, *p, group.watch.programs[id].lastActivity);
        if (r.now < due) {
            scheduleCheck(group.watch, id, due);
            return;
        }
        // The proposal may not be committed; then it is made again after a while.
        scheduleCheck(group.watch, id, r.now + proposalPause);
        if (p->underWay.turn != 0) {
            abandonLostTurn(r, group, *p);
        } else {
            endIdleProgram(r, group, *p);
        }
    }

} // namespace

void startWatching(reduction& r, hosted_group& group)
{
    group.watch = {};
    for (const auto& [id, p] : group.shard.programs) {
        if (p.endedOrder == 0) {
            group.watch.programs[id].lastActivity = r.now;
            scheduleCheck(group.watch, id, dueAt(r.state.settings, p, r.now));
        }
    }
}

void noteActivity(reduction& r, hosted_group& group, const std::string& program)
{
    if (!group.isServing) {
        return;
    }
    const auto* p = findOpen(group, program);
    if (p == nullptr) {
        stopWatching(group.watch, program);
        return;
    }
    const bool isNew = !group.watch.programs.contains(program);
    auto& watched = group.watch.programs[program];
    watched.lastActivity = r.now;
    // A check that comes too early looks at the last activity and waits on, so it is moved only to come earlier.
    const auto due = dueAt(r.state.settings, *p, r.now);
    if (isNew || due < watched.nextCheck) {
        scheduleCheck(group.watch, program, due);
    }
}

void checkPrograms(reduction& r, hosted_group& group)
{
    auto& checks = group.watch.checks;
    while (group.isServing && !checks.empty() && checks.begin()->first <= r.now) {
        const auto id = checks.begin()->second;
        checkProgram(r, group, id);
    }
}

void countTime(reduction& r, hosted_group& group)
{
    const bool isDue = r.now - group.clockCountedAt >= store::clockInterval;
    if (group.group == systemGroup || !group.isServing || !isDue) {
        return;
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(r.now - group.clockCountedAt);
    group.clockCountedAt += elapsed;
    if (group.shard.budgets.empty() && group.shard.turns.empty() && group.shard.streams.empty()) {
        return; // nothing is stamped with the clock, so it may stand still
    }
    // Time that is not committed counts for nothing: all is kept a little longer.
    static_cast<void>(propose(r, group, wire::advance_time { group.group, elapsed }, own_origin {}));
}

} // namespace cuminledge::core::controller
