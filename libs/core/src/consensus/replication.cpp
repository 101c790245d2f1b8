#include <algorithm>
#include <functional>
#include <utility>

#include <base/free_buffer.hpp>

#include "internal.hpp"

namespace cuminledge::core::consensus {

constexpr int retryAfterHeartbeats = 3;

//------------------------------------------------------------------------------------------------------------------
// Lease
//------------------------------------------------------------------------------------------------------------------

std::uint64_t nextRound(replica& r, time_point now)
{
    if (r.rounds.empty() || r.rounds.back().sentAt != now) {
        r.rounds.push_back({ ++r.round, now });
    }
    while (r.rounds.front().sentAt + r.settings.electionTimeoutMax < now) {
        r.rounds.pop_front();
    }
    return r.round;
}

follower_progress* findRespondingFollower(replica& r, const std::string& from, std::uint64_t term, replica_output& out)
{
    if (term > r.term) {
        becomeFollower(r, term, {}, out);
        return nullptr;
    }
    const auto found = r.followers.find(from);
    const bool isCurrentLeadership = isLeader(r) && term == r.term && found != r.followers.end();
    return isCurrentLeadership ? &found->second : nullptr;
}

static void recordRound(const replica& r, follower_progress& p, std::uint64_t round)
{
    const auto found = std::lower_bound(r.rounds.begin(), r.rounds.end(), round,
        [](const round_start& start, std::uint64_t number) { return start.round < number; });
    if (found != r.rounds.end() && found->round == round) {
        p.ackedRoundStart = std::max(p.ackedRoundStart, found->sentAt);
    }
}

void recordResponse(replica& r, follower_progress& p, std::uint64_t round, time_point now)
{
    p.lastAnswer = now;
    recordRound(r, p, round);
}

/// @return the send time of the newest request that a quorum has answered.
static time_point quorumAcked(const replica& r, time_point now)
{
    std::vector<time_point> times;
    for (const auto& id : configurationOf(r).members) {
        const auto found = r.followers.find(id);
        times.push_back(id == r.id ? now : found == r.followers.end() ? time_point {}
                                                                      : found->second.ackedRoundStart);
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times.at(quorumOf(configurationOf(r)) - 1);
}

time_point quorumContact(const replica& r, time_point now)
{
    return std::max(r.leadingSince, quorumAcked(r, now));
}

bool mayRead(const replica& r, time_point now)
{
    if (!isLeader(r) || r.commitIndex < r.barrierIndex) {
        return false;
    }
    return !r.guards.leaderLease || now < quorumAcked(r, now) + leaseDuration(r.settings);
}

//------------------------------------------------------------------------------------------------------------------
// Leader
//------------------------------------------------------------------------------------------------------------------

/// @param maxEntries 0 for a heartbeat without entries.
static wire::append_request makeAppend(
    replica& r, const follower_progress& p, std::size_t maxEntries, time_point now)
{
    wire::append_request request;
    request.term = r.term;
    request.previousIndex = p.nextIndex - 1;
    request.previousTerm = termAt(r, p.nextIndex - 1).value();
    request.commitIndex = r.commitIndex;
    request.round = nextRound(r, now);
    std::size_t bytes = 0;
    for (auto i = p.nextIndex; i <= lastIndex(r) && request.entries.size() < maxEntries; ++i) {
        const auto& entry = entryAt(r, i);
        bytes += entry.payload.size();
        if (bytes > r.settings.maxBytesPerAppend && !request.entries.empty()) {
            break;
        }
        request.entries.push_back(entry);
    }
    return request;
}

static bool needsSnapshot(const replica& r, const follower_progress& p)
{
    return p.nextIndex < r.log.firstIndex;
}

static bool hasWindowSpace(const replica& r, const follower_progress& p)
{
    return p.inFlight.size() < (p.isProbing ? 1 : r.settings.maxAppendsInFlight);
}

static void sendAppend(replica& r, const std::string& id, follower_progress& p, time_point now, replica_output& out)
{
    auto request = makeAppend(r, p, hasWindowSpace(r, p) ? r.settings.maxEntriesPerAppend : 0, now);
    if (!request.entries.empty()) {
        p.inFlight.push_back(request.entries.back().index);
        if (!p.isProbing) {
            p.nextIndex = request.entries.back().index + 1;
        }
    }
    ++r.counters.appendsSent;
    sendNow(r, id, std::move(request), out);
}

void sendEntries(replica& r, const std::string& id, follower_progress& p, time_point now, replica_output& out)
{
    if (needsSnapshot(r, p)) {
        if (p.snapshotIndex == 0) {
            sendSnapshotChunk(r, id, p, now, out);
        }
        return;
    }
    while (p.nextIndex <= lastIndex(r) && hasWindowSpace(r, p)) {
        sendAppend(r, id, p, now, out);
    }
}

void sendProbeAtEnd(replica& r, const std::string& id, time_point now, replica_output& out)
{
    follower_progress atEnd;
    atEnd.nextIndex = lastIndex(r) + 1;
    ++r.counters.appendsSent;
    sendNow(r, id, makeAppend(r, atEnd, 0, now), out);
}

void replicate(replica& r, time_point now, replica_output& out)
{
    for (auto& [id, p] : r.followers) {
        sendEntries(r, id, p, now, out);
    }
}

static void sendHeartbeat(replica& r, const std::string& id, follower_progress& p, time_point now, replica_output& out)
{
    const bool isOverdue = now - p.lastProgress > retryAfterHeartbeats * r.settings.heartbeatInterval;
    if (isOverdue) {
        p.lastProgress = now;
        p.inFlight.clear();
        if (p.matchIndex > 0) {
            p.nextIndex = p.matchIndex + 1;
        }
    }
    if (needsSnapshot(r, p)) {
        if (isOverdue || p.snapshotIndex == 0) {
            sendSnapshotChunk(r, id, p, now, out);
        }
        return;
    }
    p.snapshotIndex = 0;
    sendAppend(r, id, p, now, out);
}

void sendHeartbeats(replica& r, time_point now, replica_output& out)
{
    r.lastHeartbeat = now;
    for (auto& [id, p] : r.followers) {
        sendHeartbeat(r, id, p, now, out);
    }
}

void leaderTick(replica& r, time_point now, replica_output& out)
{
    if (r.guards.checkQuorum && now - quorumContact(r, now) > r.settings.electionTimeoutMax) {
        becomeFollower(r, r.term, {}, out);
        return;
    }
    // Proposals are refused here while a quorum of other disks has space: one of them leads on.
    const bool othersCommit = !hasRoomForEntries(r) && r.commitIndex == lastIndex(r);
    if (othersCommit && transferLeadership(r, now, out)) {
        ++r.counters.leadershipsHandedOver;
        return;
    }
    if (now - r.lastHeartbeat >= r.settings.heartbeatInterval) {
        sendHeartbeats(r, now, out);
        advanceMembership(r, now, out);
        r.commitAtPreviousHeartbeat = r.commitAtHeartbeat;
        r.commitAtHeartbeat = r.commitIndex;
    }
}

void commitByQuorum(replica& r, replica_output& out)
{
    std::vector<std::uint64_t> indexes;
    for (const auto& id : configurationOf(r).members) {
        const auto found = r.followers.find(id);
        const std::uint64_t own = r.guards.holdUntilPersisted ? r.durableIndex : lastIndex(r);
        indexes.push_back(id == r.id ? own : found == r.followers.end() ? 0
                                                                        : found->second.matchIndex);
    }
    std::sort(indexes.begin(), indexes.end(), std::greater<>());
    const std::uint64_t index = indexes.at(quorumOf(configurationOf(r)) - 1);
    if (index > r.commitIndex && termAt(r, index) == r.term) {
        commitUpTo(r, index, out);
    }
}

static void recordMatch(follower_progress& p, std::uint64_t matchIndex, time_point now)
{
    if (matchIndex > p.matchIndex) {
        p.matchIndex = matchIndex;
        p.lastProgress = now;
    }
    p.isProbing = false;
    p.nextIndex = std::max(p.nextIndex, p.matchIndex + 1);
    while (!p.inFlight.empty() && p.inFlight.front() <= p.matchIndex) {
        p.inFlight.pop_front();
    }
    if (p.inFlight.empty()) {
        p.lastProgress = now;
    }
}

/// With several appends in flight, one mismatch causes several rejections. Only the first one counts; later ones and
/// delayed old ones are ignored. The follower is then probed with one append at a time.
static void recordRejection(follower_progress& p, const wire::append_response& m, time_point now)
{
    const bool isStale = m.previousIndex < p.matchIndex || m.previousIndex >= p.nextIndex;
    const std::uint64_t next = std::max(p.matchIndex, m.matchIndex) + 1;
    if (isStale || (p.isProbing && next >= p.nextIndex)) {
        return;
    }
    p.nextIndex = std::min(next, p.nextIndex);
    p.isProbing = true;
    p.inFlight.clear();
    p.lastProgress = now;
}

/// @return whether the response only says that the sender follows, while its disk is behind (see respondWhileDiskIsBehind).
static bool isWithoutMatch(const wire::append_response& m)
{
    return m.accepted && m.matchIndex < m.previousIndex;
}

void handle(replica& r, const std::string& from, const wire::append_response& m, time_point now, replica_output& out)
{
    auto* follower = findRespondingFollower(r, from, m.term, out);
    if (follower == nullptr) {
        return;
    }
    if (m.matchIndex > lastIndex(r)) {
        ++r.counters.messagesInvalid;
        return;
    }
    auto& p = *follower;
    if (isWithoutMatch(m)) {
        // It follows, and counts for the lease. To the rest it is silent: no entry of it can be counted on, and a voter
        // whose disk stays full is replaced.
        recordRound(r, p, m.round);
        return;
    }
    recordResponse(r, p, m.round, now);
    if (m.accepted) {
        recordMatch(p, m.matchIndex, now);
        commitByQuorum(r, out);
    } else {
        recordRejection(p, m, now);
    }
    sendEntries(r, from, p, now, out);
}

//------------------------------------------------------------------------------------------------------------------
// Follower
//------------------------------------------------------------------------------------------------------------------

bool acceptLeader(replica& r, const std::string& from, std::uint64_t term, time_point now, replica_output& out)
{
    if (term < r.term) {
        return false;
    }
    if (term > r.term || r.role != replica_role::Follower || r.leader != from) {
        becomeFollower(r, term, from, out);
    }
    r.lastLeaderContact = now;
    r.electionDeadlineSet = false;
    return true;
}

/// @return the index after which the leader should continue: the last one before the conflicting term (Raft, 5.3), but
///         not below the commit index.
static std::uint64_t conflictHint(const replica& r, const wire::append_request& m)
{
    if (m.previousIndex > lastIndex(r)) {
        return lastIndex(r);
    }
    std::uint64_t index = m.previousIndex;
    const auto conflicting = termAt(r, index);
    while (index > r.commitIndex && termAt(r, index) == conflicting) {
        --index;
    }
    return index;
}

static void storeEntries(replica& r, const std::vector<wire::log_entry>& entries)
{
    for (const auto& entry : entries) {
        if (entry.index < r.log.firstIndex || termAt(r, entry.index) == entry.term) {
            continue;
        }
        if (entry.index <= lastIndex(r)) {
            truncateLog(r, entry.index);
        }
        appendEntry(r, entry);
    }
}

/// @return whether a leader can have sent the request: consecutive indexes, no entry that conflicts with a committed
///         one, and valid configurations.
static bool isWellFormed(const replica& r, const wire::append_request& m)
{
    std::uint64_t expected = m.previousIndex;
    return std::all_of(m.entries.begin(), m.entries.end(), [&](const auto& entry) {
        const bool isOrdered = entry.index == ++expected && entry.term <= m.term;
        const bool isCommitted = entry.index <= r.commitIndex;
        return isOrdered && hasValidConfiguration(entry) && (!isCommitted || termAt(r, entry.index).value_or(entry.term) == entry.term);
    });
}

/// Answers an append that wrote nothing while earlier writes wait for the disk, which may take long if it is full. The
/// response names no match, so it depends on nothing that is not durable: the follower's part in the lease holds over a
/// restart by the ban on votes, and votes are durable before they are given.
static void respondWhileDiskIsBehind(replica& r, const std::string& from, const wire::append_request& m, replica_output& out)
{
    const bool isBehind = r.persistedTicket < r.lastTicket;
    if (isBehind && !r.hasPendingWrite) {
        sendNow(r, from, wire::append_response { r.term, true, 0, m.round, m.previousIndex }, out);
    }
}

void handle(replica& r, const std::string& from, const wire::append_request& m, time_point now, replica_output& out)
{
    if (!isWellFormed(r, m)) {
        ++r.counters.messagesInvalid;
        return;
    }
    if (!acceptLeader(r, from, m.term, now, out)) {
        sendNow(r, from, wire::append_response { r.term, false, 0, m.round, m.previousIndex }, out);
        return;
    }
    // Committed entries are equal to the leader's, so a request that starts at or below the commit index always
    // matches.
    const bool fits = m.previousIndex <= r.commitIndex || termAt(r, m.previousIndex) == m.previousTerm;
    if (!fits) {
        ++r.counters.appendsRefused;
        sendWhenDurable(r, from, wire::append_response { r.term, false, conflictHint(r, m), m.round, m.previousIndex }, out);
        return;
    }
    const bool isTaken = hasRoomForEntries(r) || m.entries.empty();
    r.counters.appendsDropped += isTaken ? 0 : 1;
    const std::uint64_t match = std::max(m.previousIndex + (isTaken ? m.entries.size() : 0), r.commitIndex);
    if (isTaken) {
        storeEntries(r, m.entries);
    }
    commitUpTo(r, std::max(r.commitIndex, std::min(m.commitIndex, match)), out);
    if (r.incoming.lastIndex <= r.commitIndex) {
        freeBuffer(r.incoming.data); // a snapshot that was begun is no longer needed
        r.incoming = {};
    }
    respondWhileDiskIsBehind(r, from, m, out);
    // The leader sends again what it has no response for, so the responses of a long wait need not all be held.
    constexpr std::size_t maxHeldMessages = 1000;
    if (r.hasPendingWrite || r.heldMessages.size() < maxHeldMessages) {
        sendWhenDurable(r, from, wire::append_response { r.term, true, match, m.round, m.previousIndex }, out);
    }
}

} // namespace cuminledge::core::consensus
