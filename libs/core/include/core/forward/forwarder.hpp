#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include <core/controller_client/config_poll.hpp>
#include <core/controller_client/controller_client.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>
#include <core/forward/crash_tracker.hpp>
#include <core/forward/demand_meter.hpp>
#include <core/forward/forward_call.hpp>
#include <core/forward/forwarder_settings.hpp>
#include <core/forward/hedging.hpp>
#include <core/forward/program_memory.hpp>
#include <core/forward/room_queue.hpp>
#include <core/forward/server_table.hpp>
#include <core/forward/turn_cache.hpp>
#include <core/identity.hpp>
#include <core/limits/lease_holder.hpp>
#include <core/limits/waiting_calls.hpp>
#include <wire/route_table.hpp>

/**
 * The forwarding gateway sends each request whose host and path match a route to a backend server of the route's
 * service, and returns the server's answer unchanged. It enforces keys, rates and token budgets, and retains turns.
 *
 * A request that is not idempotent is sent again only if it is proved not to have run.
 */
namespace cuminledge::core::forward {

/// The current configuration. The gateway keeps serving with it while no controller is reachable.
struct held_configuration {
    controller_client::poll_state poll;
    wire::route_table table; ///< version 0: none yet
    std::uint32_t groupCount = 1;
    std::uint64_t membershipEpoch = 0;
    std::uint64_t membershipVersion = 0;
    std::map<std::string, std::size_t> accountByKey; ///< index into table.accounts
    time_point confirmedAt {}; ///< send time of the last poll that was answered
};

enum class shutdown_phase : std::uint8_t {
    Running,
    Announced, ///< not ready, but still accepting connections
    Draining ///< completes only the requests under way
};

struct forwarder_counters {
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t newProgramsRefused = 0; ///< first turns refused because their account's rate was used up
    std::uint64_t confirmations = 0; ///< times that a request waited for the configuration to be confirmed
    std::uint64_t rateRetries = 0; ///< times that a request of a known program was held to ask again for a rate token
    std::uint64_t answered = 0;
    std::uint64_t broken = 0; ///< answers aborted before their end
    std::uint64_t callersGone = 0;
    std::uint64_t sends = 0;
    std::uint64_t notRun = 0; ///< sends that a server refused to run or that never reached it
    std::uint64_t lost = 0; ///< sends that may have run but whose answer was lost
    std::uint64_t resumed = 0; ///< streams resumed on another server
    std::uint64_t chainsCached = 0;
    std::uint64_t chainsRead = 0;
    std::uint64_t roomWaits = 0; ///< calls that waited until an engine had room
    std::uint64_t programsOverloaded = 0; ///< new programs refused because no engine would have had room in time
    std::uint64_t chainsHeld = 0; ///< kept longer in their group for a turn under way
    std::uint64_t expired = 0;
    std::uint64_t strayMessages = 0;
};

/// What this gateway knows of the load of engines, and which calls wait until one has room.
struct engine_room {
    std::map<std::string, double> loads; ///< by service: requests under way or waiting at all gateways, divided by what engines run at once
    time_point toldAt {}; ///< when the controllers last said so
    std::map<std::string, room_queue> queues; ///< by service
    std::uint64_t lastSequence = 0;
    bool hasChanged = false; ///< an engine may have room since the queues were last looked at
    std::map<std::pair<std::string, std::string>, double> prefixRequests; ///< since the last poll, by service and prefix
    std::set<std::string> measured; ///< servers whose time was measured since the last poll
};

/// State of the reducer. Construct it with identity and settings filled in, then pass process_started and further events.
struct forwarder_state {
    process_identity identity;
    forwarder_settings settings;
    controller_client::client_state controllers;
    held_configuration configuration;
    limits::lease_holder rate;
    server_table servers;
    crash_tracker crashes;
    std::map<std::string, demand_meter> demand; ///< by service
    engine_room room;
    forward::hedging hedging;
    turn_cache turns;
    std::unordered_map<exchange_id, forward_call> calls;
    std::set<std::pair<time_point, exchange_id>> expiries; ///< of all calls
    std::set<exchange_id> unconfirmed; ///< calls in step Confirm
    std::unordered_map<std::string, exchange_id> callByUpstream;
    std::unordered_map<std::uint64_t, exchange_id> callByControllerRequest; ///< by id of the request to the controllers
    std::size_t heldAnswerBytes = 0; ///< kept of the answers of all calls
    limits::waiting_calls rateQueues;
    std::set<std::pair<time_point, exchange_id>> rateRetries; ///< calls by the time of their next request for a rate token
    recent_programs programs;
    std::uint64_t nextUpstream = 1;
    time_point startedAt {};
    shutdown_phase shutdown = shutdown_phase::Running;
    time_point shutdownStepAt {};
    bool isDrained = false; ///< the listener is closed and has no connection left
    bool isReady = false;
    forwarder_counters counters;
};

/**
 * Processes one event.
 *
 * @param now monotonic time; must not decrease between calls.
 * @param out receives the effects, in order.
 */
void reduceForwarder(forwarder_state& state, const event& e, time_point now, std::mt19937_64& random, effects& out);

} // namespace cuminledge::core::forward
