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

/// The protocol's safeguards, all on. Only tests switch one off, to show that the checks then find its fault.
struct safeguards {
    bool preVote = true;
    bool leaderLease = true; ///< reads need a lease; followers stand by a leader they hear from
    bool voteBanAfterStart = true; ///< a restarted replica may have answered a heartbeat just before it ended
    bool checkQuorum = true;
    bool holdUntilPersisted = true;
    bool promoteOnlyCaughtUp = true;
    bool bootstrapOnlyBlank = true;
};

enum class replica_role : std::uint8_t {
    Follower, ///< also a learner, and a replica that belongs to no group yet
    PreCandidate,
    Candidate,
    Leader
};

/// The entries that are held in memory, [firstIndex, firstIndex + entries.size()).
struct replicated_log {
    std::uint64_t firstIndex = 1;
    std::uint64_t previousTerm = 0; ///< term of the entry before firstIndex
    std::deque<wire::log_entry> entries;
};

struct stored_snapshot {
    std::uint64_t index = 0; ///< last log index in it; 0: there is none
    std::uint64_t term = 0;
    std::string configuration; ///< coded wire::group_configuration
    std::string state;
};

struct configuration_at {
    std::uint64_t index = 0; ///< of its log entry, or of the snapshot that holds it
    wire::group_configuration configuration;
};

/// What a leader knows about another replica.
struct follower_progress {
    std::uint64_t matchIndex = 0; ///< durable there
    std::uint64_t nextIndex = 1;
    bool isProbing = false; ///< after a refusal: one append at a time until one is accepted
    std::deque<std::uint64_t> inFlight; ///< last index of each append that is not answered yet
    time_point lastProgress {}; ///< when an answer last moved it on, or a retry began
    time_point lastAnswer {};
    time_point followedSince {}; ///< when this leader began to send to it
    time_point ackedRoundStart {}; ///< when the newest answered request was sent
    std::uint64_t snapshotIndex = 0; ///< of the snapshot being sent; 0: none
    std::uint64_t snapshotOffset = 0;
};

struct round_start {
    std::uint64_t round = 0;
    time_point sentAt {};
};

struct held_message {
    std::uint64_t ticket = 0; ///< goes out when this persist_log is durable
    wire::consensus_envelope envelope;
};

struct write_in_flight {
    std::uint64_t ticket = 0;
    std::uint64_t lastIndex = 0; ///< of the log as of that write
};

/// A snapshot of which not all pieces have come.
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
    std::uint64_t snapshotChunksSent = 0;
    std::uint64_t snapshotsInstalled = 0;
    std::uint64_t snapshotsTaken = 0;
    std::uint64_t messagesInvalid = 0;
    std::uint64_t entriesCommitted = 0;
};

/**
 * One controller's replica of one group: replicated log after Raft (Ongaro and Ousterhout, 2014; Ongaro's thesis for
 * pre-vote, leases, membership changes and transfer).
 *
 * A plain struct, made by makeReplica() and changed only by the functions of consensus.hpp.
 */
struct replica {
    consensus_settings settings;
    safeguards guards;
    std::uint32_t group = 0;
    std::string controller; ///< this process's name
    std::string id; ///< "CONTROLLER#DISK_INCARNATION"
    std::vector<std::string> initialMembers; ///< controllers by name
    std::set<std::string> contacts; ///< further controllers that may know the group, by name
    bool isStopped = false; ///< its disk failed; it takes no part any more
    std::string stopReason;

    // Durable once the persist_log with their ticket is.
    std::uint64_t term = 0;
    std::string votedFor;
    replicated_log log;
    stored_snapshot snapshot;
    std::vector<configuration_at> configurations; ///< ascending; the last one holds

    replica_role role = replica_role::Follower;
    std::string leader; ///< replica id; empty while unknown
    std::uint64_t commitIndex = 0;
    std::uint64_t durableIndex = 0;
    std::uint64_t commitAtHeartbeat = 0; ///< the leader's commit index when it sent its last heartbeat
    std::uint64_t commitAtEarlierHeartbeat = 0; ///< and the one before: what a follower in step holds by now
    std::uint64_t barrierIndex = 0; ///< of the leader's first entry in its term
    std::uint64_t electionTicket = 0; ///< when this write is durable, the own vote counts
    bool isTransferElection = false;
    std::set<std::string> votes;
    time_point lastLeaderContact {};
    time_point electionDeadline {};
    bool electionDeadlineSet = false;
    time_point leadingSince {};
    time_point lastHeartbeat {};
    time_point lastJoinRequest {};
    std::map<std::string, std::string> blankReplicas; ///< controller to replica id, for forming a new group
    std::map<std::string, follower_progress> followers;
    std::uint64_t round = 0;
    std::deque<round_start> rounds;
    incoming_snapshot incoming;

    std::uint64_t lastTicket = 0;
    std::uint64_t persistedTicket = 0;
    bool hasPendingWrite = false;
    persist_log pendingWrite;
    std::deque<write_in_flight> writesInFlight;
    std::deque<held_message> held;

    replica_counters counters;
};

struct installed_snapshot {
    std::uint64_t index = 0;
    std::string state; ///< what takeSnapshot() was given by the leader
};

/// What follows from one call. The caller carries it out: installed first, then committed; writes before messages.
struct replica_output {
    std::vector<wire::consensus_envelope> messages; ///< to the process controllerOf(envelope.to)
    std::vector<persist_log> writes;
    std::optional<installed_snapshot> installed; ///< replaces the whole replicated state
    std::vector<wire::log_entry> committed; ///< every kind, indexes without gaps; apply the Command entries in order
    bool becameLeader = false;
    bool lostLeadership = false; ///< the outcome of proposals that are not committed is unknown
};

/// One replica in a group's status.
struct replica_status {
    std::string id;
    bool isLearner = false;
    std::uint64_t matchIndex = 0; ///< known by the leader only
    bool isCaughtUp = false; ///< holds everything committed, and answered within the election timeout
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
    std::vector<replica_status> replicas; ///< match and caught up are filled in at the leader
    bool survivesLoss = false; ///< known by the leader: any one disk may be lost now without the group stopping
};

} // namespace cuminledge::core::consensus
