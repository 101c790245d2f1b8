#include "lifecycle.hpp"

#include "attempts.hpp"
#include "authentication.hpp"
#include "rate.hpp"
#include "refusal.hpp"
#include "service_calls.hpp"
#include "turns.hpp"

namespace cuminledge::core::gateway {

namespace {

    constexpr std::chrono::milliseconds sweepInterval { 10 };
    /// A keyed request under way outlives the configuration lease by so much: its key may have been withdrawn, and a
    /// withdrawn key must stop working within seconds even while this gateway is cut off.
    constexpr std::chrono::milliseconds keyedCallsOutlive { 2'000 };

    template <typename Predicate>
    std::vector<std::uint64_t> callsWhere(const gateway_state& state, Predicate predicate)
    {
        std::vector<std::uint64_t> found;
        for (const auto& [id, subject] : state.calls) {
            if (predicate(subject)) {
                found.push_back(id);
            }
        }
        return found;
    }

    void resume(context& c, call& subject)
    {
        const bool toBeRecorded = subject.kind == call_kind::Service && !subject.repeatable && !subject.recorded;
        if (toBeRecorded) {
            recordCall(c, subject);
        } else {
            startAttempt(c, subject);
        }
    }

    ran_state ranSoFar(const call& subject)
    {
        const bool unrepeatable = subject.kind == call_kind::Service && !subject.repeatable;
        return unrepeatable || subject.mayHaveRun || subject.attemptsMade > 0 ? ran_state::Unknown : ran_state::NotRun;
    }

    void endCall(context& c, call& subject, const error& why)
    {
        refuseCaller(c, subject, refusalOf(why, ranSoFar(subject)));
        subject.cancelled = true;
        endWithoutCaller(c, subject);
    }

    void sweepAttempt(context& c, call& subject)
    {
        if (c.now >= subject.deadline && !subject.cancelled && subject.repeatable) {
            endCall(c, subject,
                error { error_code::Timeout, "the call took too long", "attempt", subject.run.sidecar });
            return;
        }
        if (c.now >= subject.run.progressBy) {
            lookUp(c, subject);
        }
    }

    void sweepCall(context& c, call& subject)
    {
        switch (subject.step) {
        case call_step::Rate:
            if (c.now >= subject.startBy) {
                refuseAndFinish(c, subject,
                    refusalOf(error { error_code::Unavailable, "the rate authority did not answer in time", "rate", {} },
                        ran_state::NotRun));
            }
            return;
        case call_step::Backend:
            if (c.now >= subject.resumeAt) {
                resume(c, subject);
            }
            return;
        case call_step::Attempt:
            sweepAttempt(c, subject);
            return;
        case call_step::Lookup:
            if (c.now >= subject.run.giveUpAt) {
                giveUpLookup(c, subject);
            } else if (c.now >= subject.resumeAt) {
                lookUp(c, subject);
            }
            return;
        case call_step::TakeOver:
            if (subject.controllerRequest == 0 && c.now >= subject.resumeAt) {
                beginTurn(c, subject);
            }
            return;
        case call_step::Outcome:
            if (c.now >= subject.resumeAt) {
                readOutcome(c, subject);
            }
            return;
        default:
            return; // the controller client ends these by its own deadline
        }
    }

} // namespace

void updateReadiness(context& c)
{
    const bool ready = c.state.shutdown == shutdown_phase::Running && holdsConfiguration(c);
    if (ready == c.state.ready) {
        return;
    }
    c.state.ready = ready;
    const bool stopping = c.state.shutdown != shutdown_phase::Running;
    c.out.emplace_back(
        set_ready { ready, ready ? "" : (stopping ? "shutting down" : "the configuration lease has run out") });
}

void resumeWaitingCalls(context& c)
{
    for (const auto id : callsWhere(c.state, [&](const call& each) {
             return each.step == call_step::Backend && (each.attemptsMade == 0 || c.now >= each.resumeAt);
         })) {
        resume(c, c.state.calls.at(id));
    }
}

void endCallsOfKey(context& c, const std::string& key)
{
    for (const auto id : callsWhere(c.state, [&](const call& each) { return each.key == key; })) {
        endCall(c, c.state.calls.at(id), error { error_code::Unauthenticated, "the key was withdrawn", "authenticate", {} });
    }
}

void sweepCalls(context& c)
{
    if (c.now < c.state.nextSweepAt) {
        return;
    }
    c.state.nextSweepAt = c.now + sweepInterval;
    const bool cutOff = c.now >= c.state.configuration.leaseUntil + keyedCallsOutlive;
    std::vector<std::uint64_t> ids;
    ids.reserve(c.state.calls.size());
    for (const auto& [id, subject] : c.state.calls) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        const auto found = c.state.calls.find(id);
        if (found == c.state.calls.end()) {
            continue;
        }
        const bool keyed = !found->second.key.empty() && found->second.exchange != 0;
        if (cutOff && keyed) {
            endCall(c, found->second,
                error { error_code::Unavailable, "the configuration lease of this gateway has run out", "authenticate",
                    {} });
        } else {
            sweepCall(c, found->second);
        }
    }
}

void beginShutdown(context& c, bool immediately)
{
    auto& state = c.state;
    if (state.shutdown == shutdown_phase::Stopped) {
        return;
    }
    if (immediately) {
        state.shutdown = shutdown_phase::Stopped;
        for (const auto id : callsWhere(state, [](const call& each) { return each.exchange != 0; })) {
            auto& subject = state.calls.at(id);
            refuseCaller(c, subject,
                refusalOf(error { error_code::Unavailable, "the gateway is stopping", toString(subject.step), {} },
                    ranSoFar(subject)));
        }
        c.out.emplace_back(stop_process { state.calls.empty() ? 0 : 1 });
        return;
    }
    if (state.shutdown != shutdown_phase::Running) {
        return;
    }
    state.shutdown = shutdown_phase::NotReady;
    state.shutdownStepAt = c.now + state.settings.shutdownDelay;
    state.ready = false;
    c.out.emplace_back(set_ready { false, "shutting down" });
    c.out.emplace_back(write_log { log_level::Info, "shutdown_begun", {} });
}

void continueShutdown(context& c)
{
    auto& state = c.state;
    if (state.shutdown == shutdown_phase::NotReady && c.now >= state.shutdownStepAt) {
        state.shutdown = shutdown_phase::Draining;
        state.shutdownStepAt = c.now + state.settings.shutdownLimit;
        c.out.emplace_back(close_listeners {});
    }
    if (state.shutdown != shutdown_phase::Draining) {
        return;
    }
    const bool idle = state.calls.empty() && state.controllers.pending.empty();
    if (idle) {
        state.shutdown = shutdown_phase::Stopped;
        returnRateTokens(c);
        c.out.emplace_back(stop_process { 0 });
    } else if (c.now >= state.shutdownStepAt) {
        beginShutdown(c, true);
    }
}

} // namespace cuminledge::core::gateway
