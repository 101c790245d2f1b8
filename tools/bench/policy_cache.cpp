#include "policy_state.hpp"

#include <algorithm>
#include <cmath>

namespace cuminledge::bench::policy {

namespace {

    void release(run_state& run, std::size_t engine, const std::vector<std::string>& programs)
    {
        for (const auto& program : programs) {
            auto& sidecar = run.sidecars[engine];
            releaseCache(sidecar.engine, program, run.now);
            cache::onReleased(sidecar.pins, program);
        }
    }

    void sendProgramEnded(run_state& run, const live_program& program)
    {
        constexpr double lostShare = 0.05;
        if (!run.variant.usePins || program.home < 0
            || std::uniform_real_distribution<double>(0, 1)(run.random) < lostShare) {
            return;
        }
        const auto engine = static_cast<std::size_t>(program.home);
        after(run, tickLength, [&run, engine, id = program.id] {
            release(run, engine, cache::releaseProgram(run.sidecars[engine].pins, id, run.now));
        });
    }

    bool isGone(const run_state& run, const std::string& id)
    {
        const auto found = run.byId.find(id);
        return found == run.byId.end() || run.programs[found->second].gone;
    }

} // namespace

void markGone(run_state& run, live_program& program)
{
    program.gone = true;
    program.goneAt = run.now;
    sendProgramEnded(run, program);
}

void tendCache(run_state& run, std::size_t engine)
{
    constexpr milliseconds idleFor { 2'000 };
    constexpr std::size_t askedAtOnce = 256;
    auto& sidecar = run.sidecars[engine];
    if (!sidecar.engine.alive) {
        return;
    }
    if (sidecar.pins.resyncNeeded) {
        cache::cache_listing listing;
        listing.sequence = sidecar.engine.lastSequence;
        for (const auto& [program, entry] : sidecar.engine.cache) {
            listing.programs.emplace_back(program, entry.tokens);
        }
        cache::onListing(sidecar.pins, listing, run.now);
    }
    std::vector<std::string> ended;
    std::vector<std::string> living;
    for (const auto& program : cache::programsToCheck(sidecar.pins, run.now, idleFor, askedAtOnce)) {
        (isGone(run, program) ? ended : living).push_back(program);
    }
    cache::onOpenPrograms(sidecar.pins, living, run.now);
    release(run, engine, cache::onEndedPrograms(sidecar.pins, ended, run.now));
    release(run, engine, cache::dueReleases(sidecar.pins, run.now));
    if (sidecar.pins.heldTokens < 0) {
        ++run.figures.invariantBreaks;
    }
}

void publishCacheEvents(run_state& run, std::size_t engine)
{
    auto& sidecar = run.sidecars[engine];
    const auto changes = std::move(sidecar.engine.changes);
    sidecar.engine.changes.clear();
    if (!run.variant.usePins) {
        return;
    }
    for (const auto& change : changes) {
        if (std::uniform_real_distribution<double>(0, 1)(run.random) < run.c.eventLossShare) {
            continue;
        }
        after(run, run.c.eventDelay, [&run, engine, change, incarnation = sidecar.incarnation] {
            if (run.sidecars[engine].incarnation == incarnation) {
                cache::onCacheEvent(
                    run.sidecars[engine].pins, { change.sequence, change.program, change.tokens });
            }
        });
    }
}

} // namespace cuminledge::bench::policy
