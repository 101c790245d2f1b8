#include <storage/log_store.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "record.hpp"
#include "segment.hpp"
#include "snapshot_file.hpp"

namespace cuminledge::storage {

//------------------------------------------------------------------------------------------------------------------
// Writing
//------------------------------------------------------------------------------------------------------------------

log_store::log_store(file_system& files, std::string folder, store_options options)
    : m_files(files)
    , m_folder(std::move(folder))
    , m_options(options)
{
}

outcome log_store::note(outcome o)
{
    if (!o && !m_failure && o.error().code != error_code::DiskFull) {
        m_failure = o.error();
    }
    return o;
}

outcome log_store::append(const write_request& request)
{
    if (m_failure) {
        return tl::unexpected(*m_failure);
    }
    return note(appendRecords(request));
}

outcome log_store::replaceSnapshot(const write_request& request, std::vector<stored_piece> newPieces)
{
    if (m_failure) {
        return tl::unexpected(*m_failure);
    }
    std::move(newPieces.begin(), newPieces.end(), std::back_inserter(m_unstoredPieces));
    const auto isNamed = [&request](const stored_piece& piece) {
        return std::find(request.pieces.begin(), request.pieces.end(), piece.id) != request.pieces.end();
    };
    std::erase_if(m_unstoredPieces, [&](const stored_piece& piece) { return !isNamed(piece); });
    return note(storeSnapshot(request));
}

outcome log_store::write(const write_request& request)
{
    return append(request).and_then(
        [&](auto) { return request.hasSnapshot ? replaceSnapshot(request, request.newPieces) : outcome {}; });
}

outcome log_store::sync()
{
    if (m_failure) {
        return tl::unexpected(*m_failure);
    }
    if (m_syncedSize == m_size) {
        return {};
    }
    if (auto rewritten = note(rewriteUnsynced()); !rewritten) {
        return rewritten;
    }
    ++m_syncCount;
    auto synced = note(m_file->sync());
    if (synced) {
        m_syncedSize = m_size;
        m_unsynced.clear();
    } else {
        m_mustRewrite = true;
    }
    return synced;
}

/// Writes again what may not have arrived: after a sync that found the disk full the kernel drops the pages, and the next
/// sync would succeed without them.
outcome log_store::rewriteUnsynced()
{
    if (!m_mustRewrite) {
        return {};
    }
    auto done = m_files.truncate(m_folder + "/" + segmentName(m_segments.back().sequence), m_syncedSize)
                    .and_then([&](auto) { return m_file->append(m_unsynced); });
    m_mustRewrite = !done;
    return done;
}

outcome log_store::appendRecords(const write_request& request)
{
    if (m_size > m_options.segmentBytes) {
        if (auto started = startSegment(); !started) {
            return started;
        }
    }
    std::string bytes;
    const auto add = [&](const record& value) {
        frameRecord(bytes, value, m_segments.back().sequence, m_size + bytes.size(), m_syncedSize);
    };
    if (request.hasHardState) {
        add(hard_state_record { request.term, request.votedFor });
    }
    if (request.truncateFrom != 0) {
        add(truncate_record { request.truncateFrom });
    }
    for (const auto& entry : request.entries) {
        add(entry);
    }
    if (auto appended = appendBytes(bytes); !appended) {
        return appended;
    }
    if (request.hasHardState) {
        m_term = request.term;
        m_votedFor = request.votedFor;
    }
    for (const auto& entry : request.entries) {
        m_segments.back().lastIndex = std::max(m_segments.back().lastIndex, entry.index);
    }
    return {};
}

/// Appends to the last segment. What a full disk took of the bytes is cut off again.
outcome log_store::appendBytes(std::string_view bytes)
{
    if (auto rewritten = rewriteUnsynced(); !rewritten) {
        return rewritten;
    }
    auto appended = m_file->append(bytes);
    if (appended) {
        m_size += bytes.size();
        m_unsynced += bytes;
        return {};
    }
    if (appended.error().code != error_code::DiskFull) {
        return appended;
    }
    if (auto cut = m_files.truncate(m_folder + "/" + segmentName(m_segments.back().sequence), m_size); !cut) {
        m_mustRewrite = true;
        return cut;
    }
    return appended;
}

/// The next segment begins with the hard state, so that the ones before it can be deleted. It counts once it and its name
/// are durable: whoever finds the disk full before that goes on in the segment before it.
outcome log_store::startSegment()
{
    if (m_file) {
        if (auto synced = sync(); !synced) {
            return synced;
        }
    }
    const std::uint64_t sequence = m_segments.empty() ? 1 : m_segments.back().sequence + 1;
    const std::string path = m_folder + "/" + segmentName(sequence);
    auto file = m_files.openAppend(path);
    if (!file) {
        return tl::unexpected(file.error());
    }
    std::string bytes;
    frameRecord(bytes, hard_state_record { m_term, m_votedFor }, sequence, 0, 0);
    ++m_syncCount;
    const auto written = (*file)
                             ->append(bytes)
                             .and_then([&](auto) { return (*file)->sync(); })
                             .and_then([&](auto) { return m_files.syncFolder(m_folder); });
    if (!written) {
        // A segment at the end would hide the torn tail of the one before it.
        const auto removed = m_files.remove(path).and_then([&](auto) { return m_files.syncFolder(m_folder); });
        return removed ? written : failure(error_code::Storage, removed.error().message, removed.error().step);
    }
    m_file = std::move(*file);
    m_segments.push_back({ sequence, 0 });
    m_size = bytes.size();
    m_syncedSize = m_size;
    return {};
}

outcome log_store::storePieces()
{
    while (!m_unstoredPieces.empty()) {
        const auto& piece = m_unstoredPieces.back();
        if (auto written = writePiece(m_files, m_folder, piece); !written) {
            return written;
        }
        m_unstoredPieces.pop_back();
    }
    return {};
}

outcome log_store::storeSnapshot(const write_request& request)
{
    return sync()
        .and_then([&](auto) { return storePieces(); })
        .and_then([&](auto) { return writeSnapshot(m_files, m_folder, request); })
        .and_then([&](auto) { return startSegment(); })
        .and_then([&](auto) { return deleteCoveredSegments(request.snapshotIndex); })
        .and_then([&](auto) { return deleteOtherPieces(m_files, m_folder, request.pieces); });
}

outcome log_store::deleteCoveredSegments(std::uint64_t snapshotIndex)
{
    while (m_segments.size() > 1 && m_segments.front().lastIndex <= snapshotIndex) {
        const std::string path = m_folder + "/" + segmentName(m_segments.front().sequence);
        if (auto removed = m_files.remove(path); !removed) {
            return removed;
        }
        m_segments.erase(m_segments.begin());
    }
    return m_files.syncFolder(m_folder);
}

outcome log_store::resume(
    std::vector<segment_info> segments, std::uint64_t lastSegmentBytes, const loaded_replica& loaded)
{
    m_term = loaded.term;
    m_votedFor = loaded.votedFor;
    m_segments = std::move(segments);
    if (m_segments.empty()) {
        return note(startSegment());
    }
    auto file = m_files.openAppend(m_folder + "/" + segmentName(m_segments.back().sequence));
    if (!file) {
        return note(tl::unexpected(file.error()));
    }
    m_file = std::move(*file);
    m_size = lastSegmentBytes;
    // What was read may so far be in the page cache only; nothing may rest on it before it is durable. It is not held in
    // memory to be written again, so a failure is final even if the disk is only full.
    auto synced = sync();
    if (!synced) {
        m_failure = synced.error();
    }
    return synced;
}

//------------------------------------------------------------------------------------------------------------------
// Opening
//------------------------------------------------------------------------------------------------------------------

constexpr const char* identityName = "identity";
constexpr std::size_t identityBytes = 16; ///< incarnation, checksum
constexpr std::size_t numberBytes = 8;

static outcome readIdentity(
    file_system& files, const std::string& folder, std::uint64_t newIncarnation, loaded_replica& loaded)
{
    const auto content = files.read(folder + "/" + identityName);
    if (content) {
        const std::string_view view = *content;
        const bool isValid = view.size() == identityBytes
            && checksum(view.substr(0, numberBytes), 0) == getNumber(view, numberBytes, numberBytes);
        if (!isValid) {
            return failure(error_code::Corrupt, "damaged file " + folder + "/" + identityName, "load_identity");
        }
        loaded.diskIncarnation = getNumber(view, 0, numberBytes);
        return {};
    }
    if (content.error().code != error_code::NotFound) {
        return tl::unexpected(content.error());
    }
    const auto names = files.list(folder);
    const bool hasLog = names
        && std::any_of(names->begin(), names->end(), [](const auto& name) { return segmentSequence(name) != 0; });
    if (hasLog) {
        return failure(error_code::Corrupt, "no file " + folder + "/" + identityName, "load_identity");
    }
    loaded.isNew = true;
    loaded.diskIncarnation = newIncarnation;
    std::string bytes;
    putNumber(bytes, newIncarnation, numberBytes);
    putNumber(bytes, checksum(bytes, 0), numberBytes);
    return replaceFile(files, folder, identityName, { bytes });
}

/// A process that ended while it replaced a snapshot leaves files that only take space, of which a full disk has none.
static outcome deleteLeftovers(file_system& files, const std::string& folder, const loaded_replica& loaded)
{
    std::vector<std::uint64_t> pieces;
    for (const auto& piece : loaded.pieces) {
        pieces.push_back(piece.id);
    }
    return deleteOtherPieces(files, folder, pieces);
}

static outcome applyRecord(loaded_replica& loaded, record& value, const std::string& path)
{
    auto& entries = loaded.entries;
    if (const auto* state = std::get_if<hard_state_record>(&value)) {
        loaded.term = state->term;
        loaded.votedFor = state->votedFor;
        return {};
    }
    const auto* cut = std::get_if<truncate_record>(&value);
    auto* entry = std::get_if<wire::log_entry>(&value);
    const std::uint64_t from = cut != nullptr ? cut->from : entry->index;
    while (!entries.empty() && entries.back().index >= from) {
        entries.pop_back();
    }
    if (entry == nullptr || entry->index <= loaded.snapshotIndex) {
        return {};
    }
    const std::uint64_t expected = entries.empty() ? loaded.snapshotIndex + 1 : entries.back().index + 1;
    if (entry->index != expected) {
        return failure(error_code::Corrupt,
            fmt::format("entry {} in segment {} where {} was expected", entry->index, path, expected), "load_log");
    }
    entries.push_back(std::move(*entry));
    return {};
}

static std::uint64_t highestIndex(const std::vector<record>& records)
{
    std::uint64_t highest = 0;
    for (const auto& value : records) {
        if (const auto* entry = std::get_if<wire::log_entry>(&value)) {
            highest = std::max(highest, entry->index);
        }
    }
    return highest;
}

/// @return the segments in order, from the last gap on: a crash while old ones were deleted may bring some of those
///         back. A segment that is missing for another reason shows as a gap in the entries.
static result<std::vector<std::uint64_t>> findSegments(file_system& files, const std::string& folder)
{
    const auto names = files.list(folder);
    if (!names) {
        return tl::unexpected(names.error());
    }
    std::vector<std::uint64_t> sequences;
    for (const auto& name : *names) {
        const std::uint64_t sequence = segmentSequence(name);
        if (sequence == 0) {
            continue;
        }
        if (!sequences.empty() && sequences.back() + 1 != sequence) {
            sequences.clear();
        }
        sequences.push_back(sequence);
    }
    return sequences;
}

static outcome loadSegments(file_system& files, const std::string& folder, loaded_replica& loaded,
    std::vector<segment_info>& segments, std::uint64_t& lastSegmentBytes)
{
    const auto sequences = findSegments(files, folder);
    if (!sequences) {
        return tl::unexpected(sequences.error());
    }
    for (const std::uint64_t sequence : *sequences) {
        const std::string path = folder + "/" + segmentName(sequence);
        const bool isLast = sequence == sequences->back();
        const auto content = files.read(path);
        if (!content) {
            return tl::unexpected(content.error());
        }
        auto segment = readSegment(*content, sequence, path, isLast);
        if (!segment) {
            return tl::unexpected(segment.error());
        }
        if (segment->validBytes < content->size()) {
            loaded.repairedBytes = content->size() - segment->validBytes;
            if (auto cut = files.truncate(path, segment->validBytes); !cut) {
                return cut;
            }
        }
        const std::uint64_t highest = highestIndex(segment->records);
        for (auto& value : segment->records) {
            if (auto applied = applyRecord(loaded, value, path); !applied) {
                return applied;
            }
        }
        segments.push_back({ sequence, highest });
        lastSegmentBytes = segment->validBytes;
    }
    return {};
}

result<opened_store> openStore(file_system& files, const std::string& dataFolder, std::uint32_t group,
    std::uint64_t newIncarnation, const store_options& options)
{
    const std::string folder = fmt::format("{}/group-{:05}", dataFolder, group);
    opened_store opened;
    opened.store = std::make_unique<log_store>(files, folder, options);
    std::vector<segment_info> segments;
    std::uint64_t lastSegmentBytes = 0;
    auto done
        = files.createFolder(dataFolder)
              .and_then([&](auto) { return files.createFolder(folder); })
              .and_then([&](auto) { return readIdentity(files, folder, newIncarnation, opened.loaded); })
              .and_then([&](auto) { return readSnapshot(files, folder, opened.loaded); })
              .and_then([&](auto) { return deleteLeftovers(files, folder, opened.loaded); })
              .and_then([&](auto) { return loadSegments(files, folder, opened.loaded, segments, lastSegmentBytes); })
              .and_then([&](auto) { return opened.store->resume(std::move(segments), lastSegmentBytes, opened.loaded); });
    if (!done) {
        return tl::unexpected(done.error());
    }
    return opened;
}

} // namespace cuminledge::storage
