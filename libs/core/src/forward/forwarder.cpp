#include <core/forward/forwarder.hpp>

#include "admission.hpp"
#include "answers.hpp"
#include "attempts.hpp"
#include "configuration.hpp"
#include "context.hpp"
#include "crashes.hpp"
#include "dump.hpp"
#include "engine_room.hpp"
#include "hedges.hpp"
#include "lifecycle.hpp"
#include "rate.hpp"
#include "server_answer.hpp"
#include "turns.hpp"

namespace cuminledge::core::forward {

namespace {

    struct message_visitor {
        context& c;
        const std::string& peer;

        void operator()(const wire::controller_response& m) const
        {
            if (const auto answer = controller_client::receive(c.state.controllers, peer, m, c.now, c.out)) {
                onControllerAnswer(c, *answer);
            }
        }
        void operator()(const wire::controller_directory& m) const
        {
            if (controller_client::isController(c.state.controllers, peer)) {
                controller_client::applyDirectory(c.state.controllers, m, c.out);
            }
        }
        void operator()(const wire::config_update& m) const { onConfigUpdate(c, peer, m); }
        void operator()(const wire::rate_lease_grant& m) const { onRateGrant(c, peer, m); }
        void operator()(const wire::rate_lease_recall& m) const { onRateRecall(c, m); }

        template <typename Other>
        void operator()(const Other&) const
        {
            ++c.state.counters.strayMessages;
        }
    };

    void start(context& c, const process_started& started)
    {
        auto& state = c.state;
        state.identity.incarnation = started.incarnation;
        state.startedAt = c.now;
        state.controllers.controllers = state.settings.controllers;
        state.rate = limits::makeLeaseHolder(started.incarnation);
        state.servers.failureDomain = state.identity.failureDomain;
        state.servers.settings.learnsTimes = state.settings.learnsServerTimes;
        state.turns.maxBytes = state.settings.cacheBytes;
        controller_client::start(state.controllers, c.out);
    }

    void onTick(context& c)
    {
        for (const auto& expired : controller_client::expire(c.state.controllers, c.now, c.out)) {
            onControllerAnswer(c, expired);
        }
        pollConfiguration(c);
        expireCalls(c);
        checkCrashes(c);
        retryRate(c);
        sendHedges(c);
        continueShutdown(c);
        c.state.room.hasChanged = true; // a server may be tried again that had failed
    }

    void onPeerLost(context& c, const std::string& peer, const std::string& reason)
    {
        c.out.emplace_back(
            write_log { log_level::Warning, "controller_lost", { { "peer", peer }, { "reason", reason } } });
        controller_client::onDisconnected(c.state.controllers, peer, c.now);
        controller_client::repollConfiguration(c.state.configuration.poll, c.now);
    }

    struct event_visitor {
        context& c;

        void operator()(const process_started& e) const { start(c, e); }
        void operator()(const tick&) const { onTick(c); }
        void operator()(const peer_connected& e) const
        {
            c.out.emplace_back(write_log { log_level::Info, "controller_connected", { { "peer", e.peer } } });
            controller_client::onConnected(c.state.controllers, e.peer, c.now, c.out);
        }
        void operator()(const peer_disconnected& e) const { onPeerLost(c, e.peer, e.reason); }
        void operator()(const peer_message& e) const { std::visit(message_visitor { c, e.peer }, e.body); }
        void operator()(const forward_request& e) const { admit(c, e); }
        void operator()(const caller_gone& e) const { onCallerGone(c, e); }
        void operator()(const caller_blocked& e) const { onCallerBlocked(c, e.exchange); }
        void operator()(const caller_unblocked& e) const { onCallerUnblocked(c, e.exchange); }
        void operator()(const upstream_head& e) const { onUpstreamHead(c, e); }
        void operator()(const upstream_data& e) const { onUpstreamData(c, e); }
        void operator()(const upstream_finished& e) const { onUpstreamFinished(c, e); }
        void operator()(const upstream_failed& e) const { onUpstreamFailed(c, e); }
        void operator()(const dump_requested& e) const { c.out.emplace_back(reply_dump { e.exchange, dumpState(c) }); }
        void operator()(const shutdown_requested& e) const { beginShutdown(c, e.immediately); }
        void operator()(const server_checked& e) const { onServerChecked(c, e); }
        void operator()(const listeners_drained&) const { c.state.isDrained = true; }

        template <typename Other>
        void operator()(const Other&) const
        {
        }
    };

} // namespace

void reduceForwarder(forwarder_state& state, const event& e, time_point now, std::mt19937_64& random, effects& out)
{
    context c { state, now, random, out };
    std::visit(event_visitor { c }, e);
    serveRoomQueues(c);
    // Any event may have spent rate tokens.
    sendRateRequests(c);
}

} // namespace cuminledge::core::forward
