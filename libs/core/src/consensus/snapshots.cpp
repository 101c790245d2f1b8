#include <algorithm>
#include <cassert>
#include <utility>

#include <base/free_buffer.hpp>

#include "internal.hpp"

namespace cuminledge::core::consensus {

//------------------------------------------------------------------------------------------------------------------
// Taking snapshots
//------------------------------------------------------------------------------------------------------------------

/// @return whether a follower that answers is receiving the outgoing snapshot.
static bool isSendingSnapshot(const replica& r)
{
    return std::any_of(r.followers.begin(), r.followers.end(), [&r](const auto& item) {
        const auto& p = item.second;
        return p.snapshotIndex != 0 && p.lastAnswer + r.settings.electionTimeoutMin > r.lastHeartbeat;
    });
}

static bool isDueAfter(const replica& r, std::uint64_t intervals)
{
    return r.commitIndex - r.snapshot.index >= intervals * r.settings.snapshotAfterEntries
        || r.bytesSinceSnapshot >= intervals * r.settings.snapshotAfterBytes;
}

bool snapshotDue(const replica& r)
{
    if (r.isStopped || r.commitIndex == r.snapshot.index || !isDueAfter(r, 1)) {
        return false;
    }
    return !isSendingSnapshot(r) || isDueAfter(r, maxSnapshotIntervals);
}

/// @return the bytes of the commands that the log holds up to the snapshot.
static std::size_t retainedBytes(const replica& r)
{
    std::size_t bytes = 0;
    for (const auto& entry : r.log.entries) {
        if (entry.index > r.snapshot.index) {
            break;
        }
        bytes += entry.payload.size();
    }
    return bytes;
}

/// Removes entries that the snapshot contains, except those that slightly lagging followers may need.
static void trimLog(replica& r)
{
    auto bytes = retainedBytes(r);
    const auto isExcess = [&] {
        return r.log.firstIndex + r.settings.retainedEntries <= r.snapshot.index
            || (r.log.firstIndex <= r.snapshot.index && bytes > r.settings.retainedBytes);
    };
    while (!r.log.entries.empty() && isExcess()) {
        bytes -= r.log.entries.front().payload.size();
        r.log.previousTerm = r.log.entries.front().term;
        ++r.log.firstIndex;
        r.log.entries.pop_front();
    }
}

/// Removes the configurations before the one that is in effect at the snapshot's index.
static void trimConfigurations(replica& r)
{
    while (r.configurations.size() > 1 && r.configurations[1].index <= r.snapshot.index) {
        r.configurations.erase(r.configurations.begin());
    }
}

static void persistSnapshot(replica& r)
{
    auto& write = pendingWrite(r);
    write.hasSnapshot = true;
    write.snapshotIndex = r.snapshot.index;
    write.snapshotTerm = r.snapshot.term;
    write.snapshotConfiguration = r.snapshot.configuration;
}

void attachImage(replica_output& out, snapshot_image image)
{
    const auto write = std::find_if(
        out.writes.rbegin(), out.writes.rend(), [](const persist_log& candidate) { return candidate.hasSnapshot; });
    assert(write != out.writes.rend());
    write->snapshot = std::move(image.state);
    write->newPieces = std::move(image.newPieces);
    write->pieces = std::move(image.pieces);
}

void takeSnapshot(replica& r, snapshot_image image, replica_output& out)
{
    if (r.isStopped || r.commitIndex <= r.snapshot.index) {
        return;
    }
    ++r.counters.snapshotsTaken;
    r.snapshot = { r.commitIndex, termAt(r, r.commitIndex).value(), configurationAt(r, r.commitIndex) };
    r.bytesSinceSnapshot = 0;
    trimLog(r);
    trimConfigurations(r);
    persistSnapshot(r);
    pendingWrite(r).isSnapshotOptional = true;
    flushWrites(r, out);
    attachImage(out, std::move(image));
}

//------------------------------------------------------------------------------------------------------------------
// Sending snapshots
//------------------------------------------------------------------------------------------------------------------

/// @return whether the log holds all that follows the outgoing snapshot.
static bool hasUsableOutgoingSnapshot(const replica& r)
{
    return r.outgoing.index != 0 && r.outgoing.index + 1 >= r.log.firstIndex;
}

bool needsOutgoingSnapshot(const replica& r)
{
    return r.outgoing.isWanted && isLeader(r) && r.commitIndex > 0;
}

void provideOutgoingSnapshot(replica& r, std::uint64_t totalBytes, time_point now, replica_output& out)
{
    r.outgoing = { r.commitIndex, termAt(r, r.commitIndex).value(), configurationAt(r, r.commitIndex), totalBytes, now,
        false };
    replicate(r, now, out);
}

wire::consensus_envelope fillChunk(const replica& r, wanted_chunk wanted, std::string data)
{
    wanted.chunk.data = std::move(data);
    return { r.group, r.id, wanted.to, wire::encodeVariant(wire::consensus_message(std::move(wanted.chunk))) };
}

bool hasOutgoingSnapshot(const replica& r)
{
    return r.outgoing.index != 0;
}

void releaseOutgoingSnapshot(replica& r, time_point now)
{
    // Encoding the state again for the next follower costs more than holding it for a while.
    constexpr std::chrono::milliseconds holdTime { 2'000 };
    const bool isInUse = isLeader(r) && (isSendingSnapshot(r) || now < r.outgoing.providedAt + holdTime);
    if (r.outgoing.index == 0 || isInUse) {
        return;
    }
    r.outgoing = {};
    for (auto& [id, p] : r.followers) {
        p.snapshotIndex = 0;
    }
}

void sendSnapshotChunk(replica& r, const std::string& id, follower_progress& p, time_point now, replica_output& out)
{
    if (!hasUsableOutgoingSnapshot(r)) {
        r.outgoing = {}; // freed before the next one is encoded
        p.snapshotIndex = 0;
        const bool answers = p.lastAnswer + r.settings.electionTimeoutMax > now;
        if (!answers) {
            // The state is encoded for a follower that is there to receive it.
            sendProbeAtEnd(r, id, now, out);
            return;
        }
        r.outgoing.isWanted = true;
        return;
    }
    if (p.snapshotIndex != r.outgoing.index) {
        p.snapshotIndex = r.outgoing.index;
        p.snapshotOffset = 0;
    }
    wire::snapshot_chunk chunk;
    chunk.term = r.term;
    chunk.lastIndex = r.outgoing.index;
    chunk.lastTerm = r.outgoing.term;
    chunk.configuration = r.outgoing.configuration;
    chunk.offset = p.snapshotOffset;
    chunk.totalBytes = r.outgoing.totalBytes;
    chunk.round = nextRound(r, now);
    ++r.counters.snapshotChunksSent;
    const auto bytes = std::min<std::uint64_t>(r.settings.snapshotChunkBytes, chunk.totalBytes - chunk.offset);
    out.chunks.push_back({ id, std::move(chunk), bytes });
}

void handle(replica& r, const std::string& from, const wire::snapshot_response& m, time_point now, replica_output& out)
{
    auto* follower = findRespondingFollower(r, from, m.term, out);
    if (follower == nullptr) {
        return;
    }
    auto& p = *follower;
    recordResponse(r, p, m.round, now);
    if (m.lastIndex > r.commitIndex) {
        return;
    }
    // A follower may take longer to install a state than the leader keeps it for sending.
    if (m.installed && (m.lastIndex == p.snapshotIndex || m.lastIndex > p.matchIndex)) {
        p.matchIndex = std::max(p.matchIndex, m.lastIndex);
        p.nextIndex = std::max(p.nextIndex, p.matchIndex + 1);
        p.snapshotIndex = 0;
        p.lastProgress = now;
        sendEntries(r, from, p, now, out);
        return;
    }
    if (m.installed || m.lastIndex != p.snapshotIndex || p.snapshotIndex != r.outgoing.index || m.nextOffset > r.outgoing.totalBytes) {
        return;
    }
    // Only an advance triggers the next chunk immediately. If a delayed response moves the offset back, the retry
    // corrects it.
    const bool isAdvance = m.nextOffset > p.snapshotOffset;
    p.snapshotOffset = m.nextOffset;
    if (isAdvance) {
        p.lastProgress = now;
        sendSnapshotChunk(r, from, p, now, out);
    }
}

//------------------------------------------------------------------------------------------------------------------
// Installing snapshots
//------------------------------------------------------------------------------------------------------------------

/// Appends a chunk if it is the next one. @return the number of bytes received so far.
static std::uint64_t appendChunk(replica& r, const wire::snapshot_chunk& m)
{
    if (r.incoming.lastIndex != m.lastIndex || r.incoming.lastTerm != m.lastTerm) {
        freeBuffer(r.incoming.data);
        r.incoming = { m.lastIndex, m.lastTerm, {} };
        // Growing by doubling, a large state would take twice its size.
        constexpr std::uint64_t maxReservedBytes = 256U << 20U;
        r.incoming.data.reserve(std::min(m.totalBytes, maxReservedBytes));
    }
    if (m.offset == r.incoming.data.size()) {
        r.incoming.data += m.data;
    }
    return r.incoming.data.size();
}

/// Removes the entries after the snapshot, which conflict with it. Entries up to the snapshot stay on disk until the
/// snapshot is durable: this replica may have acknowledged them, and they may be committed without its knowledge.
static void discardEntriesAfter(replica& r, std::uint64_t index)
{
    if (lastIndex(r) > index) {
        pendingWrite(r).truncateFrom = index + 1;
    }
    r.durableIndex = std::min(r.durableIndex, index);
    for (auto& write : r.writesInFlight) {
        write.lastIndex = std::min(write.lastIndex, index);
    }
}

static void install(replica& r, const wire::snapshot_chunk& m, const wire::group_configuration& configuration,
    replica_output& out)
{
    discardEntriesAfter(r, m.lastIndex);
    r.log = { m.lastIndex + 1, m.lastTerm, {} };
    r.snapshot = { m.lastIndex, m.lastTerm, m.configuration };
    r.bytesSinceSnapshot = 0;
    r.configurations = { { m.lastIndex, configuration } };
    r.commitIndex = m.lastIndex;
    ++r.counters.snapshotsInstalled;
    persistSnapshot(r);
    out.committed.clear();
    out.installed = installed_snapshot { m.lastIndex, std::move(r.incoming.data) };
    r.incoming = {};
}

void handle(replica& r, const std::string& from, const wire::snapshot_chunk& m, time_point now, replica_output& out)
{
    const auto configuration
        = wire::decodeStruct<wire::group_configuration>(m.configuration, "install_snapshot", from);
    if (!configuration || configuration->members.empty() || m.lastIndex == 0) {
        ++r.counters.messagesInvalid;
        return;
    }
    if (!acceptLeader(r, from, m.term, now, out)) {
        sendNow(r, from, wire::snapshot_response { r.term, m.lastIndex, 0, false, m.round }, out);
        return;
    }
    if (termAt(r, m.lastIndex) == m.lastTerm) {
        commitUpTo(r, std::max(r.commitIndex, m.lastIndex), out);
    }
    if (m.lastIndex <= r.commitIndex) {
        sendWhenDurable(r, from, wire::snapshot_response { r.term, m.lastIndex, m.totalBytes, true, m.round }, out);
        return;
    }
    const std::uint64_t receivedBytes = appendChunk(r, m);
    if (receivedBytes < m.totalBytes) {
        sendNow(r, from, wire::snapshot_response { r.term, m.lastIndex, receivedBytes, false, m.round }, out);
        return;
    }
    install(r, m, *configuration, out);
    sendWhenDurable(r, from, wire::snapshot_response { r.term, m.lastIndex, m.totalBytes, true, m.round }, out);
}

} // namespace cuminledge::core::consensus
