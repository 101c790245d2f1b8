#include <core/consensus/settings.hpp>

namespace cuminledge::core::consensus {

duration leaseDuration(const consensus_settings& settings)
{
    const double ratio = (1.0 - settings.maxClockDrift) / (1.0 + settings.maxClockDrift);
    const auto minimum = std::chrono::duration_cast<duration>(settings.electionTimeoutMin);
    return std::chrono::duration_cast<duration>(minimum * ratio);
}

consensus_settings readSettings(json_object_reader& reader)
{
    using std::chrono::milliseconds;
    consensus_settings s;
    s.heartbeatInterval
        = reader.milliseconds("heartbeat_ms", milliseconds(5), milliseconds(10000), s.heartbeatInterval);
    s.electionTimeoutMin
        = reader.milliseconds("election_timeout_min_ms", milliseconds(20), milliseconds(60000), s.electionTimeoutMin);
    s.electionTimeoutMax
        = reader.milliseconds("election_timeout_max_ms", milliseconds(40), milliseconds(120000), s.electionTimeoutMax);
    s.maxClockDrift = reader.number("max_clock_drift", 0, 0.2, s.maxClockDrift);
    s.snapshotAfterEntries
        = static_cast<std::uint64_t>(reader.integer("snapshot_after_entries", 10, 10000000, 10000));
    s.snapshotAfterBytes
        = static_cast<std::size_t>(reader.integer("snapshot_after_bytes", 1 << 10, 1 << 30, 8 << 20));
    s.retainedEntries = static_cast<std::uint64_t>(reader.integer("retained_entries", 0, 1000000, 4000));
    s.retainedBytes = static_cast<std::size_t>(reader.integer("retained_bytes", 0, 1 << 30, 16 << 20));
    s.snapshotChunkBytes
        = static_cast<std::size_t>(reader.integer("snapshot_chunk_bytes", 1024, 4 << 20, 256 << 10));
    s.maxEntriesPerAppend = static_cast<std::size_t>(reader.integer("max_entries_per_append", 1, 10000, 256));
    s.maxAppendsInFlight = static_cast<std::size_t>(reader.integer("max_appends_in_flight", 1, 1000, 8));
    s.maxUnsyncedBytes = static_cast<std::size_t>(reader.integer("max_unsynced_bytes", 1 << 10, 1 << 30, 16 << 20));
    if (s.electionTimeoutMin < 3 * s.heartbeatInterval) {
        reader.fault("election_timeout_min_ms", "expected at least three times heartbeat_ms");
    }
    if (s.electionTimeoutMax <= s.electionTimeoutMin) {
        reader.fault("election_timeout_max_ms", "expected more than election_timeout_min_ms");
    }
    reader.finish();
    return s;
}

} // namespace cuminledge::core::consensus
