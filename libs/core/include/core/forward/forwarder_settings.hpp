#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include <base/json.hpp>
#include <core/controller_client/controller_client.hpp>

namespace cuminledge::core::forward {

/// The object "forwarder" of a forwarding gateway's settings.
struct forwarder_settings {
    std::vector<controller_client::controller_address> controllers;
    std::chrono::milliseconds configPollInterval { 300 };
    std::chrono::milliseconds firstPollInterval { 60 }; ///< while no configuration or no server is known
    std::chrono::milliseconds startUpTime { 1'500 }; ///< from a start of all processes until the controllers answer
    std::chrono::milliseconds controllerTimeout { 1'500 }; ///< a budget or a turn's chain is waited for so long
    std::chrono::milliseconds settleTimeout { 10'000 }; ///< a settlement is resent for so long
    std::chrono::milliseconds ratePatience { 600 }; ///< a request of a program under way waits so long for its account's rate
    std::chrono::milliseconds retryAdvice { 250 }; ///< told to callers that are refused for want of a server
    std::chrono::milliseconds shutdownDelay { 2'500 }; ///< SIGTERM: still taking connections, so that the balancer notices
    std::chrono::milliseconds shutdownLimit { 4'500 }; ///< then, for the requests under way
    std::size_t cacheBytes = 24U << 20U; ///< of retained turns
    std::size_t maxCalls = 4'000; ///< under way; further ones are refused
};

/// Reads the object "forwarder" of a gateway's settings; adds a fault for each value out of its range.
forwarder_settings readSettings(json_object_reader& reader);

} // namespace cuminledge::core::forward
