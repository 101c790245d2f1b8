#include <core/sidecar/sidecar.hpp>

#include "announce.hpp"
#include "attempt_table.hpp"
#include "cache_release.hpp"
#include "context.hpp"
#include "dump.hpp"
#include "probe.hpp"
#include "run_queue.hpp"
#include "upstream.hpp"

namespace cuminledge::core::sidecar {

namespace {

    constexpr std::chrono::milliseconds sweepInterval { 10 };

    //--------------------------------------------------------------------------------------------------------------
    // Controllers
    //--------------------------------------------------------------------------------------------------------------

    void onAnswer(context& c, const controller_client::answer& answer)
    {
        const auto read = c.state.attemptOfRead.find(answer.request);
        if (read == c.state.attemptOfRead.end()) {
            onEndedRead(c, answer.request, answer.outcome);
            return;
        }
        const auto attempt = read->second;
        c.state.attemptOfRead.erase(read);
        onHistoryRead(c, attempt, answer.outcome);
    }

    //--------------------------------------------------------------------------------------------------------------
    // Shutdown
    //--------------------------------------------------------------------------------------------------------------

    bool isIdle(const sidecar_state& state)
    {
        return state.running.empty() && state.judged.empty() && state.queue.queuedCount == 0 && state.suspects.empty()
            && state.attemptOfRead.empty();
    }

    void stop(context& c, int exitCode)
    {
        c.state.stopped = true;
        c.out.emplace_back(stop_process { exitCode });
    }

    void beginShutdown(context& c, bool immediately)
    {
        if (c.state.stopped) {
            return;
        }
        if (immediately) {
            stop(c, isIdle(c.state) ? 0 : 1);
            return;
        }
        if (c.state.shuttingDown) {
            return;
        }
        c.state.shuttingDown = true;
        c.state.shutdownBy = c.now + c.state.settings.shutdownLimit;
        c.out.emplace_back(set_ready { false, "shutting down" });
        c.out.emplace_back(write_log { log_level::Info, "shutdown_begun", {} });
        beginLeaving(c);
    }

    void continueShutdown(context& c)
    {
        if (!c.state.shuttingDown || c.state.stopped) {
            return;
        }
        const bool done = refusesNewWork(c) && isIdle(c.state) && c.state.controllers.pending.empty();
        if (done) {
            stop(c, 0);
        } else if (c.now >= c.state.shutdownBy) {
            stop(c, 1);
        }
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
        void operator()(const wire::announce_response& m) const { onAnnounceResponse(c, peer, m); }
        void operator()(const wire::attempt_start& m) const { onAttemptStart(c, peer, m); }
        void operator()(const wire::attempt_query& m) const { onAttemptQuery(c, peer, m); }
        void operator()(const wire::attempt_cancel& m) const { onAttemptCancel(c, m.attempt); }
        void operator()(const wire::attempt_committed& m) const { onAttemptCommitted(c, m); }
        void operator()(const wire::program_ended& m) const { onProgramEnded(c, m.program); }
        void operator()(const wire::load_probe& m) const
        {
            c.out.emplace_back(send_message {
                peer, wire::load_probe_response { m.request, c.state.settings.backend, currentLoad(c.state) } });
        }

        template <typename Other>
        void operator()(const Other&) const
        {
            ++c.state.counters.strayMessages;
        }
    };

    bool startsWith(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

    /// @return the attempt that runs under the request id, or null.
    attempt_entry* findRunning(context& c, const std::string& request)
    {
        const auto found = c.state.attempts.find(request);
        const bool runs = found != c.state.attempts.end() && found->second.phase == attempt_phase::Running;
        return runs ? &found->second : nullptr;
    }

    struct event_visitor {
        context& c;

        void operator()(const process_started& e) const
        {
            auto& state = c.state;
            state.identity.incarnation = e.incarnation;
            state.controllers.controllers = state.settings.controllers;
            state.histories.maxBytes = state.settings.historyBytes;
            state.queue.settings.maxQueued = state.settings.maxWaiting;
            state.queue.settings.maxQueuedPerAccount = state.settings.maxWaiting;
            state.queue.settings.refuseEarly = false;
            state.pins = cache::makePinTable(state.settings.cacheTokens);
            controller_client::start(state.controllers, c.out);
            c.out.emplace_back(set_ready { true, "" });
        }

        void operator()(const tick&) const
        {
            for (const auto& expired : controller_client::expire(c.state.controllers, c.now, c.out)) {
                onAnswer(c, expired);
            }
            renewAnnouncement(c);
            if (c.now < c.state.nextSweepAt) {
                return;
            }
            c.state.nextSweepAt = c.now + sweepInterval;
            sweepAttempts(c);
            probeWhenDue(c);
            sweepCache(c);
            startNext(c);
            continueShutdown(c);
        }

        void operator()(const peer_connected& e) const
        {
            if (controller_client::isController(c.state.controllers, e.peer)) {
                controller_client::onConnected(c.state.controllers, e.peer, c.now, c.out);
                renewAnnouncement(c);
            } else {
                onGatewayConnected(c, e.peer);
            }
        }

        void operator()(const peer_disconnected& e) const
        {
            if (controller_client::isController(c.state.controllers, e.peer)) {
                controller_client::onDisconnected(c.state.controllers, e.peer, c.now);
                announceNow(c);
            } else {
                onGatewayDisconnected(c, e.peer);
            }
        }

        void operator()(const peer_message& e) const { std::visit(message_visitor { c, e.peer }, e.body); }

        void operator()(const upstream_response& e) const
        {
            if (e.request == probeRequest) {
                onProbeResponse(c, e.status);
            } else if (e.request == listingRequest) {
                c.state.listingStatus = e.status;
            } else if (auto* entry = findRunning(c, e.request)) {
                onUpstreamResponse(c, *entry, e.status);
            }
        }

        void operator()(const upstream_data& e) const
        {
            if (e.request == probeRequest) {
                onProbeData(c, e.data);
            } else if (e.request == listingRequest) {
                onListingData(c, e.data);
            } else if (auto* entry = findRunning(c, e.request)) {
                onUpstreamData(c, *entry, e.data);
            }
        }

        void operator()(const upstream_finished& e) const
        {
            if (e.request == probeRequest) {
                onProbeFinished(c);
            } else if (e.request == listingRequest) {
                onListingFinished(c);
            } else if (startsWith(e.request, releasePrefix)) {
                onReleaseFinished(c, e.request.substr(std::string_view(releasePrefix).size()));
            } else if (auto* entry = findRunning(c, e.request)) {
                onUpstreamFinished(c, *entry);
            }
        }

        void operator()(const upstream_failed& e) const
        {
            if (e.request == probeRequest) {
                onProbeFailed(c);
            } else if (e.request == listingRequest) {
                onListingFailed(c);
            } else if (auto* entry = findRunning(c, e.request)) {
                onUpstreamFailed(c, *entry, e);
            }
        }

        void operator()(const dump_requested& e) const { c.out.emplace_back(reply_dump { e.exchange, dumpState(c) }); }

        void operator()(const shutdown_requested& e) const { beginShutdown(c, e.immediately); }

        template <typename Other>
        void operator()(const Other&) const
        {
        }
    };

} // namespace

void reduceSidecar(sidecar_state& state, const event& e, time_point now, std::mt19937_64& random, effects& out)
{
    context c { state, now, random, out };
    std::visit(event_visitor { c }, e);
}

} // namespace cuminledge::core::sidecar
