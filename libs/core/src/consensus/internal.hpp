#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <core/consensus/consensus.hpp>

/// Steps of the protocol that the files of this module share. See consensus.hpp for the outside.
namespace cuminledge::core::consensus {

//------------------------------------------------------------------------------------------------------------------
// Log (log.cpp)
//------------------------------------------------------------------------------------------------------------------

std::uint64_t lastIndex(const replica& r);
std::uint64_t lastTerm(const replica& r);

/// @return nothing where the log does not reach, or does not reach back, to that index.
std::optional<std::uint64_t> termAt(const replica& r, std::uint64_t index);

const wire::log_entry& entryAt(const replica& r, std::uint64_t index);

/// @return whether a Configuration entry holds a valid configuration; true for other kinds.
bool isReadable(const wire::log_entry& entry);

/// Lets the configuration in that entry hold. @param entry isReadable().
void noteConfiguration(replica& r, const wire::log_entry& entry);

/// Appends in memory and to the pending write. A Configuration entry holds from here on (thesis, 4.1).
void appendEntry(replica& r, wire::log_entry entry);

/// Drops the entries from that index on. @param from above the commit index.
void truncateLog(replica& r, std::uint64_t from);

/// Appends the leader's own entry at its term. @return its index.
std::uint64_t appendOwn(replica& r, wire::log_entry_kind kind, std::string payload);

/// @return the coded configuration that held at that index.
std::string configurationAt(const replica& r, std::uint64_t index);

/// Moves the commit index on and delivers the entries.
void commitUpTo(replica& r, std::uint64_t index, replica_output& out);

//------------------------------------------------------------------------------------------------------------------
// Writes and messages (persistence.cpp)
//------------------------------------------------------------------------------------------------------------------

/// @return the write that leaves at the end of this call.
persist_log& pendingWrite(replica& r);

void persistHardState(replica& r);

/// Sends at once. For messages that promise nothing.
void sendNow(replica& r, const std::string& to, const wire::consensus_message& message, replica_output& out);

/// Sends once everything written so far is durable. For votes and acknowledgements.
void sendWhenDurable(replica& r, const std::string& to, const wire::consensus_message& message, replica_output& out);

/// Gives the pending write its ticket. Every public function ends with it.
void flushWrites(replica& r, replica_output& out);

//------------------------------------------------------------------------------------------------------------------
// Elections (election.cpp)
//------------------------------------------------------------------------------------------------------------------

void becomeFollower(replica& r, std::uint64_t term, const std::string& leader, replica_output& out);
void startPreVote(replica& r, time_point now, replica_output& out);
void startElection(replica& r, bool isTransfer, replica_output& out);
void countOwnVote(replica& r, time_point now, replica_output& out);
void handle(replica& r, const std::string& from, const wire::vote_request& m, time_point now, replica_output& out);
void handle(replica& r, const std::string& from, const wire::vote_response& m, time_point now, replica_output& out);
void handle(replica& r, const std::string& from, const wire::timeout_now& m, time_point now, replica_output& out);

//------------------------------------------------------------------------------------------------------------------
// Replication (replication.cpp)
//------------------------------------------------------------------------------------------------------------------

void leaderTick(replica& r, time_point now, replica_output& out);

/// Sends each follower what it lacks, as far as its window allows.
void replicate(replica& r, time_point now, replica_output& out);
void sendEntries(replica& r, const std::string& id, follower_progress& p, time_point now, replica_output& out);
void sendHeartbeats(replica& r, time_point now, replica_output& out);

/// @return the number of the request sent now, for the lease.
std::uint64_t nextRound(replica& r, time_point now);

/// Looks up who answered a request of this leader; steps down where the answer's term is later.
/// @return null where the answer is not for this leadership.
follower_progress* findAnswering(replica& r, const std::string& from, std::uint64_t term, replica_output& out);

/// Notes an answer of a follower to the request with that round number.
void noteAnswer(replica& r, follower_progress& p, std::uint64_t round, time_point now);

/// Takes the sender as the leader of its term. @return false if the term is an old one.
bool acceptLeader(replica& r, const std::string& from, std::uint64_t term, time_point now, replica_output& out);

/// Commits what a quorum holds durably (only entries of the own term; Raft, 5.4.2).
void commitByQuorum(replica& r, replica_output& out);

/// @return the newest time at which a quorum was still known to follow this leader.
time_point quorumContact(const replica& r, time_point now);
void handle(replica& r, const std::string& from, const wire::append_request& m, time_point now, replica_output& out);
void handle(replica& r, const std::string& from, const wire::append_response& m, time_point now, replica_output& out);

//------------------------------------------------------------------------------------------------------------------
// Snapshots (snapshots.cpp)
//------------------------------------------------------------------------------------------------------------------

void sendSnapshotChunk(replica& r, const std::string& id, follower_progress& p, time_point now, replica_output& out);
void handle(replica& r, const std::string& from, const wire::snapshot_chunk& m, time_point now, replica_output& out);
void handle(
    replica& r, const std::string& from, const wire::snapshot_response& m, time_point now, replica_output& out);

//------------------------------------------------------------------------------------------------------------------
// Membership (membership.cpp)
//------------------------------------------------------------------------------------------------------------------

bool isMember(const replica& r, const std::string& id);
std::size_t quorumOf(const wire::group_configuration& configuration);

/// Holds nothing at all: no term, vote, log or snapshot.
bool isBlank(const replica& r);

/// Makes the followers' table match the configuration.
void syncFollowers(replica& r, time_point now);

/// As a blank replica, forms the group once all its initial members are known to be blank.
void formGroup(replica& r, time_point now);

/// Asks the other controllers whether a group exists, and to be taken in.
void requestJoin(replica& r, time_point now, replica_output& out);

/// @return whether it has been so quiet that the group may have gone on without this member.
bool mayHaveBeenRemoved(const replica& r, time_point now);

/// As the leader, takes the next step of replacing lost replicas, if one is due.
void advanceMembership(replica& r, time_point now, replica_output& out);

/// @return whether the follower holds what was committed and has answered recently.
bool isCaughtUp(const replica& r, const follower_progress& p, time_point now);
void handle(replica& r, const std::string& from, const wire::join_request& m, time_point now, replica_output& out);
void handle(replica& r, const std::string& from, const wire::join_response& m, time_point now, replica_output& out);

} // namespace cuminledge::core::consensus
