#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <base/clock.hpp>
#include <base/json.hpp>

namespace cuminledge::core::consensus {

/// The log must hold what follows a snapshot that is being sent, so the next one is delayed, but only up to this multiple
/// of the interval.
constexpr std::uint64_t maxSnapshotIntervals = 4;

/// Times, sizes and membership rules of the replication protocol. Except for formsGroup, all replicas of a group use
/// the same values.
struct consensus_settings {
    std::chrono::milliseconds heartbeatInterval { 50 };
    std::chrono::milliseconds electionTimeoutMin { 300 }; ///< also how long a follower refuses votes after contact with its leader
    std::chrono::milliseconds electionTimeoutMax { 600 };
    double maxClockDrift = 0.02; ///< upper bound of the relative rate error of any controller's clock
    std::uint64_t snapshotAfterEntries = 10000; ///< entries after the last snapshot at which the next one is due
    std::size_t snapshotAfterBytes = 8U << 20U; ///< the same in bytes of committed commands; whichever comes first
    std::uint64_t retainedEntries = 4000; ///< kept in memory before a snapshot, for followers that lag by a few entries
    std::size_t retainedBytes = 16U << 20U; ///< fewer entries are retained if their commands are larger
    std::size_t snapshotChunkBytes = 256U << 10U;
    std::size_t maxEntriesPerAppend = 256;
    std::size_t maxBytesPerAppend = 1U << 20U;
    std::size_t maxAppendsInFlight = 8; ///< per follower
    /// While commands of more bytes wait for the disk, a leader refuses proposals and a follower takes no entries.
    std::size_t maxUnsyncedBytes = 16U << 20U;
    bool formsGroup = true; ///< false: with an empty disk this replica only joins an existing group
    bool admitsOthers = false; ///< controllers that are not initial members may join, and removed ones may rejoin
    std::size_t voters = 0; ///< further replicas stay learners once the group has this many members; 0: no limit
    /// A voter that has not responded for this time is replaced by a learner that has caught up. Longer than a restart.
    std::chrono::milliseconds voterReplacementTimeout { 2'000 };
    /// A learner that has not responded for this time is removed. It requests to join again when it is back.
    std::chrono::milliseconds learnerRemovalTimeout { 10'000 };
};

/**
 * Returns how long a leader may serve reads after it sent a heartbeat that a quorum answered.
 *
 * @return a duration that ends before electionTimeoutMin even if the leader's clock is slow and a follower's clock is
 *         fast by maxClockDrift (Gray and Cheriton, "Leases", 1989).
 */
duration leaseDuration(const consensus_settings& settings);

/// Reads the object "consensus" of a controller's settings; adds a fault for each value outside its range.
consensus_settings readSettings(json_object_reader& reader);

} // namespace cuminledge::core::consensus
