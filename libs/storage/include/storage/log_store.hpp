#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <storage/file_system.hpp>
#include <wire/consensus_messages.hpp>

/**
 * Durable log, hard state and snapshot of the replication groups, one folder a group below one data folder:
 *
 *     DATA/group-00000/identity        the disk's incarnation
 *     DATA/group-00000/log-0000000001  segments of checksummed records
 *     DATA/group-00000/snapshot        the newest snapshot, but for its pieces
 *     DATA/group-00000/piece-0000000001  parts of the snapshot that later snapshots share
 */
namespace cuminledge::storage {

struct store_options {
    std::uint64_t segmentBytes = 64U << 20U; ///< a segment that has grown beyond is followed by a new one
};

/// A part of a snapshot in a file of its own (compare core::snapshot_piece).
struct stored_piece {
    std::uint64_t id = 0;
    std::string data;
};

/// What is to become durable. Takes effect in the order of its fields (compare core::persist_log).
struct write_request {
    bool hasHardState = false;
    std::uint64_t term = 0;
    std::string votedFor;
    std::uint64_t truncateFrom = 0; ///< drop entries from this index on; 0: none
    std::vector<wire::log_entry> entries;
    bool hasSnapshot = false;
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotTerm = 0;
    std::string snapshotConfiguration;
    std::string snapshot;
    std::vector<stored_piece> newPieces;
    std::vector<std::uint64_t> pieces; ///< all that belong to the snapshot; others are deleted
};

/// What a group's folder held (compare core::replica_loaded).
struct loaded_replica {
    bool isNew = false;
    std::uint64_t diskIncarnation = 0;
    std::uint64_t term = 0;
    std::string votedFor;
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotTerm = 0;
    std::string snapshotConfiguration;
    std::string snapshot;
    std::vector<stored_piece> pieces; ///< of the snapshot, in ascending order of id
    std::vector<wire::log_entry> entries; ///< behind the snapshot, without gaps
    std::uint64_t repairedBytes = 0; ///< of a torn tail, cut off: a write that was never acknowledged
};

/// A segment of the log that is on disk.
struct segment_info {
    std::uint64_t sequence = 0;
    std::uint64_t lastIndex = 0; ///< highest entry index in it; 0: none
};

/**
 * The open log of one group. Made by openStore(). Not safe for several threads at once.
 *
 *     for (const auto& request : batch) { store.write(request); }
 *     store.sync();   // only now are all of them durable
 *
 * A failure is final: each later call returns it again, and what the disk holds is only known after openStore(). An
 * exception is DiskFull: nothing of the call took effect, and it may be made again.
 */
class log_store {
public:
    log_store(file_system& files, std::string folder, store_options options);

    /// Appends to the log what the request holds besides a snapshot.
    /// @return error DiskFull or Storage.
    outcome append(const write_request& request);

    /**
     * Syncs the log, replaces the snapshot by that of the request and deletes the segments and pieces that it replaces.
     *
     * With DiskFull the older snapshot holds on, or the newer one does beside what it replaces. New pieces that were not
     * written are kept in memory, and written by the next call that names them.
     *
     * @param newPieces those of the request; none when it is tried again.
     * @return error DiskFull or Storage.
     */
    outcome replaceSnapshot(const write_request& request, std::vector<stored_piece> newPieces);

    /// append(), and replaceSnapshot() for a request with a snapshot.
    outcome write(const write_request& request);

    /// Makes all writes so far durable.
    outcome sync();

    /// @return how many syncs reached the disk, for metrics.
    [[nodiscard]] std::uint64_t syncCount() const { return m_syncCount; }

    /// Called by openStore(): takes up a loaded log, whose last segment may grow on.
    /// @param lastSegmentBytes of the last of `segments`; without segments a first one is made.
    outcome resume(std::vector<segment_info> segments, std::uint64_t lastSegmentBytes, const loaded_replica& loaded);

private:
    outcome appendRecords(const write_request& request);
    outcome appendBytes(std::string_view bytes);
    outcome rewriteUnsynced();
    outcome storeSnapshot(const write_request& request);
    outcome storePieces();
    outcome startSegment();
    outcome deleteCoveredSegments(std::uint64_t snapshotIndex);
    outcome note(outcome o);

    file_system& m_files;
    std::string m_folder;
    store_options m_options;
    std::vector<segment_info> m_segments;
    std::unique_ptr<append_file> m_file;
    std::uint64_t m_size = 0; ///< of the last segment
    std::uint64_t m_syncedSize = 0;
    std::string m_unsynced; ///< the bytes of the last segment behind m_syncedSize
    bool m_mustRewrite = false; ///< they may not have arrived in the file
    std::uint64_t m_syncCount = 0;
    std::uint64_t m_term = 0;
    std::string m_votedFor;
    std::vector<stored_piece> m_unstoredPieces;
    std::optional<error> m_failure;
};

struct opened_store {
    std::unique_ptr<log_store> store;
    loaded_replica loaded;
};

/**
 * Opens or makes a group's folder, checks every record and repairs a torn tail.
 *
 * @param dataFolder is made if it is missing.
 * @param newIncarnation random; used if the folder is new.
 * @return errors: Corrupt naming the segment and offset of a damaged record that had been synced; Storage.
 */
result<opened_store> openStore(file_system& files, const std::string& dataFolder, std::uint32_t group,
    std::uint64_t newIncarnation, const store_options& options = {});

} // namespace cuminledge::storage
