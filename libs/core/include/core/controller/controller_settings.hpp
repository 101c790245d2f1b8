#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <base/json.hpp>
#include <core/consensus/settings.hpp>
#include <core/limits/rate_limit.hpp>

namespace cuminledge::core::controller {

/// One of the controllers that host the groups; the same list stands in the settings of each.
struct controller_member {
    std::string name;
    std::string address; ///< "IP:PORT" for other processes
    std::string operatorAddress; ///< "IP:PORT" of its JSON-RPC listener; may be empty
};

struct controller_settings {
    std::vector<controller_member> controllers;
    bool isSeeded = false; ///< the list came from seeds: others may host the groups too, and are found through these
    bool hostsGroups = true; ///< false: a standby, which only connects to the controllers
    std::uint32_t groupCount = 4; ///< groups 1..groupCount; fixed when the system is first started
    consensus::consensus_settings consensus;
    limits::lease_settings rateLeases;
    std::chrono::milliseconds configLease { 2'000 }; ///< for how long a gateway serves after its last poll
    std::chrono::milliseconds announceLease { 2'000 }; ///< a backend server not announced for so long is gone
    std::chrono::milliseconds turnTimeout { 900'000 }; ///< a turn under way for so long is taken as lost
    std::size_t maxRetainedBytes = 0; ///< turns of all groups that this controller hosts; 0: no bound
    std::set<std::string> failureDomains; ///< that exist; empty: those of the backend servers that are announced
    bool exitsOnStorageFailure = false; ///< where a supervisor starts the process again; else the replica only stops
    std::chrono::milliseconds shutdownLimit { 3'000 }; ///< for handing over leaderships
};

/**
 * Returns how many bytes of turns the replicas of a machine may hold together.
 *
 * @param memoryLimitBytes, diskLimitBytes of the machine; 0: not known.
 * @return 0 if neither limit is known.
 */
std::size_t retainableBytes(const consensus::consensus_settings& settings, std::size_t memoryLimitBytes, std::size_t diskLimitBytes);

/// Reads the object "controller" of a controller's settings; adds a fault for each value out of its range.
controller_settings readSettings(json_object_reader& reader);

} // namespace cuminledge::core::controller
