#include <algorithm>
#include <utility>

#include "internal.hpp"

namespace cuminledge::core::consensus {

//------------------------------------------------------------------------------------------------------------------
// Taking snapshots
//------------------------------------------------------------------------------------------------------------------

bool snapshotDue(const replica& r)
{
    if (r.isStopped || r.commitIndex - r.snapshot.index < r.settings.snapshotAfterEntries) {
        return false;
    }
    // A new snapshot would restart a transfer in progress, so it is delayed, but only up to this multiple of the
    // interval.
    constexpr std::uint64_t overdueFactor = 4;
    const bool isSending = std::any_of(r.followers.begin(), r.followers.end(), [&r](const auto& item) {
        const auto& p = item.second;
        return p.snapshotIndex != 0 && p.lastAnswer + r.settings.electionTimeoutMin > r.lastHeartbeat;
    });
    return !isSending || r.commitIndex - r.snapshot.index >= overdueFactor * r.settings.snapshotAfterEntries;
}

/// Removes entries that the snapshot contains, except those that slightly lagging followers may need.
static void trimLog(replica& r)
{
    while (!r.log.entries.empty() && r.log.firstIndex + r.settings.retainedEntries <= r.snapshot.index) {
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
    write.snapshot = r.snapshot.state;
}

void takeSnapshot(replica& r, std::string state, replica_output& out)
{
    if (r.isStopped || r.commitIndex <= r.snapshot.index) {
        return;
    }
    ++r.counters.snapshotsTaken;
    r.snapshot = { r.commitIndex, termAt(r, r.commitIndex).value(), configurationAt(r, r.commitIndex),
        std::move(state) };
    trimLog(r);
    trimConfigurations(r);
    persistSnapshot(r);
    flushWrites(r, out);
}

//------------------------------------------------------------------------------------------------------------------
// Sending snapshots
//------------------------------------------------------------------------------------------------------------------

void sendSnapshotChunk(replica& r, const std::string& id, follower_progress& p, time_point now, replica_output& out)
{
    if (p.snapshotIndex != r.snapshot.index) {
        p.snapshotIndex = r.snapshot.index;
        p.snapshotOffset = 0;
    }
    wire::snapshot_chunk chunk;
    chunk.term = r.term;
    chunk.lastIndex = r.snapshot.index;
    chunk.lastTerm = r.snapshot.term;
    chunk.configuration = r.snapshot.configuration;
    chunk.offset = p.snapshotOffset;
    chunk.totalBytes = r.snapshot.state.size();
    chunk.data = r.snapshot.state.substr(p.snapshotOffset, r.settings.snapshotChunkBytes);
    chunk.round = nextRound(r, now);
    ++r.counters.snapshotChunksSent;
    sendNow(r, id, std::move(chunk), out);
}

void handle(replica& r, const std::string& from, const wire::snapshot_response& m, time_point now, replica_output& out)
{
    auto* follower = findRespondingFollower(r, from, m.term, out);
    if (follower == nullptr) {
        return;
    }
    auto& p = *follower;
    recordResponse(r, p, m.round, now);
    if (m.lastIndex != p.snapshotIndex || m.lastIndex > r.commitIndex) {
        return;
    }
    if (m.installed) {
        p.matchIndex = std::max(p.matchIndex, m.lastIndex);
        p.nextIndex = std::max(p.nextIndex, p.matchIndex + 1);
        p.snapshotIndex = 0;
        p.lastProgress = now;
        sendEntries(r, from, p, now, out);
        return;
    }
    if (p.snapshotIndex != r.snapshot.index || m.nextOffset > r.snapshot.state.size()) {
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
        r.incoming = { m.lastIndex, m.lastTerm, {} };
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
    r.snapshot = { m.lastIndex, m.lastTerm, m.configuration, std::move(r.incoming.data) };
    r.incoming = {};
    r.configurations = { { m.lastIndex, configuration } };
    r.commitIndex = m.lastIndex;
    ++r.counters.snapshotsInstalled;
    persistSnapshot(r);
    out.committed.clear();
    out.installed = installed_snapshot { m.lastIndex, r.snapshot.state };
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
