#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <json/value.h>

#include <base/error.hpp>
#include <base/log.hpp>
#include <core/node.hpp>

namespace cuminledge::host {

/// Which of the three programs a process is.
enum class process_role {
    Gateway,
    Sidecar,
    Controller
};

/// @return "gateway", "sidecar" or "controller".
const char* toString(process_role role);

/**
 * What a process reads from its settings file, besides the settings of its role's module.
 * Addresses are "IP:PORT"; an empty one means that the process has no such listener.
 */
struct process_settings {
    process_role role = process_role::Gateway;
    core::process_identity identity;
    log_level level = log_level::Info;
    std::string secret; ///< shared by the system's own processes; proves a hello
    std::string peerAddress; ///< own processes
    std::string adminAddress; ///< /livez, /readyz, /metrics, /debug/state
    std::string callerAddress; ///< gateway: callers' HTTP
    std::string operatorAddress; ///< controller: operators' JSON-RPC
    std::string controlAddress; ///< controller of a deployment with route tables: backend servers and operators
    std::string readinessPath = "/readyz"; ///< on the admin listener
    std::chrono::milliseconds connectTimeout { 2'000 }; ///< to a backend server
    std::chrono::milliseconds tickInterval { 10 }; ///< how often deadlines are looked at
    std::string dataFolder; ///< controller: log and snapshots
    std::size_t maxBodyBytes = 4U << 20U; ///< of a caller's request
    std::size_t maxRequestBytes = 12U << 20U; ///< of callers' requests that are not answered, together; twice maxBodyBytes at least
    std::uint32_t maxConnections = 10000; ///< of callers
    std::size_t memoryLimitBytes = 0; ///< of the machine, for this process; 0: not known
    std::size_t diskLimitBytes = 0; ///< of the machine's data disk; 0: not known
    std::string settingsFile; ///< where the settings were read
    std::string traceFile; ///< records every event; empty: none
};

/// Settings and the node they make.
struct loaded_settings {
    process_settings process;
    core::node node;
};

/**
 * Reads a settings document and makes the node of the role.
 *
 * @param document the parsed JSON object.
 * @param name what errors call the document, e.g. its file name.
 * @return every fault of the document in one error: file, JSON path, what was expected.
 */
result<loaded_settings> readSettings(const Json::Value& document, const std::string& name, process_role role);

/// Reads the settings file, then readSettings().
result<loaded_settings> loadSettings(const std::string& file, process_role role);

} // namespace cuminledge::host
