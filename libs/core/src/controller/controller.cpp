#include <core/controller/controller.hpp>

#include <utility>

#include <fmt/format.h>

#include <controller/internal.hpp>
#include <controller/sizes.hpp>
#include <core/consensus/consensus.hpp>
#include <core/group.hpp>

namespace cuminledge::core::controller {

void log(reduction& r, log_level level, std::string event, std::vector<std::pair<std::string, std::string>> fields)
{
    r.out.emplace_back(write_log { level, std::move(event), std::move(fields) });
}

std::string joined(const std::vector<std::string>& texts, const char* separator)
{
    return fmt::format("{}", fmt::join(texts, separator));
}

namespace {

    constexpr std::chrono::milliseconds sweepInterval { 50 };
    /// For the last messages to leave the process.
    constexpr std::chrono::milliseconds shutdownGrace { 200 };

    //--------------------------------------------------------------------------------------------------------------
    // Messages
    //--------------------------------------------------------------------------------------------------------------

    void receive(reduction& r, const std::string& peer, const wire::consensus_envelope& envelope)
    {
        // The replicas trust one another, so only controllers may speak for them: those of the settings, or where
        // these name only seeds, any process that has proved the secret and calls itself one.
        if (findController(r.state.directory, peer) == nullptr) {
            const auto role = r.state.peerRoles.find(peer);
            if (!r.state.settings.isSeeded || role == r.state.peerRoles.end() || role->second != "controller") {
                ++r.state.counters.badRequests;
                return;
            }
            learnController(r, peer);
        }
        receiveEnvelope(r, peer, envelope);
    }

    void receive(reduction& r, const std::string& peer, const wire::controller_request& request)
    {
        receiveRequest(r, peer, request);
    }

    void receive(reduction& r, const std::string& peer, const wire::config_poll& poll)
    {
        receivePoll(r, peer, poll);
    }

    void receive(reduction& r, const std::string& peer, const wire::announce_backend& announcement)
    {
        receiveAnnouncement(r, peer, announcement);
    }

    void receive(reduction& r, const std::string& peer, const wire::rate_lease_request& request)
    {
        receiveRateRequest(r, peer, request);
    }

    void receive(reduction& r, const std::string& peer, const wire::controller_directory& update)
    {
        const auto role = r.state.peerRoles.find(peer);
        if (role == r.state.peerRoles.end() || role->second != "controller") {
            ++r.state.counters.badRequests;
            return;
        }
        receiveDirectory(r, update);
    }

    /// Every other message is not a controller's to take.
    template <typename Message>
    void receive(reduction& r, const std::string& /*peer*/, const Message& /*message*/)
    {
        ++r.state.counters.badRequests;
    }

    //--------------------------------------------------------------------------------------------------------------
    // The process
    //--------------------------------------------------------------------------------------------------------------

    void start(reduction& r)
    {
        startDirectory(r);
        if (r.state.isStandby) {
            log(r, log_level::Info, "standby", { { "reason", "settings" } });
            r.out.emplace_back(set_ready { true, "" });
            return;
        }
        if (findController(r.state.directory, r.self.name) == nullptr) {
            log(r, log_level::Error, "settings_fault",
                { { "path", "$.controller.controllers" }, { "message", "expected this process's own name in the list" } });
            r.out.emplace_back(stop_process { 2 });
        }
    }

    bool knowsAllLeaders(controller_state& state)
    {
        for (std::uint32_t group = systemGroup; group <= state.settings.groupCount; ++group) {
            if (leaderOf(state, group).empty()) {
                return false;
            }
        }
        return true;
    }

    void updateReadiness(reduction& r)
    {
        const bool ready = !r.state.shutdownSince && (r.state.isStandby || knowsAllLeaders(r.state));
        if (ready == r.state.isReady) {
            return;
        }
        r.state.isReady = ready;
        const char* reason = r.state.shutdownSince ? "shutting down" : "a group has no known leader";
        r.out.emplace_back(set_ready { ready, ready ? "" : reason });
    }

    void continueShutdown(reduction& r)
    {
        if (!r.state.shutdownSince) {
            return;
        }
        const auto passed = r.now - *r.state.shutdownSince;
        const bool isDone = handOver(r) && r.state.isDrained && passed >= shutdownGrace;
        const bool isOver = isDone || passed >= r.state.settings.shutdownLimit;
        if (isOver) {
            r.out.emplace_back(stop_process { 0 });
        }
    }

    void handle(reduction& r, const process_started& /*started*/)
    {
        r.state.isStandby = !r.state.settings.hostsGroups;
        start(r);
    }

    void handle(reduction& r, const piece_loaded& loaded) { loadPiece(r, loaded); }

    void handle(reduction& r, const replica_loaded& loaded)
    {
        loadReplica(r, loaded);
    }

    void handle(reduction& r, const log_persisted& persisted)
    {
        notePersisted(r, persisted);
    }

    void handle(reduction& r, const storage_failed& failed)
    {
        noteStorageFailed(r, failed);
    }

    void handle(reduction& r, const tick& /*tick*/)
    {
        tickGroups(r);
        for (auto& [number, group] : r.state.groups) {
            tickRates(r, group);
            checkPrograms(r, group);
            countTime(r, group);
        }
        if (r.now >= r.state.nextSweep) {
            r.state.nextSweep = r.now + sweepInterval;
            lapseAnnouncements(r);
        }
        reportSizes(r);
        updateReadiness(r);
        continueShutdown(r);
    }

    void handle(reduction& r, const peer_connected& connected)
    {
        r.state.peerRoles[connected.peer] = connected.role;
        sendDirectory(r, connected.peer);
    }

    void handle(reduction& r, const peer_disconnected& disconnected)
    {
        r.state.peerRoles.erase(disconnected.peer);
    }

    void handle(reduction& r, const peer_message& message)
    {
        std::visit([&](const auto& body) { receive(r, message.peer, body); }, message.body);
    }

    void handle(reduction& r, const operator_request& request)
    {
        receiveOperator(r, request);
    }

    void handle(reduction& r, const server_announcement& announcement)
    {
        receiveServer(r, announcement);
    }

    void handle(reduction& r, const server_departure& departure)
    {
        receiveDeparture(r, departure);
    }

    void handle(reduction& r, const routes_submission& submission)
    {
        submitRoutes(r, submission);
    }

    void handle(reduction& r, const routes_query& query)
    {
        showRoutes(r, query);
    }

    void handle(reduction& r, const retirement_request& request)
    {
        receiveRetirement(r, request);
    }

    void handle(reduction& r, const evacuation_request& request)
    {
        receiveEvacuation(r, request);
    }

    void handle(reduction& r, const dump_requested& request)
    {
        replyWithDump(r, request.exchange);
    }

    void handle(reduction& r, const shutdown_requested& request)
    {
        if (request.immediately) {
            r.out.emplace_back(stop_process { 0 });
            return;
        }
        if (r.state.shutdownSince) {
            return;
        }
        r.state.shutdownSince = r.now;
        updateReadiness(r);
        r.out.emplace_back(close_listeners {});
    }

    void handle(reduction& r, const listeners_drained& /*drained*/) { r.state.isDrained = true; }

    /// A controller has no callers and no upstream.
    template <typename Event>
    void handle(reduction& /*r*/, const Event& /*event*/)
    {
    }

} // namespace

void reduceController(controller_state& state, const event& e, const process_identity& self, time_point now,
    std::mt19937_64& random, effects& out)
{
    reduction r { state, self, now, random, out };
    std::visit([&r](const auto& alternative) { handle(r, alternative); }, e);
}

} // namespace cuminledge::core::controller
