#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include <core/controller_client/config_poll.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>
#include <core/gateway/call.hpp>
#include <core/gateway/gateway_settings.hpp>
#include <core/identity.hpp>
#include <core/limits/lease_holder.hpp>
#include <core/limits/waiting_calls.hpp>
#include <core/manifest/manifest.hpp>
#include <core/routing/backend_table.hpp>

/// The gateway's part of the reducer: callers' HTTP interface, authentication, and the path of a call from its
/// admission to its answer.
namespace cuminledge::core::gateway {

/// A backend server as the gateway sees it.
struct backend_entry {
    wire::backend_record record;
    bool announced = false; ///< false: it has left; kept until its attempts have ended
    bool connected = false;
    std::uint64_t connectedIncarnation = 0;
    std::uint32_t inFlight = 0; ///< attempts of this gateway
    wire::load_report load;
};

/// What configuration polls brought. Nothing of it is used for new keyed work once the lease has run out.
struct configuration_state {
    controller_client::poll_state poll;
    time_point leaseUntil;
    std::uint32_t groupCount = 1;
    std::uint64_t manifestNumber = 0;
    std::optional<manifest::manifest> manifest;
    std::uint64_t keyRevision = 0;
    std::map<std::string, wire::key_record> keys;
    std::uint64_t membershipEpoch = 0;
    std::uint64_t membershipVersion = 0;
    std::uint64_t quarantineRevision = 0;
    std::map<std::string, wire::quarantine_record> quarantine;
};

/// What this gateway knows of a program without asking: a program's account and route never change.
struct known_program {
    std::string account;
    std::string route;
    std::string home;
};

enum class shutdown_phase : std::uint8_t {
    Running,
    NotReady, ///< the balancer is told; requests are still taken
    Draining, ///< listeners are closed
    Stopped
};

struct gateway_counters {
    std::uint64_t callsTaken = 0;
    std::uint64_t callsAnswered = 0;
    std::uint64_t callsRefused = 0;
    std::uint64_t callersGone = 0;
    std::uint64_t attemptsStarted = 0;
    std::uint64_t attemptsRetried = 0;
    std::uint64_t lookups = 0;
    std::uint64_t chunksDoubled = 0;
    std::uint64_t chunksMissing = 0;
    std::uint64_t strayMessages = 0; ///< about attempts that have ended here
    std::uint64_t keysWithdrawn = 0;
};

/// Everything a gateway knows. Made with identity and settings filled in; process_started begins it.
struct gateway_state {
    process_identity identity;
    gateway_settings settings;
    controller_client::client_state controllers;
    configuration_state configuration;
    std::map<std::string, backend_entry> backends; ///< by backend id
    routing::backend_table routes; ///< what the choice of a backend server reads
    std::unordered_map<std::string, std::string> backendOfSidecar; ///< peer name to backend id
    std::map<std::uint64_t, call> calls;
    std::unordered_map<exchange_id, std::uint64_t> callOfExchange;
    std::unordered_map<std::uint64_t, std::uint64_t> callOfRequest; ///< by controller request
    std::unordered_map<std::string, std::uint64_t> callOfAttempt;
    std::set<std::uint64_t> outcomeCalls; ///< calls in step Outcome
    std::unordered_map<std::string, known_program> programs; ///< bounded; emptied when full
    limits::lease_holder rate;
    limits::waiting_calls rateQueues;
    std::unordered_map<std::string, double> retryTokens; ///< by client account
    std::uint64_t nextCall = 1;
    time_point nextSweepAt;
    shutdown_phase shutdown = shutdown_phase::Running;
    time_point shutdownStepAt;
    bool ready = false;
    gateway_counters counters;
};

/**
 * Takes one event.
 *
 * @param now monotonic; never goes back from one call to the next.
 * @param random for ids and jitter.
 * @param out gets the effects, in order.
 */
void reduceGateway(gateway_state& state, const event& e, time_point now, std::mt19937_64& random, effects& out);

} // namespace cuminledge::core::gateway
