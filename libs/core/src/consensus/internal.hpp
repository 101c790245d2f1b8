#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <core/consensus/consensus.hpp>

/// Protocol steps shared by the files of this module. The public interface is consensus.hpp.
namespace cuminledge::core::consensus {

//------------------------------------------------------------------------------------------------------------------
// Log (log.cpp)
//------------------------------------------------------------------------------------------------------------------

std::uint64_t lastIndex(const replica& r);
std::uint64_t lastTerm(const replica& r);

/// @return the term of the entry at that index; nothing if the index is after the log's end or no longer in the log.
std::optional<std::uint64_t> termAt(const replica& r, std::uint64_t index);

const wire::log_entry& entryAt(const replica& r, std::uint64_t index);

/// @return whether a Configuration entry contains a valid configuration; true for other kinds.
bool hasValidConfiguration(const wire::log_entry& entry);

/// Puts the configuration in that entry into effect. @param entry for which hasValidConfiguration() is true.
void recordConfiguration(replica& r, const wire::log_entry& entry);

/// Appends to the log in memory and to the pending write. A Configuration entry takes effect immediately (thesis, 4.1).
void appendEntry(replica& r, wire::log_entry entry);

/// Removes all entries from that index on. @param from greater than the commit index.
void truncateLog(replica& r, std::uint64_t from);

/// Appends an entry in the leader's current term. @return its index.
std::uint64_t appendAsLeader(replica& r, wire::log_entry_kind kind, std::string payload);

/// @return the encoded configuration that was in effect at that index.
std::string configurationAt(const replica& r, std::uint64_t index);

/// Advances the commit index and adds the entries to `out.committed`.
void commitUpTo(replica& r, std::uint64_t index, replica_output& out);

//------------------------------------------------------------------------------------------------------------------
// Writes and messages (persistence.cpp)
//------------------------------------------------------------------------------------------------------------------

/// @return the write that is issued at the end of the current call.
persist_log& pendingWrite(replica& r);

void persistHardState(replica& r);

/// Sends immediately. For messages that do not depend on durable state.
void sendNow(replica& r, const std::string& to, const wire::consensus_message& message, replica_output& out);

/// Sends once all writes so far are durable. For votes and acknowledgements.
void sendWhenDurable(replica& r, const std::string& to, const wire::consensus_message& message, replica_output& out);

/// @return whether more entries may be written: the writes that wait for the disk, which may be full, are bounded.
bool hasRoomForEntries(const replica& r);

/// Assigns a ticket to the pending write and issues it. Every public function calls this last.
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

/// Sends each follower its missing entries, up to the limit of appends in flight.
void replicate(replica& r, time_point now, replica_output& out);
void sendEntries(replica& r, const std::string& id, follower_progress& p, time_point now, replica_output& out);
void sendHeartbeats(replica& r, time_point now, replica_output& out);

/// @return the round number of the requests sent now; responses echo it, for the lease.
std::uint64_t nextRound(replica& r, time_point now);

/// Finds the follower that sent a response to this leader. Steps down if the response has a later term.
/// @return null if the response does not belong to the current leadership.
follower_progress* findRespondingFollower(replica& r, const std::string& from, std::uint64_t term, replica_output& out);

/// Records a follower's response to the request with that round number.
void recordResponse(replica& r, follower_progress& p, std::uint64_t round, time_point now);

/// Accepts the sender as the leader of its term. @return false if the term is out of date.
bool acceptLeader(replica& r, const std::string& from, std::uint64_t term, time_point now, replica_output& out);

/// Commits what is durable on a quorum, but only up to an entry of the current term (Raft, 5.4.2).
void commitByQuorum(replica& r, replica_output& out);

/// @return the latest time at which a quorum was known to follow this leader.
time_point quorumContact(const replica& r, time_point now);
/// Sends an append without entries after the last entry, to find out whether the follower answers.
void sendProbeAtEnd(replica& r, const std::string& id, time_point now, replica_output& out);
void handle(replica& r, const std::string& from, const wire::append_request& m, time_point now, replica_output& out);
void handle(replica& r, const std::string& from, const wire::append_response& m, time_point now, replica_output& out);

//------------------------------------------------------------------------------------------------------------------
// Snapshots (snapshots.cpp)
//------------------------------------------------------------------------------------------------------------------

/// Frees the outgoing snapshot once no follower is receiving it.
void releaseOutgoingSnapshot(replica& r, time_point now);

void sendSnapshotChunk(replica& r, const std::string& id, follower_progress& p, time_point now, replica_output& out);
void handle(replica& r, const std::string& from, const wire::snapshot_chunk& m, time_point now, replica_output& out);
void handle(
    replica& r, const std::string& from, const wire::snapshot_response& m, time_point now, replica_output& out);

//------------------------------------------------------------------------------------------------------------------
// Membership (membership.cpp)
//------------------------------------------------------------------------------------------------------------------

bool isMember(const replica& r, const std::string& id);
std::size_t quorumOf(const wire::group_configuration& configuration);

/// @return whether the replica has no term, vote, log or snapshot.
bool isBlank(const replica& r);

/// Updates the table of followers to match the configuration in effect.
void syncFollowers(replica& r, time_point now);

/// Forms the group if this replica and all other initial members are known to be blank.
void formGroup(replica& r, time_point now);

/// Asks the other controllers whether the group exists, and to be added to it.
void requestJoin(replica& r, time_point now, replica_output& out);

/// @return whether the last contact with a leader is so long ago that the group may have removed this member.
bool mayHaveBeenRemoved(const replica& r, time_point now);

/// Takes the next step of replacing lost replicas, if one is due. Called at the leader.
void advanceMembership(replica& r, time_point now, replica_output& out);

/// @return whether the follower has the committed entries and has responded recently.
bool isCaughtUp(const replica& r, const follower_progress& p, time_point now);
void handle(replica& r, const std::string& from, const wire::join_request& m, time_point now, replica_output& out);
void handle(replica& r, const std::string& from, const wire::join_response& m, time_point now, replica_output& out);

} // namespace cuminledge::core::consensus
