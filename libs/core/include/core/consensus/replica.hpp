#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <base/clock.hpp>
#include <core/consensus/settings.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>
#include <wire/consensus_messages.hpp>

namespace cuminledge::core::consensus {

/// Safeguards of the protocol, all enabled by default. Only tests disable one, to prove that their checks detect the
/// resulting fault.
struct safeguards {
    bool preVote = true;
    bool leaderLease = true; ///< reads need a lease, and followers vote for no other replica while the lease may be valid
    bool voteBanAfterStart = true; ///< no vote after a restart: the replica may have answered a heartbeat just before
    bool checkQuorum = true;
    bool holdUntilPersisted = true;
    bool promoteOnlyCaughtUp = true;
    bool bootstrapOnlyBlank = true;
};

enum class replica_role : std::uint8_t {
    Follower, ///< also the role of learners and of replicas that belong to no group yet
    PreCandidate,
    Candidate,
    Leader
};

/// The log entries held in memory: indexes [firstIndex, firstIndex + entries.size()).
struct replicated_log {
    std::uint64_t firstIndex = 1;
    std::uint64_t previousTerm = 0; ///< term of the entry before firstIndex
    std::deque<wire::log_entry> entries;
};

/// Describes the snapshot on the disk. The state itself is not held in memory a second time.
struct stored_snapshot {
    std::uint64_t index = 0; ///< last log index that the snapshot contains; 0: no snapshot
    std::uint64_t term = 0;
    std::string configuration; ///< encoded wire::group_configuration
};

/// The replicated state as it is sent to followers that lack entries which the log no longer holds. Its bytes are held by
/// the owner of the replica, who fills in the chunks.
struct outgoing_snapshot {
    std::uint64_t index = 0; ///< last log index that it contains; 0: none is being sent
    std::uint64_t term = 0;
    std::string configuration; ///< encoded wire::group_configuration
    std::uint64_t totalBytes = 0;
    time_point providedAt {};
    bool isWanted = false; ///< a follower waits for one; provideOutgoingSnapshot() is due
};

struct configuration_at {
    std::uint64_t index = 0; ///< of its log entry, or of the snapshot that contains it
    wire::group_configuration configuration;
};

/// Replication progress of another replica, as tracked by the leader.
struct follower_progress {
    std::uint64_t matchIndex = 0; ///< last index known to be durable on the replica
    std::uint64_t nextIndex = 1;
    bool isProbing = false; ///< after a rejected append: one append at a time until one is accepted
    std::deque<std::uint64_t> inFlight; ///< last index of each append without a response
    time_point lastProgress {}; ///< when a response last advanced replication, or a retry started
    time_point lastAnswer {};
    time_point trackedSince {}; ///< when this leader started to replicate to it
    time_point ackedRoundStart {}; ///< send time of the newest request that was answered
    std::uint64_t snapshotIndex = 0; ///< of the snapshot being sent; 0: none
    std::uint64_t snapshotOffset = 0;
};

struct round_start {
    std::uint64_t round = 0;
    time_point sentAt {};
};

struct held_message {
    std::uint64_t ticket = 0; ///< sent when the persist_log with this ticket is durable
    wire::consensus_envelope envelope;
};

struct write_in_flight {
    std::uint64_t ticket = 0;
    std::uint64_t lastIndex = 0; ///< last index of the log after that write
    std::size_t bytes = 0; ///< of its commands
};

/// A snapshot of which only some chunks have been received.
struct incoming_snapshot {
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    std::string data;
};

struct replica_counters {
    std::uint64_t electionsStarted = 0;
    std::uint64_t electionsWon = 0;
    std::uint64_t leadershipsLost = 0;
    std::uint64_t appendsSent = 0;
    std::uint64_t appendsRefused = 0;
    std::uint64_t appendsDropped = 0; ///< while too much waited for the disk
    std::uint64_t proposalsRefused = 0; ///< likewise, at the leader
    std::uint64_t leadershipsHandedOver = 0; ///< likewise
    std::uint64_t snapshotChunksSent = 0;
    std::uint64_t snapshotsInstalled = 0;
    std::uint64_t snapshotsTaken = 0;
    std::uint64_t messagesInvalid = 0;
    std::uint64_t entriesCommitted = 0;
};

/**
 * One controller's replica of one group. The log is replicated by Raft (Ongaro and Ousterhout, 2014); pre-vote, leases,
 * membership changes and leadership transfer follow Ongaro's thesis.
 *
 * A plain struct, created by makeReplica() and modified only by the functions of consensus.hpp.
 */
struct replica {
    consensus_settings settings;
    safeguards guards;
    std::uint32_t group = 0;
    std::string controller; ///< this process's name
    std::string id; ///< "CONTROLLER#DISK_INCARNATION"
    std::vector<std::string> initialMembers; ///< controllers by name
    std::set<std::string> contacts; ///< names of further controllers that may host the group
    bool isStopped = false; ///< the disk failed; the replica no longer takes part in the protocol
    std::string stopReason;

    // Durable once the persist_log that contains the change is durable.
    std::uint64_t term = 0;
    std::string votedFor;
    replicated_log log;
    stored_snapshot snapshot;
    std::vector<configuration_at> configurations; ///< in ascending order of index; the last one is in effect

    replica_role role = replica_role::Follower;
    std::string leader; ///< replica id; empty while unknown
    std::uint64_t commitIndex = 0;
    std::uint64_t durableIndex = 0;
    std::uint64_t commitAtHeartbeat = 0; ///< the leader's commit index when it sent its last heartbeat
    std::uint64_t commitAtPreviousHeartbeat = 0; ///< at the heartbeat before; a caught-up follower has this index by now
    std::uint64_t barrierIndex = 0; ///< index of the leader's first entry in its term
    std::uint64_t electionTicket = 0; ///< the replica counts its own vote once this write is durable
    bool isTransferElection = false;
    std::set<std::string> votes;
    time_point lastLeaderContact {};
    time_point electionDeadline {};
    bool electionDeadlineSet = false;
    time_point leadingSince {};
    time_point lastHeartbeat {};
    time_point lastJoinRequest {};
    std::map<std::string, std::string> blankReplicas; ///< replica ids by controller, for forming a new group
    std::map<std::string, follower_progress> followers;
    std::uint64_t round = 0;
    std::deque<round_start> rounds;
    incoming_snapshot incoming;
    outgoing_snapshot outgoing;
    std::size_t bytesSinceSnapshot = 0; ///< of commands committed after the last snapshot

    std::uint64_t lastTicket = 0;
    std::uint64_t persistedTicket = 0;
    bool hasPendingWrite = false;
    persist_log pendingWrite;
    std::deque<write_in_flight> writesInFlight;
    std::size_t unsyncedBytes = 0; ///< of the commands of the writes in flight
    std::deque<held_message> heldMessages;

    replica_counters counters;
};

struct installed_snapshot {
    std::uint64_t index = 0;
    std::string state; ///< the replicated state, as its chunks were filled in
};

/// A chunk of the outgoing snapshot that lacks its data.
struct wanted_chunk {
    std::string to; ///< replica id
    wire::snapshot_chunk chunk;
    std::size_t bytes = 0; ///< of the data, from chunk.offset on
};

/// The actions that result from one call. The caller applies `installed` before `committed`, completes its write by
/// attachImage(), and issues the writes before the messages.
struct replica_output {
    std::vector<wire::consensus_envelope> messages; ///< to the process controllerOf(envelope.to)
    std::vector<wanted_chunk> chunks; ///< to be completed by fillChunk()
    std::vector<persist_log> writes;
    std::optional<installed_snapshot> installed; ///< replaces the whole replicated state
    std::vector<wire::log_entry> committed; ///< entries of every kind, without gaps; apply the Command entries in order
    bool becameLeader = false;
    bool lostLeadership = false; ///< the outcome of proposals that are not committed is unknown
};

/// One replica in a group's status.
struct replica_status {
    std::string id;
    bool isLearner = false;
    std::uint64_t matchIndex = 0; ///< known only at the leader
    bool isCaughtUp = false; ///< has everything committed and responded within the election timeout
};

struct group_status {
    std::uint32_t group = 0;
    std::uint64_t term = 0;
    replica_role role = replica_role::Follower;
    std::string leader; ///< controller's name
    std::uint64_t commitIndex = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t snapshotIndex = 0;
    bool isStopped = false;
    std::vector<replica_status> replicas; ///< matchIndex and isCaughtUp are set only at the leader
    bool survivesLoss = false; ///< known only at the leader: the group keeps working if any one disk is lost now
};

} // namespace cuminledge::core::consensus
