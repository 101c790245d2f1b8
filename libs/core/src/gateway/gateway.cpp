#include <core/gateway/gateway.hpp>

#include "admission.hpp"
#include "attempts.hpp"
#include "configuration.hpp"
#include "context.hpp"
#include "dump.hpp"
#include "lifecycle.hpp"
#include "program_calls.hpp"
#include "rate.hpp"
#include "service_calls.hpp"
#include "turns.hpp"

namespace cuminledge::core::gateway {

namespace {

    //--------------------------------------------------------------------------------------------------------------
    // Answers of the controllers
    //--------------------------------------------------------------------------------------------------------------

    void dispatchControllerAnswer(
        gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome)
    {
        switch (call.step) {
        case call_step::Program:
            onProgramFound(context, call, outcome);
            return;
        case call_step::Controller:
            if (call.kind == call_kind::ReadCall) {
                onCallRead(context, call, outcome);
            } else {
                onProgramAnswer(context, call, outcome);
            }
            return;
        case call_step::Begin:
            onTurnBegun(context, call, outcome);
            return;
        case call_step::TakeOver:
            onCompetingTurnRead(context, call, outcome);
            return;
        case call_step::Commit:
            onTurnCommitted(context, call, outcome);
            return;
        case call_step::Existing:
            onExistingRead(context, call, outcome);
            return;
        case call_step::Record:
            onCallRecorded(context, call, outcome);
            return;
        case call_step::Dispatch:
            onCallDispatched(context, call, outcome);
            return;
        case call_step::Settle:
            onCallSettled(context, call, outcome);
            return;
        case call_step::Outcome:
            onOutcomeRead(context, call, outcome);
            return;
        case call_step::Rate:
        case call_step::Backend:
        case call_step::Attempt:
        case call_step::Lookup:
            return;
        }
    }

    void onControllerAnswer(gateway_context& context, const controller_client::answer& answer)
    {
        const auto waiting = context.state.callByControllerRequest.find(answer.request);
        if (waiting == context.state.callByControllerRequest.end()) {
            return;
        }
        auto& call = context.state.calls.at(waiting->second);
        context.state.callByControllerRequest.erase(waiting);
        call.controllerRequest = 0;
        dispatchControllerAnswer(context, call, answer.outcome);
    }

    //--------------------------------------------------------------------------------------------------------------
    // Events
    //--------------------------------------------------------------------------------------------------------------

    struct message_visitor {
        gateway_context& context;
        const std::string& peer;

        void operator()(const wire::controller_response& m) const
        {
            if (auto final = controller_client::receive(context.state.controllers, peer, m, context.now, context.out)) {
                onControllerAnswer(context, *final);
            }
        }
        void operator()(const wire::config_update& m) const { onConfigUpdate(context, peer, m); }
        void operator()(const wire::rate_lease_grant& m) const { onRateGrant(context, peer, m); }
        void operator()(const wire::rate_lease_recall& m) const { onRateRecall(context, m); }
        void operator()(const wire::attempt_started& m) const { onAttemptStarted(context, peer, m); }
        void operator()(const wire::attempt_chunk& m) const { onAttemptChunk(context, peer, m); }
        void operator()(const wire::attempt_done& m) const { onAttemptDone(context, peer, m); }
        void operator()(const wire::attempt_failed& m) const { onAttemptFailed(context, peer, m); }
        void operator()(const wire::attempt_under_way& m) const { onAttemptUnderWay(context, peer, m); }

        template <typename Other>
        void operator()(const Other&) const
        {
            ++context.state.counters.strayMessages;
        }
    };

    struct event_visitor {
        gateway_context& context;

        void operator()(const process_started& e) const
        {
            context.state.identity.incarnation = e.incarnation;
            context.state.controllers.controllers = context.state.settings.controllers;
            context.state.rate = limits::makeLeaseHolder(e.incarnation);
            context.state.routingTable
                = routing::makeBackendTable(context.state.identity.region, context.state.identity.failureDomain);
            controller_client::start(context.state.controllers, context.out);
        }

        void operator()(const tick&) const
        {
            for (const auto& expired : controller_client::expire(context.state.controllers, context.now, context.out)) {
                onControllerAnswer(context, expired);
            }
            pollConfiguration(context);
            updateReadiness(context);
            sweepCalls(context);
            continueShutdown(context);
        }

        void operator()(const peer_connected& e) const
        {
            if (controller_client::isController(context.state.controllers, e.peer)) {
                controller_client::onConnected(context.state.controllers, e.peer, context.now, context.out);
            } else {
                onSidecarConnected(context, e.peer, e.incarnation);
            }
        }

        void operator()(const peer_disconnected& e) const
        {
            if (controller_client::isController(context.state.controllers, e.peer)) {
                controller_client::onDisconnected(context.state.controllers, e.peer, context.now);
                repollConfiguration(context);
            } else {
                onSidecarDisconnected(context, e.peer);
            }
        }

        void operator()(const peer_message& e) const { std::visit(message_visitor { context, e.peer }, e.body); }

        void operator()(const caller_request& e) const { onCallerRequest(context, e); }

        void operator()(const caller_gone& e) const
        {
            const auto found = context.state.callByExchange.find(e.exchange);
            if (found == context.state.callByExchange.end()) {
                return;
            }
            ++context.state.counters.callersDisconnected;
            detachCaller(context, context.state.calls.at(found->second));
        }

        void operator()(const dump_requested& e) const
        {
            context.out.emplace_back(reply_dump { e.exchange, dumpState(context) });
        }

        void operator()(const shutdown_requested& e) const { beginShutdown(context, e.immediately); }
        void operator()(const listeners_drained&) const { context.state.isDrained = true; }

        template <typename Other>
        void operator()(const Other&) const
        {
        }
    };

} // namespace

void reduceGateway(gateway_state& state, const event& e, time_point now, std::mt19937_64& random, effects& out)
{
    gateway_context context { state, now, random, out };
    std::visit(event_visitor { context }, e);
    // Any event may have spent rate tokens.
    sendRateRequests(context);
}

} // namespace cuminledge::core::gateway
