#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include <base/json.hpp>
#include <core/controller_client/controller_client.hpp>
#include <core/forward/hedging.hpp>
#include <core/forward/request_allowance.hpp>
#include <core/forward/room_queue.hpp>

namespace cuminledge::core::forward {

/// The "forwarder" object of a forwarding gateway's settings.
struct forwarder_settings {
    std::vector<controller_client::controller_address> controllers;
    std::chrono::milliseconds configPollInterval { 300 };
    std::chrono::milliseconds firstPollInterval { 60 }; ///< while no configuration or no server is known
    std::chrono::milliseconds startUpTime { 1'500 }; ///< expected time until the controllers answer when all processes start together
    std::chrono::milliseconds controllerTimeout { 1'500 }; ///< longest wait for a budget reservation or a turn's chain
    std::chrono::milliseconds maxServersAge { 1'000 }; ///< of the list of servers from which a stream is resumed
    std::chrono::milliseconds settleTimeout { 10'000 }; ///< how long a settlement, or the record of a stream, is resent
    std::chrono::milliseconds rateWaitLimit { 600 }; ///< longest wait of a known program's request for its account's rate
    std::chrono::milliseconds defaultRetryAfter { 250 }; ///< Retry-After of refusals when no server or controller can take the request
    std::chrono::milliseconds shutdownDelay { 2'500 }; ///< after SIGTERM: connections are still accepted while the load balancer notices
    std::chrono::milliseconds shutdownLimit { 4'500 }; ///< after shutdownDelay: longest wait for the requests under way
    std::size_t cacheBytes = 24U << 20U; ///< capacity of the turn cache
    std::size_t maxChainBytes = 12U << 20U; ///< of the earlier turns in one prompt; a turn that continues more is refused
    allowance_settings allowances; ///< of servers that limit their requests
    std::size_t maxAnswerBytes = 24U << 20U; ///< kept of the answers of all calls together
    std::uint32_t shareLoadsFrom = 0; ///< gateways from which on they tell one another of their requests at engines; 0: never
    std::chrono::milliseconds loadReportInterval { 150 }; ///< between polls where loads are shared
    std::chrono::milliseconds maxLoadsAge { 1'000 }; ///< older reports are not used
    double fullLoad = 0.95; ///< of a service's engines; from it on, requests wait here for an engine that has room
    bool learnsServerTimes = false; ///< servers at which requests last longer get fewer
    room_queue_settings roomQueue;
    hedge_settings hedges;
    std::size_t maxCalls = 4'000; ///< concurrent calls; further requests are refused
};

/// Reads the "forwarder" object of a gateway's settings and adds a fault for each value out of range.
forwarder_settings readSettings(json_object_reader& reader);

} // namespace cuminledge::core::forward
