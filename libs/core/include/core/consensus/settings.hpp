#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <base/clock.hpp>
#include <base/json.hpp>

namespace cuminledge::core::consensus {

/// Times, sizes and membership rules of the replication protocol. All replicas of a group use the same ones, but for
/// formsGroup.
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
    bool formsGroup = true; ///< false: with an empty disk this replica only joins a group that exists already
    bool admitsOthers = false; ///< controllers that are not initial members may join, and return after a removal
    std::size_t voters = 0; ///< with so many members, further replicas stay learners; 0: no bound
    /// A voter silent for so long gives its place to a learner that has caught up. Longer than a restart takes.
    std::chrono::milliseconds replaceAfter { 2'000 };
    /// A learner silent for so long is dropped; it asks to join again when it is back.
    std::chrono::milliseconds dropLearnerAfter { 10'000 };
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
