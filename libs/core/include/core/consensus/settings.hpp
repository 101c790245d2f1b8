#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <base/clock.hpp>
#include <base/json.hpp>

namespace cuminledge::core::consensus {

/// Times and sizes of the replication protocol. All replicas of a group use the same ones.
struct consensus_settings {
    std::chrono::milliseconds heartbeatInterval { 50 };
    std::chrono::milliseconds electionTimeoutMin { 300 }; ///< also how long a follower stands by its leader
    std::chrono::milliseconds electionTimeoutMax { 600 };
    double maxClockDrift = 0.02; ///< bound on how far the rate of any controller's clock is from true time
    std::uint64_t snapshotAfterEntries = 10000; ///< entries since the last snapshot that make the next one due
    std::uint64_t retainedEntries = 1000; ///< kept in memory behind a snapshot, for followers that are just behind
    std::size_t snapshotChunkBytes = 256U << 10U;
    std::size_t maxEntriesPerAppend = 256;
    std::size_t maxBytesPerAppend = 1U << 20U;
    std::size_t maxAppendsInFlight = 8; ///< for each follower
};

/**
 * How long a leader may serve reads after it sent a heartbeat that a quorum answered.
 *
 * @return shorter than electionTimeoutMin even if the leader's clock is slow and a follower's fast by maxClockDrift
 *         (Gray and Cheriton, "Leases", 1989).
 */
duration leaseDuration(const consensus_settings& settings);

/// Reads the object "consensus" of a controller's settings; adds a fault for each value out of its range.
consensus_settings readSettings(json_object_reader& reader);

} // namespace cuminledge::core::consensus
