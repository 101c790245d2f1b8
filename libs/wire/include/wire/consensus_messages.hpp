#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <wire/codec.hpp>

/// Messages of the replication protocol of one group. Each travels inside a wire::consensus_envelope.
namespace cuminledge::wire {

enum class log_entry_kind : std::uint8_t {
    Command, ///< for the replicated state
    Configuration, ///< a membership change of the group
    Barrier ///< the empty entry a new leader starts its term with
};

struct log_entry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    log_entry_kind kind = log_entry_kind::Command;
    std::string payload;
    MSGPACK_DEFINE(index, term, kind, payload)
};

/// Asks for a vote; as a pre-vote, asks only whether a vote would be given, and changes no term.
struct vote_request {
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    bool preVote = false;
    bool transfer = false; ///< the leader itself asked for this election and has given up its lease
    MSGPACK_DEFINE(term, lastIndex, lastTerm, preVote, transfer)
};

struct vote_response {
    std::uint64_t term = 0;
    bool granted = false;
    bool preVote = false;
    MSGPACK_DEFINE(term, granted, preVote)
};

/// Replicates entries, and as an empty request keeps the leader's lease.
struct append_request {
    std::uint64_t term = 0;
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t round = 0; ///< echoed back, so that the leader knows what it sent the answered request at
    std::vector<log_entry> entries;
    MSGPACK_DEFINE(term, previousIndex, previousTerm, commitIndex, round, entries)
};

struct append_response {
    std::uint64_t term = 0;
    bool accepted = false;
    std::uint64_t matchIndex = 0; ///< last index that is durable here and equals the leader's; on a refusal, where to go on
    std::uint64_t round = 0;
    std::uint64_t previousIndex = 0; ///< of the answered request
    MSGPACK_DEFINE(term, accepted, matchIndex, round, previousIndex)
};

/// One piece of a snapshot.
struct snapshot_chunk {
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0; ///< the last log index the snapshot holds
    std::uint64_t lastTerm = 0;
    std::string configuration; ///< the group's membership at lastIndex, coded
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::string data;
    std::uint64_t round = 0;
    MSGPACK_DEFINE(term, lastIndex, lastTerm, configuration, offset, totalBytes, data, round)
};

struct snapshot_response {
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t nextOffset = 0; ///< how much is held; equals totalBytes when the snapshot is durable here
    bool installed = false;
    std::uint64_t round = 0;
    MSGPACK_DEFINE(term, lastIndex, nextOffset, installed, round)
};

/// Who belongs to a group: payload of a Configuration entry, and part of a snapshot. Names are replica ids.
struct group_configuration {
    std::vector<std::string> members; ///< vote and count towards a quorum
    std::vector<std::string> learners; ///< get the log, but don't count yet
    MSGPACK_DEFINE(members, learners)
};

/**
 * Sent by a replica that belongs to no configuration it knows of. To other replicas that hold nothing it is a step of
 * forming a new group; to a leader it is the request to be added as a learner.
 */
struct join_request {
    bool isBlank = true; ///< the sender holds no term, vote or log
    MSGPACK_DEFINE(isBlank)
};

/// Answers a join_request.
struct join_response {
    bool isBlank = false; ///< the answering replica holds no term, vote or log
    std::vector<std::string> members; ///< replica ids that it knows in the group: one of them may lead
    MSGPACK_DEFINE(isBlank, members)
};

/// From a leader that has given up its leadership: the receiver starts an election without waiting for its timeout.
struct timeout_now {
    std::uint64_t term = 0;
    MSGPACK_DEFINE(term)
};

/// Alternatives are only ever appended.
using consensus_message = std::variant<vote_request, vote_response, append_request, append_response, snapshot_chunk,
    snapshot_response, join_request, join_response, timeout_now>;

/// A consensus message with its addresses.
struct consensus_envelope {
    std::uint32_t group = 0;
    std::string from; ///< replica id: "CONTROLLER#DISK_INCARNATION"
    std::string to; ///< replica id; for a join_request the controller's name alone
    std::string body; ///< encodeVariant(consensus_message)
    MSGPACK_DEFINE(group, from, to, body)
};

} // namespace cuminledge::wire

MSGPACK_ADD_ENUM(cuminledge::wire::log_entry_kind);
