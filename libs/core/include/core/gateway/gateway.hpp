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
#include <core/controller_client/quarantine_view.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>
#include <core/gateway/call.hpp>
#include <core/gateway/gateway_settings.hpp>
#include <core/identity.hpp>
#include <core/limits/lease_holder.hpp>
#include <core/limits/waiting_calls.hpp>
#include <core/manifest/manifest.hpp>
#include <core/routing/backend_table.hpp>

/// The gateway's reducer: the callers' HTTP interface, authentication, and the processing of a call from admission to
/// answer.
namespace cuminledge::core::gateway {

/// The gateway's view of a backend server.
struct backend_entry {
    wire::backend_record record;
    bool announced = false; ///< false: withdrawn; the entry is kept until its attempts have ended
    bool connected = false;
    std::uint64_t connectedIncarnation = 0;
    std::uint32_t inFlight = 0; ///< number of this gateway's unfinished attempts
    wire::load_report load;
};

/// The configuration received by polling. It is not used for new work under a caller key after the lease expires.
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
    controller_client::quarantine_view quarantine;
};

/// Cached facts about a program. They need no invalidation: a program's account and route never change.
struct known_program {
    std::string account;
    std::string route;
    std::string cacheBackend; ///< backend server that last ran a turn when this entry was made
};

enum class shutdown_phase : std::uint8_t {
    Running,
    NotReady, ///< reported to the load balancer; requests are still accepted
    Draining, ///< listeners are closed; calls in progress may finish
    Stopped
};

struct gateway_counters {
    std::uint64_t callsAccepted = 0;
    std::uint64_t callsAnswered = 0;
    std::uint64_t callsRefused = 0;
    std::uint64_t callersDisconnected = 0;
    std::uint64_t attemptsStarted = 0;
    std::uint64_t attemptsRetried = 0;
    std::uint64_t lookups = 0;
    std::uint64_t duplicateChunks = 0;
    std::uint64_t missingChunks = 0;
    std::uint64_t strayMessages = 0; ///< unexpected messages, such as those about finished attempts
    std::uint64_t keysWithdrawn = 0;
};

/// The whole state of a gateway. The creator fills in identity and settings; process_started initializes the rest.
struct gateway_state {
    process_identity identity;
    gateway_settings settings;
    controller_client::client_state controllers;
    configuration_state configuration;
    std::map<std::string, backend_entry> backends; ///< by backend id
    routing::backend_table routingTable; ///< input of the backend server selection
    std::unordered_map<std::string, std::string> backendBySidecar; ///< peer name to backend id
    std::map<std::uint64_t, gateway_call> calls;
    std::unordered_map<exchange_id, std::uint64_t> callByExchange;
    std::unordered_map<std::uint64_t, std::uint64_t> callByControllerRequest;
    std::unordered_map<std::string, std::uint64_t> callByAttempt;
    std::set<std::uint64_t> callsAwaitingOutcome; ///< call ids in step Outcome
    std::unordered_map<std::string, known_program> knownPrograms; ///< bounded cache; cleared when full
    limits::lease_holder rate;
    limits::waiting_calls rateQueues;
    std::unordered_map<std::string, double> retryTokens; ///< retry budget by client account
    std::uint64_t nextCallId = 1;
    time_point nextSweepAt;
    shutdown_phase shutdown = shutdown_phase::Running;
    time_point shutdownPhaseEnd;
    bool isDrained = false; ///< the listener is closed and has no connection left
    bool ready = false;
    gateway_counters counters;
};

/**
 * Processes one event: updates the state and appends the resulting effects.
 *
 * @param now monotonic time; never decreases between calls.
 * @param random source of ids and jitter.
 * @param out receives the effects, in order.
 */
void reduceGateway(gateway_state& state, const event& e, time_point now, std::mt19937_64& random, effects& out);

} // namespace cuminledge::core::gateway
