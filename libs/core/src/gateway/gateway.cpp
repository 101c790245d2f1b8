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

    void dispatchAnswer(context& c, call& subject, const result<wire::command_result>& outcome)
    {
        switch (subject.step) {
        case call_step::Program:
            onProgramFound(c, subject, outcome);
            return;
        case call_step::Controller:
            if (subject.kind == call_kind::ReadCall) {
                onCallRead(c, subject, outcome);
            } else {
                onProgramAnswer(c, subject, outcome);
            }
            return;
        case call_step::Begin:
            onTurnBegun(c, subject, outcome);
            return;
        case call_step::TakeOver:
            onRivalRead(c, subject, outcome);
            return;
        case call_step::Commit:
            onTurnCommitted(c, subject, outcome);
            return;
        case call_step::Existing:
            onExistingRead(c, subject, outcome);
            return;
        case call_step::Record:
            onCallRecorded(c, subject, outcome);
            return;
        case call_step::Dispatch:
            onCallDispatched(c, subject, outcome);
            return;
        case call_step::Settle:
            onCallSettled(c, subject, outcome);
            return;
        case call_step::Outcome:
            onOutcomeRead(c, subject, outcome);
            return;
        case call_step::Rate:
        case call_step::Backend:
        case call_step::Attempt:
        case call_step::Lookup:
            return;
        }
    }

    void onAnswer(context& c, const controller_client::answer& answer)
    {
        const auto waiting = c.state.callOfRequest.find(answer.request);
        if (waiting == c.state.callOfRequest.end()) {
            return;
        }
        auto& subject = c.state.calls.at(waiting->second);
        c.state.callOfRequest.erase(waiting);
        subject.controllerRequest = 0;
        dispatchAnswer(c, subject, answer.outcome);
    }

    //--------------------------------------------------------------------------------------------------------------
    // Events
    //--------------------------------------------------------------------------------------------------------------

    struct message_visitor {
        context& c;
        const std::string& peer;

        void operator()(const wire::controller_response& m) const
        {
            if (auto final = controller_client::receive(c.state.controllers, peer, m, c.now, c.out)) {
                onAnswer(c, *final);
            }
        }
        void operator()(const wire::config_update& m) const { onConfigUpdate(c, peer, m); }
        void operator()(const wire::rate_lease_grant& m) const { onRateGrant(c, peer, m); }
        void operator()(const wire::rate_lease_recall& m) const { onRateRecall(c, m); }
        void operator()(const wire::attempt_started& m) const { onAttemptStarted(c, peer, m); }
        void operator()(const wire::attempt_chunk& m) const { onAttemptChunk(c, peer, m); }
        void operator()(const wire::attempt_done& m) const { onAttemptDone(c, peer, m); }
        void operator()(const wire::attempt_failed& m) const { onAttemptFailed(c, peer, m); }
        void operator()(const wire::attempt_under_way& m) const { onAttemptUnderWay(c, peer, m); }

        template <typename Other>
        void operator()(const Other&) const
        {
            ++c.state.counters.strayMessages;
        }
    };

    struct event_visitor {
        context& c;

        void operator()(const process_started& e) const
        {
            c.state.identity.incarnation = e.incarnation;
            c.state.controllers.controllers = c.state.settings.controllers;
            c.state.rate = limits::makeLeaseHolder(e.incarnation);
            c.state.routes
                = routing::makeBackendTable(c.state.identity.region, c.state.identity.failureDomain);
            controller_client::start(c.state.controllers, c.out);
        }

        void operator()(const tick&) const
        {
            for (const auto& expired : controller_client::expire(c.state.controllers, c.now, c.out)) {
                onAnswer(c, expired);
            }
            pollConfiguration(c);
            updateReadiness(c);
            sweepCalls(c);
            continueShutdown(c);
        }

        void operator()(const peer_connected& e) const
        {
            if (controller_client::isController(c.state.controllers, e.peer)) {
                controller_client::onConnected(c.state.controllers, e.peer, c.now, c.out);
            } else {
                onSidecarConnected(c, e.peer, e.incarnation);
            }
        }

        void operator()(const peer_disconnected& e) const
        {
            if (controller_client::isController(c.state.controllers, e.peer)) {
                controller_client::onDisconnected(c.state.controllers, e.peer, c.now);
                repollConfiguration(c);
            } else {
                onSidecarDisconnected(c, e.peer);
            }
        }

        void operator()(const peer_message& e) const { std::visit(message_visitor { c, e.peer }, e.body); }

        void operator()(const caller_request& e) const { onCallerRequest(c, e); }

        void operator()(const caller_gone& e) const
        {
            const auto found = c.state.callOfExchange.find(e.exchange);
            if (found == c.state.callOfExchange.end()) {
                return;
            }
            ++c.state.counters.callersGone;
            endWithoutCaller(c, c.state.calls.at(found->second));
        }

        void operator()(const dump_requested& e) const { c.out.emplace_back(reply_dump { e.exchange, dumpState(c) }); }

        void operator()(const shutdown_requested& e) const { beginShutdown(c, e.immediately); }

        template <typename Other>
        void operator()(const Other&) const
        {
        }
    };

} // namespace

void reduceGateway(gateway_state& state, const event& e, time_point now, std::mt19937_64& random, effects& out)
{
    context c { state, now, random, out };
    std::visit(event_visitor { c }, e);
    // Whatever the event was, it may have spent tokens.
    sendRateRequests(c);
}

} // namespace cuminledge::core::gateway
