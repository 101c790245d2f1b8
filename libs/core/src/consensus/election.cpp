#include <algorithm>
#include <utility>

#include "internal.hpp"

namespace cuminledge::core::consensus {

void becomeFollower(replica& r, std::uint64_t term, const std::string& leader, replica_output& out)
{
    if (isLeader(r)) {
        out.lostLeadership = true;
        ++r.counters.leadershipsLost;
        r.followers.clear();
        r.rounds.clear();
    }
    if (term > r.term) {
        r.term = term;
        r.votedFor.clear();
        persistHardState(r);
    }
    r.role = replica_role::Follower;
    r.leader = leader;
    r.electionDeadlineSet = false;
}

//------------------------------------------------------------------------------------------------------------------
// Candidate
//------------------------------------------------------------------------------------------------------------------

static bool hasQuorumOfVotes(const replica& r)
{
    const auto& members = configurationOf(r).members;
    const auto votes = std::count_if(
        members.begin(), members.end(), [&r](const std::string& id) { return r.votes.count(id) != 0; });
    return static_cast<std::size_t>(votes) >= quorumOf(configurationOf(r));
}

static void requestVotes(replica& r, const wire::vote_request& request, replica_output& out)
{
    for (const auto& id : configurationOf(r).members) {
        if (id == r.id) {
            continue;
        }
        if (request.preVote) {
            sendNow(r, id, request, out);
        } else {
            sendWhenDurable(r, id, request, out);
        }
    }
}

void startPreVote(replica& r, [[maybe_unused]] time_point now, replica_output& out)
{
    r.leader.clear();
    r.electionDeadlineSet = false;
    if (!r.guards.preVote) {
        startElection(r, false, out);
        return;
    }
    r.role = replica_role::PreCandidate;
    r.votes = { r.id };
    requestVotes(r, { r.term + 1, lastIndex(r), lastTerm(r), true, false }, out);
    if (hasQuorumOfVotes(r)) {
        startElection(r, false, out);
    }
}

void startElection(replica& r, bool isTransfer, replica_output& out)
{
    ++r.counters.electionsStarted;
    r.role = replica_role::Candidate;
    r.leader.clear();
    r.votes.clear();
    r.electionDeadlineSet = false;
    ++r.term;
    r.votedFor = r.id;
    r.isTransferElection = isTransfer;
    persistHardState(r);
    r.electionTicket = r.lastTicket + 1;
    requestVotes(r, { r.term, lastIndex(r), lastTerm(r), false, isTransfer }, out);
}

static void becomeLeader(replica& r, time_point now, replica_output& out)
{
    ++r.counters.electionsWon;
    r.role = replica_role::Leader;
    r.leader = r.id;
    r.leadingSince = now;
    r.followers.clear();
    r.rounds.clear();
    r.commitAtHeartbeat = r.commitIndex;
    r.commitAtPreviousHeartbeat = r.commitIndex;
    syncFollowers(r, now);
    r.barrierIndex = appendAsLeader(r, wire::log_entry_kind::Barrier, {});
    out.becameLeader = true;
    sendHeartbeats(r, now, out);
}

void countOwnVote(replica& r, time_point now, replica_output& out)
{
    r.votes.insert(r.id);
    if (hasQuorumOfVotes(r)) {
        becomeLeader(r, now, out);
    }
}

void handle(replica& r, const std::string& from, const wire::vote_response& m, time_point now, replica_output& out)
{
    if (!m.granted) {
        if (m.term > r.term) {
            becomeFollower(r, m.term, {}, out);
        }
        return;
    }
    if (m.preVote) {
        if (r.role == replica_role::PreCandidate && m.term == r.term + 1) {
            r.votes.insert(from);
            if (hasQuorumOfVotes(r)) {
                startElection(r, false, out);
            }
        }
        return;
    }
    if (r.role == replica_role::Candidate && m.term == r.term) {
        r.votes.insert(from);
        if (hasQuorumOfVotes(r)) {
            becomeLeader(r, now, out);
        }
    }
}

//------------------------------------------------------------------------------------------------------------------
// Voter
//------------------------------------------------------------------------------------------------------------------

/// Returns whether the current leader's lease may still be valid, so that this replica must not vote. A follower votes
/// for nobody within the minimum election timeout of contact with its leader; the lease relies on this (thesis, 6.4.1).
/// A leader votes for nobody while a quorum responds to it.
static bool isBoundByLeaderLease(const replica& r, time_point now)
{
    if (!r.guards.leaderLease) {
        return false;
    }
    const time_point contact = isLeader(r) ? quorumContact(r, now) : r.lastLeaderContact;
    return now < contact + r.settings.electionTimeoutMin;
}

static bool isUpToDate(const replica& r, const wire::vote_request& m)
{
    return std::make_pair(m.lastTerm, m.lastIndex) >= std::make_pair(lastTerm(r), lastIndex(r));
}

static void respondToPreVote(
    replica& r, const std::string& from, const wire::vote_request& m, time_point now, replica_output& out)
{
    const bool granted = m.term > r.term && isUpToDate(r, m) && !isBoundByLeaderLease(r, now);
    sendNow(r, from, wire::vote_response { granted ? m.term : r.term, granted, true }, out);
}

void handle(replica& r, const std::string& from, const wire::vote_request& m, time_point now, replica_output& out)
{
    if (m.preVote) {
        respondToPreVote(r, from, m, now, out);
        return;
    }
    if (!m.transfer && isBoundByLeaderLease(r, now)) {
        return;
    }
    if (m.term > r.term) {
        becomeFollower(r, m.term, {}, out);
    }
    const bool canVoteForSender = r.votedFor.empty() || r.votedFor == from;
    const bool granted = m.term == r.term && canVoteForSender && isUpToDate(r, m);
    if (granted && r.votedFor.empty()) {
        r.votedFor = from;
        r.electionDeadlineSet = false;
        persistHardState(r);
    }
    sendWhenDurable(r, from, wire::vote_response { r.term, granted, false }, out);
}

//------------------------------------------------------------------------------------------------------------------
// Transfer
//------------------------------------------------------------------------------------------------------------------

bool transferLeadership(replica& r, time_point now, replica_output& out)
{
    if (!isLeader(r)) {
        return true;
    }
    for (const auto& id : configurationOf(r).members) {
        const auto found = r.followers.find(id);
        if (found == r.followers.end() || found->second.matchIndex != lastIndex(r)) {
            continue;
        }
        if (now - found->second.lastAnswer > r.settings.electionTimeoutMin) {
            continue;
        }
        // Stepping down first ends the lease before another replica can win the election.
        becomeFollower(r, r.term, {}, out);
        sendNow(r, id, wire::timeout_now { r.term }, out);
        return true;
    }
    return false;
}

void handle(replica& r, const std::string& from, const wire::timeout_now& m, [[maybe_unused]] time_point now, replica_output& out)
{
    if (m.term == r.term && r.leader == from && isMember(r, r.id)) {
        startElection(r, true, out);
    }
}

} // namespace cuminledge::core::consensus
