#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <base/json.hpp>
#include <core/controller_client/controller_client.hpp>
#include <wire/control_messages.hpp>

namespace cuminledge::core::sidecar {

/// What a sidecar reads from its settings file, beside its identity and its listeners.
struct sidecar_settings {
    std::vector<controller_client::controller_address> controllers;
    std::string backend; ///< id of the backend server, unique in the fleet
    wire::backend_kind kind = wire::backend_kind::Engine;
    std::string backendAddress; ///< "IP:PORT" of the engine or service
    std::string peerAddress; ///< "IP:PORT" of the own peer listener, announced to gateways
    std::vector<std::string> models; ///< "model" or "model@version"; for a service: its name
    std::uint32_t batchLimit = 16; ///< requests given to the backend server at once
    std::int64_t cacheTokens = 0; ///< memory of the engine's prefix cache
    bool checksFencing = false; ///< the engine refuses an order that carries an old fencing number
    std::size_t maxWaiting = 4'096; ///< attempts in the queue; more are refused
    std::chrono::milliseconds silenceTimeout { 10'000 }; ///< of the backend server, before it is probed
    std::chrono::milliseconds probeTimeout { 1'000 };
    std::chrono::milliseconds finishedRetention { 120'000 }; ///< how long a finished attempt answers late queries
    std::size_t finishedBytes = 32U << 20U; ///< bound of the answers of finished attempts together
    std::size_t historyBytes = 8U << 20U; ///< bound of the texts of histories kept here
    std::chrono::milliseconds shutdownLimit { 60'000 }; ///< what is still under way then is cut off
};

/// Reads the sidecar's members of the settings object; faults are collected by the reader.
sidecar_settings readSettings(json_object_reader& reader);

} // namespace cuminledge::core::sidecar
