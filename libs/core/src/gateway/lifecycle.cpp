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
    /// Time that a request with a key may run after the configuration lease has expired. The key may have been
    /// withdrawn meanwhile, and a withdrawn key must stop working within seconds even if this gateway is disconnected.
    constexpr std::chrono::milliseconds keyedCallGracePeriod { 2'000 };

    template <typename Predicate>
    std::vector<std::uint64_t> findCalls(const gateway_state& state, Predicate predicate)
    {
        std::vector<std::uint64_t> found;
        for (const auto& [id, call] : state.calls) {
            if (predicate(call)) {
                found.push_back(id);
            }
        }
        return found;
    }

    void resumeCall(gateway_context& context, gateway_call& call)
    {
        const bool needsRecord = call.kind == call_kind::Service && !call.repeatable && !call.recorded;
        if (needsRecord) {
            recordCall(context, call);
        } else {
            startAttempt(context, call);
        }
    }

    ran_state currentRanState(const gateway_call& call)
    {
        const bool unrepeatable = call.kind == call_kind::Service && !call.repeatable;
        return unrepeatable || call.mayHaveRun || call.attemptsMade > 0 ? ran_state::Unknown : ran_state::NotRun;
    }

    void endCall(gateway_context& context, gateway_call& call, const error& cause)
    {
        refuseCaller(context, call, makeRefusal(cause, currentRanState(call)));
        call.cancelled = true;
        detachCaller(context, call);
    }

    void sweepAttempt(gateway_context& context, gateway_call& call)
    {
        if (context.now >= call.deadline && !call.cancelled && call.repeatable) {
            endCall(context, call,
                error { error_code::Timeout, "the call took too long", "attempt", call.attempt.sidecar });
            return;
        }
        if (context.now >= call.attempt.progressDeadline) {
            lookUpAttempt(context, call);
        }
    }

    void sweepCall(gateway_context& context, gateway_call& call)
    {
        switch (call.step) {
        case call_step::Rate:
            if (context.now >= call.startDeadline) {
                refuseAndFinish(context, call,
                    makeRefusal(
                        error { error_code::Unavailable, "the rate authority did not answer in time", "rate", {} },
                        ran_state::NotRun));
            }
            return;
        case call_step::Backend:
            if (context.now >= call.nextCheckAt) {
                resumeCall(context, call);
            }
            return;
        case call_step::Attempt:
            sweepAttempt(context, call);
            return;
        case call_step::Lookup:
            if (context.now >= call.attempt.lookupDeadline) {
                onLookupTimeout(context, call);
            } else if (context.now >= call.nextCheckAt) {
                lookUpAttempt(context, call);
            }
            return;
        case call_step::TakeOver:
            if (call.controllerRequest == 0 && context.now >= call.nextCheckAt) {
                beginTurn(context, call);
            }
            return;
        case call_step::Outcome:
            if (context.now >= call.nextCheckAt) {
                readOutcome(context, call);
            }
            return;
        default:
            return; // the controller client's request timeout ends the other steps
        }
    }

} // namespace

void updateReadiness(gateway_context& context)
{
    const bool ready = context.state.shutdown == shutdown_phase::Running && holdsConfiguration(context);
    if (ready == context.state.ready) {
        return;
    }
    context.state.ready = ready;
    const bool stopping = context.state.shutdown != shutdown_phase::Running;
    context.out.emplace_back(
        set_ready { ready, ready ? "" : (stopping ? "shutting down" : "the configuration lease has run out") });
}

void resumeWaitingCalls(gateway_context& context)
{
    for (const auto id : findCalls(context.state, [&](const gateway_call& call) {
             return call.step == call_step::Backend && (call.attemptsMade == 0 || context.now >= call.nextCheckAt);
         })) {
        resumeCall(context, context.state.calls.at(id));
    }
}

void endCallsOfKey(gateway_context& context, const std::string& key)
{
    for (const auto id : findCalls(context.state, [&](const gateway_call& call) { return call.key == key; })) {
        endCall(context, context.state.calls.at(id),
            error { error_code::Unauthenticated, "the key was withdrawn", "authenticate", {} });
    }
}

void sweepCalls(gateway_context& context)
{
    if (context.now < context.state.nextSweepAt) {
        return;
    }
    context.state.nextSweepAt = context.now + sweepInterval;
    const bool leaseLapsed = context.now >= context.state.configuration.leaseUntil + keyedCallGracePeriod;
    std::vector<std::uint64_t> ids;
    ids.reserve(context.state.calls.size());
    for (const auto& [id, call] : context.state.calls) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        const auto found = context.state.calls.find(id);
        if (found == context.state.calls.end()) {
            continue;
        }
        const bool hasKey = !found->second.key.empty() && found->second.exchange != 0;
        if (leaseLapsed && hasKey) {
            endCall(context, found->second,
                error { error_code::Unavailable, "the configuration lease of this gateway has run out", "authenticate",
                    {} });
        } else {
            sweepCall(context, found->second);
        }
    }
}

void beginShutdown(gateway_context& context, bool immediately)
{
    auto& state = context.state;
    if (state.shutdown == shutdown_phase::Stopped) {
        return;
    }
    if (immediately) {
        state.shutdown = shutdown_phase::Stopped;
        for (const auto id : findCalls(state, [](const gateway_call& call) { return call.exchange != 0; })) {
            auto& call = state.calls.at(id);
            refuseCaller(context, call,
                makeRefusal(error { error_code::Unavailable, "the gateway is stopping", toString(call.step), {} },
                    currentRanState(call)));
        }
        context.out.emplace_back(stop_process { state.calls.empty() ? 0 : 1 });
        return;
    }
    if (state.shutdown != shutdown_phase::Running) {
        return;
    }
    state.shutdown = shutdown_phase::NotReady;
    state.shutdownPhaseEnd = context.now + state.settings.shutdownDelay;
    state.ready = false;
    context.out.emplace_back(set_ready { false, "shutting down" });
    context.out.emplace_back(write_log { log_level::Info, "shutdown_begun", {} });
}

void continueShutdown(gateway_context& context)
{
    auto& state = context.state;
    if (state.shutdown == shutdown_phase::NotReady && context.now >= state.shutdownPhaseEnd) {
        state.shutdown = shutdown_phase::Draining;
        state.shutdownPhaseEnd = context.now + state.settings.shutdownLimit;
        context.out.emplace_back(close_listeners {});
    }
    if (state.shutdown != shutdown_phase::Draining) {
        return;
    }
    const bool idle = state.isDrained && state.calls.empty() && state.controllers.pending.empty();
    if (idle) {
        state.shutdown = shutdown_phase::Stopped;
        returnRateTokens(context);
        context.out.emplace_back(stop_process { 0 });
    } else if (context.now >= state.shutdownPhaseEnd) {
        beginShutdown(context, true);
    }
}

} // namespace cuminledge::core::gateway
