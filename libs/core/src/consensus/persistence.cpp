#include <cassert>
#include <utility>

#include "internal.hpp"

namespace cuminledge::core::consensus {

persist_log& pendingWrite(replica& r)
{
    if (!r.hasPendingWrite) {
        r.hasPendingWrite = true;
        r.pendingWrite = {};
        r.pendingWrite.group = r.group;
    }
    return r.pendingWrite;
}

void persistHardState(replica& r)
{
    auto& write = pendingWrite(r);
    write.hasHardState = true;
    write.term = r.term;
    write.votedFor = r.votedFor;
}

static wire::consensus_envelope envelopeTo(
    const replica& r, const std::string& to, const wire::consensus_message& message)
{
    return { r.group, r.id, to, wire::encodeVariant(message) };
}

void sendNow(replica& r, const std::string& to, const wire::consensus_message& message, replica_output& out)
{
    out.messages.push_back(envelopeTo(r, to, message));
}

void sendWhenDurable(replica& r, const std::string& to, const wire::consensus_message& message, replica_output& out)
{
    const std::uint64_t ticket = r.lastTicket + (r.hasPendingWrite ? 1 : 0);
    if (ticket <= r.persistedTicket || !r.guards.holdUntilPersisted) {
        sendNow(r, to, message, out);
        return;
    }
    r.heldMessages.push_back({ ticket, envelopeTo(r, to, message) });
}

bool hasRoomForEntries(const replica& r)
{
    return r.unsyncedBytes <= r.settings.maxUnsyncedBytes;
}

void flushWrites(replica& r, replica_output& out)
{
    if (!r.hasPendingWrite) {
        return;
    }
    r.hasPendingWrite = false;
    r.pendingWrite.ticket = ++r.lastTicket;
    std::size_t bytes = 0;
    for (const auto& entry : r.pendingWrite.entries) {
        bytes += entry.payload.size();
    }
    r.unsyncedBytes += bytes;
    r.writesInFlight.push_back({ r.lastTicket, lastIndex(r), bytes });
    out.writes.push_back(std::move(r.pendingWrite));
    r.pendingWrite = {};
}

static void releaseHeldMessages(replica& r, replica_output& out)
{
    while (!r.heldMessages.empty() && r.heldMessages.front().ticket <= r.persistedTicket) {
        out.messages.push_back(std::move(r.heldMessages.front().envelope));
        r.heldMessages.pop_front();
    }
}

void onPersisted(replica& r, const log_persisted& event, time_point now, replica_output& out)
{
    if (r.isStopped || event.ticket <= r.persistedTicket) {
        return;
    }
    assert(event.ticket <= r.lastTicket);
    r.persistedTicket = event.ticket;
    while (!r.writesInFlight.empty() && r.writesInFlight.front().ticket <= event.ticket) {
        r.durableIndex = r.writesInFlight.front().lastIndex;
        r.unsyncedBytes -= r.writesInFlight.front().bytes;
        r.writesInFlight.pop_front();
    }
    releaseHeldMessages(r, out);
    if (r.role == replica_role::Candidate && event.ticket >= r.electionTicket) {
        countOwnVote(r, now, out);
    }
    if (isLeader(r)) {
        commitByQuorum(r, out);
    }
    flushWrites(r, out);
}

void onStorageFailed(replica& r, const storage_failed& event, replica_output& out)
{
    if (r.isStopped) {
        return;
    }
    if (isLeader(r)) {
        out.lostLeadership = true;
    }
    r.role = replica_role::Follower;
    r.leader.clear();
    r.isStopped = true;
    r.stopReason = event.message;
    r.heldMessages.clear();
    r.hasPendingWrite = false;
}

} // namespace cuminledge::core::consensus
