#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <base/clock.hpp>
#include <base/error.hpp>
#include <base/json.hpp>
#include <core/effect.hpp>
#include <wire/commands.hpp>

/**
 * Asks the controllers on behalf of a gateway or a sidecar: finds each group's leader, follows hints, and resends a
 * request under the same id until it is answered or its deadline passes.
 *
 * Commands name their attempt, so that the state applies a resent one once. A request that runs into its deadline is
 * not known to have failed: its error is Timeout, and whoever asked treats the outcome as unknown.
 */
namespace cuminledge::core::controller_client {

/// Where a controller listens for other processes.
struct controller_address {
    std::string name;
    std::string address; ///< "IP:PORT"
};

/// A request that waits for its answer.
struct pending_request {
    std::uint32_t group = 0;
    bool isQuery = false;
    std::string body;
    std::string step; ///< named in errors
    std::string askedPeer;
    std::uint32_t redirects = 0; ///< hints followed since the last pause
    time_point deadline;
    time_point resendAt;
};

/// The final word on a request.
struct answer {
    std::uint64_t request = 0;
    result<wire::command_result> outcome;
};

/// Made by readControllers() or by hand; start() before the first request.
struct client_state {
    std::vector<controller_address> controllers;
    std::size_t seeds = 0; ///< so many at the front came from the settings, and stay
    std::uint64_t directoryIndex = 0; ///< of the last directory taken
    std::set<std::string> connected;
    std::map<std::uint32_t, std::string> leaders; ///< by group, as last heard
    std::size_t nextController = 0; ///< round robin while a leader is not known
    std::uint64_t nextRequest = 1;
    std::unordered_map<std::uint64_t, pending_request> pending;
    std::uint64_t requestsSent = 0;
    std::uint64_t requestsResent = 0;
    std::uint64_t requestsTimedOut = 0;
};

/// Reads the member "controllers": a list of objects with "name" and "address"; or the members of readSeeds().
std::vector<controller_address> readControllers(json_object_reader& reader);

/// Connects to every controller.
void start(client_state& state, effects& out);

/// Learns which controllers there are, where the settings name only seeds. Connects to new ones and leaves those that
/// are gone; a list older than the last one changes nothing.
void applyDirectory(client_state& state, const wire::controller_directory& directory, effects& out);

/// @return whether the peer is one of the controllers.
bool isController(const client_state& state, const std::string& peer);

void onConnected(client_state& state, const std::string& peer, time_point now, effects& out);
void onDisconnected(client_state& state, const std::string& peer, time_point now);

/// @return whom to ask about the group now; empty where no controller is connected.
std::string selectController(client_state& state, std::uint32_t group);

/// Learns from a peer that does not lead the group. @param leader its hint; empty: any other controller.
void recordNotLeader(client_state& state, std::uint32_t group, const std::string& peer, const std::string& leader);

/// Learns that the peer leads the group, as it answered for it.
void recordLeader(client_state& state, std::uint32_t group, const std::string& peer);

/// Sends a command. @return the request's id, which its answer names.
std::uint64_t send(client_state& state, std::uint32_t group, const wire::command& command, const std::string& step,
    time_point now, std::chrono::milliseconds timeout, effects& out);

/// Sends a read. @return the request's id, which its answer names.
std::uint64_t send(client_state& state, std::uint32_t group, const wire::query& query, const std::string& step,
    time_point now, std::chrono::milliseconds timeout, effects& out);

/// Nobody waits for the answer any more. The request may still take effect.
void discardRequest(client_state& state, std::uint64_t request);

/// Takes a controller's response. @return the answer, where the response ends a request; doubled ones return nothing.
std::optional<answer> receive(client_state& state, const std::string& peer, const wire::controller_response& response,
    time_point now, effects& out);

/// Resends what has waited too long. @return the requests whose deadline has passed, as errors.
std::vector<answer> expire(client_state& state, time_point now, effects& out);

} // namespace cuminledge::core::controller_client
