#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include <base/json.hpp>
#include <core/controller_client/controller_client.hpp>

namespace cuminledge::core::gateway {

/// What a gateway reads from its settings file, beside its identity and its listeners.
struct gateway_settings {
    std::vector<controller_client::controller_address> controllers;
    std::chrono::milliseconds configPollInterval { 500 };
    std::chrono::milliseconds controllerTimeout { 5'000 }; ///< for one command or read
    std::chrono::milliseconds queueTimeout { 30'000 }; ///< a call not started by then is refused as not run
    std::chrono::milliseconds progressTimeout { 20'000 }; ///< a started attempt silent for so long is looked up
    std::chrono::milliseconds callTimeout { 120'000 }; ///< whole call
    std::chrono::milliseconds outcomeWait { 10'000 }; ///< how long a resent call waits for its record to settle
    std::chrono::milliseconds retryPause { 50 }; ///< first pause before a retry; doubles, with jitter
    std::chrono::milliseconds shutdownDelay { 500 }; ///< from "not ready" until the listeners close
    std::chrono::milliseconds shutdownLimit { 60'000 }; ///< what is still under way then is cut off
    std::size_t maxCalls = 20'000; ///< under way at once; more are refused
    std::size_t maxAttempts = 4; ///< of a repeatable call
};

/// Reads the gateway's members of the settings object; faults are collected by the reader.
gateway_settings readSettings(json_object_reader& reader);

} // namespace cuminledge::core::gateway
