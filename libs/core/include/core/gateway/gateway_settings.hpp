#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include <base/json.hpp>
#include <core/controller_client/controller_client.hpp>

namespace cuminledge::core::gateway {

/// The gateway's settings, apart from its identity and its listeners.
struct gateway_settings {
    std::vector<controller_client::controller_address> controllers;
    std::chrono::milliseconds configPollInterval { 500 };
    std::chrono::milliseconds controllerTimeout { 5'000 }; ///< per command or read
    std::chrono::milliseconds queueTimeout { 30'000 }; ///< a call that has not started within it is refused as not run
    std::chrono::milliseconds progressTimeout { 20'000 }; ///< an attempt without progress for this long is looked up
    std::chrono::milliseconds callTimeout { 120'000 }; ///< for a whole call, unless the service operation sets its own
    std::chrono::milliseconds outcomeWait { 10'000 }; ///< wait for the outcome of a resent or lost call
    std::chrono::milliseconds retryPause { 50 }; ///< pause before the first retry; doubles per retry, with jitter
    std::chrono::milliseconds shutdownDelay { 500 }; ///< time from reporting not ready to closing the listeners
    std::chrono::milliseconds shutdownLimit { 60'000 }; ///< calls still in progress after it are refused
    std::size_t maxCalls = 20'000; ///< calls in progress at once; further calls are refused
    std::size_t maxAttempts = 4; ///< attempts per repeatable call
};

/// Reads the gateway's members of the settings object. The reader collects the faults.
gateway_settings readSettings(json_object_reader& reader);

} // namespace cuminledge::core::gateway
