#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <base/error.hpp>
#include <core/snapshot_image.hpp>
#include <wire/message.hpp>
#include <wire/route_table.hpp>

/// Everything that can happen to a process. Hosts make events; the reducer alone says what follows from them.
/// All of them have a coded form, so that a run can be recorded and replayed (see trace.hpp).
namespace cuminledge::core {

/// Names an HTTP exchange with a caller, or a JSON-RPC exchange with an operator, within one process.
using exchange_id = std::uint64_t;

/// First event of every process.
struct process_started {
    std::uint64_t seed = 0; ///< for the node's random generator
    std::uint64_t incarnation = 0; ///< higher than that of every earlier start of this process
    MSGPACK_DEFINE(seed, incarnation)
};

/// Time has gone on. Comes every few milliseconds; deadlines are looked at then.
struct tick {
    bool unused = false; ///< a coded struct needs a field
    MSGPACK_DEFINE(unused)
};

/// A connection to another process of the system is up and its hello is verified.
struct peer_connected {
    std::string peer; ///< the other process's name
    std::string role; ///< "gateway", "sidecar", "controller"
    std::uint64_t incarnation = 0;
    MSGPACK_DEFINE(peer, role, incarnation)
};

/// No connection to that process is left (closed, refused, or silent past the heartbeat bound).
struct peer_disconnected {
    std::string peer;
    std::string reason;
    MSGPACK_DEFINE(peer, reason)
};

struct peer_message {
    std::string peer;
    std::uint64_t incarnation = 0;
    wire::message body;

    /// Coded by hand: a variant has no MSGPACK_DEFINE.
    template <typename Packer>
    void msgpack_pack(Packer& packer) const
    {
        packer.pack_array(3);
        packer.pack(peer);
        packer.pack(incarnation);
        packer.pack(wire::encodeVariant(body));
    }

    void msgpack_unpack(const msgpack::object& o)
    {
        const auto fields = o.as<std::vector<msgpack::object>>();
        peer = fields.at(0).as<std::string>();
        incarnation = fields.at(1).as<std::uint64_t>();
        auto decoded = wire::decodeVariant<wire::message>(fields.at(2).as<std::string>(), "replay", peer);
        if (!decoded) {
            throw msgpack::type_error();
        }
        body = std::move(*decoded);
    }
};

//------------------------------------------------------------------------------------------------------------------
// Callers and operators
//------------------------------------------------------------------------------------------------------------------

/// A whole HTTP request of a caller, within the listener's size limits.
struct caller_request {
    exchange_id exchange = 0;
    std::uint64_t connection = 0;
    std::string method; ///< upper case
    std::string target; ///< path with query, as sent
    std::vector<std::pair<std::string, std::string>> headers; ///< names in lower case
    std::string body;
    MSGPACK_DEFINE(exchange, connection, method, target, headers, body)
};

/// The caller's connection closed before its answer was complete, or it read too slowly for the bounded buffer.
struct caller_gone {
    exchange_id exchange = 0;
    std::string reason; ///< which side closed the connection, and why
    MSGPACK_DEFINE(exchange, reason)
};

/// A JSON-RPC method call on the operators' listener.
struct operator_request {
    exchange_id exchange = 0;
    std::string method; ///< e.g. "manifest.accept"
    std::string parameters; ///< JSON object
    MSGPACK_DEFINE(exchange, method, parameters)
};

/// Somebody asked for /debug/state.
struct dump_requested {
    exchange_id exchange = 0;
    MSGPACK_DEFINE(exchange)
};

//------------------------------------------------------------------------------------------------------------------
// Upstream: HTTP exchanges of a sidecar with its backend server
//------------------------------------------------------------------------------------------------------------------

/// How far an upstream request got before it failed. Only NotSent proves that it did not run.
enum class upstream_phase : std::uint8_t {
    NotSent, ///< no byte of it left this process
    Sent, ///< it may have arrived
    Answering ///< part of the answer came
};

struct upstream_response {
    std::string request; ///< id from the start_upstream effect
    std::uint32_t status = 0;
    MSGPACK_DEFINE(request, status)
};

/// A piece of the body; for text/event-stream: one event's data, without the "data: " prefix.
struct upstream_data {
    std::string request;
    std::string data;
    MSGPACK_DEFINE(request, data)
};

/// The body is complete.
struct upstream_finished {
    std::string request;
    MSGPACK_DEFINE(request)
};

struct upstream_failed {
    std::string request;
    upstream_phase phase = upstream_phase::Sent;
    std::string message;
    MSGPACK_DEFINE(request, phase, message)
};

//------------------------------------------------------------------------------------------------------------------
// Storage
//------------------------------------------------------------------------------------------------------------------

/// What a group's replica found on its disk at the start. Comes once for each group, before any tick.
struct replica_loaded {
    std::uint32_t group = 0;
    bool isNew = false; ///< nothing was there: a first start or a lost disk
    std::uint64_t diskIncarnation = 0; ///< made when the disk was new, random
    std::uint64_t term = 0;
    std::string votedFor;
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotTerm = 0;
    std::string snapshotConfiguration;
    std::string snapshot;
    std::vector<wire::log_entry> entries;
    std::vector<snapshot_piece> pieces; ///< of the snapshot, where no piece_loaded brought them
    MSGPACK_DEFINE(group, isNew, diskIncarnation, term, votedFor, snapshotIndex, snapshotTerm, snapshotConfiguration,
        snapshot, entries, pieces)
};

/// A piece of the snapshot that the next replica_loaded of the group brings. Pieces come one by one, so that a start does not
/// hold the whole state twice.
struct piece_loaded {
    std::uint32_t group = 0;
    snapshot_piece piece;
    MSGPACK_DEFINE(group, piece)
};

/// The persist effect with this ticket, and all earlier ones of the group, are synced to disk.
struct log_persisted {
    std::uint32_t group = 0;
    std::uint64_t ticket = 0;
    MSGPACK_DEFINE(group, ticket)
};

/// A write or sync failed. The replica must stop: what the disk holds is not known any more.
struct storage_failed {
    std::uint32_t group = 0;
    std::string message;
    MSGPACK_DEFINE(group, message)
};

/// SIGTERM or SIGINT.
struct shutdown_requested {
    bool immediately = false; ///< a second SIGINT
    MSGPACK_DEFINE(immediately)
};

//------------------------------------------------------------------------------------------------------------------
// Forwarded requests: any method, path and body, sent on to a backend server unchanged
//------------------------------------------------------------------------------------------------------------------

/// A piece of a prompt that requests may share; an engine that holds it, and all before it, need not read it again.
struct prompt_part {
    std::string id;
    std::int64_t tokens = 0;
    MSGPACK_DEFINE(id, tokens)
};

/// Where a request stands in an agent program.
struct program_context {
    std::string program; ///< empty: the request belongs to none
    std::string turnSequence; ///< one value for each sequence of turns
    std::chrono::milliseconds timeLeft { 0 }; ///< until the program should be done; 0: not said
    std::int64_t budgetTokens = 0; ///< that all its turns may generate; 0: no budget
    std::string previousTurn; ///< the turn that this one continues; empty: starts a chain
    MSGPACK_DEFINE(program, turnSequence, timeLeft, budgetTokens, previousTurn)
};

/// A caller's request to be forwarded.
struct forward_request {
    exchange_id exchange = 0;
    std::string attempt; ///< names this request; never used again by a caller
    std::string method;
    std::string target; ///< path with query
    std::string host;
    std::vector<std::pair<std::string, std::string>> headers; ///< those to be passed on as they are
    std::string body;
    std::string key; ///< the account's key; empty: none came
    std::chrono::milliseconds timeLeft { 0 }; ///< that the caller will wait; 0: not said
    program_context programContext;
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    std::vector<prompt_part> parts; ///< of the prompt, in order
    std::string lastEvent; ///< the caller resumes a stream behind this event's id
    std::string resumedAttempt; ///< the request that received the first event of the resumed stream; empty: not said
    std::string affinityKey; ///< names the object that the request concerns; empty: none
    MSGPACK_DEFINE(exchange, attempt, method, target, host, headers, body, key, timeLeft, programContext, model, promptTokens,
        maxOutputTokens, parts, lastEvent, resumedAttempt, affinityKey)
};

/// The head of a backend server's answer to a forward_upstream effect. Then upstream_data, and upstream_finished or
/// upstream_failed.
struct upstream_head {
    std::string request; ///< id from the effect
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers; ///< those to be passed on as they are
    bool notRun = false; ///< the server states that it did not and will not run the request
    std::string attempt; ///< that the server says it answers; empty: it does not say
    bool isSigned = false; ///< bears the proof that a backend server made it
    bool isEncoded = false; ///< the body is not the server's own bytes
    std::int64_t length = -1; ///< of the body; -1: not known
    bool statesLimit = false; ///< the server limits the requests that it takes
    double requestsPerSecond = -1; ///< that limit, over all gateways; below 0: it can't be read
    bool isLeaving = false; ///< the server says that it ends soon
    MSGPACK_DEFINE(request, status, headers, notRun, attempt, isSigned, isEncoded, length, statesLimit, requestsPerSecond,
        isLeaving)
};

enum class server_reachability : std::uint8_t {
    Accepts,
    Refuses, ///< no process listens at the address
    Unreachable ///< no answer
};

/// The answer to a check_server effect.
struct server_checked {
    std::string server;
    std::uint64_t incarnation = 0;
    server_reachability reachability = server_reachability::Unreachable;
    MSGPACK_DEFINE(server, incarnation, reachability)
};

//------------------------------------------------------------------------------------------------------------------
// Control: backend servers that announce themselves, and operators of forwarding gateways
//------------------------------------------------------------------------------------------------------------------

/// A backend server says of itself that it is there.
struct server_announcement {
    exchange_id exchange = 0;
    wire::backend_record backend; ///< without a sidecar
    std::uint64_t sequence = 0; ///< rises with each announcement of an incarnation; 0: not said
    bool isLeaving = false;
    std::chrono::milliseconds coldFor { 0 }; ///< how much longer it stays cold
    MSGPACK_DEFINE(exchange, backend, sequence, isLeaving, coldFor)
};

/// A backend server says that it ends.
struct server_departure {
    exchange_id exchange = 0;
    std::string backend;
    std::uint64_t incarnation = 0; ///< 0: not said
    MSGPACK_DEFINE(exchange, backend, incarnation)
};

struct routes_submission {
    exchange_id exchange = 0;
    wire::route_table table;
    std::string document; ///< as it was sent
    MSGPACK_DEFINE(exchange, table, document)
};

struct routes_query {
    exchange_id exchange = 0;
    MSGPACK_DEFINE(exchange)
};

/// An operator wants a storage VM emptied, or asks how far that is.
struct retirement_request {
    exchange_id exchange = 0;
    std::string vm;
    bool isStart = false; ///< else only asks
    MSGPACK_DEFINE(exchange, vm, isStart)
};

/// An operator wants a failure domain taken out of use, or back into use.
struct evacuation_request {
    exchange_id exchange = 0;
    std::string domain;
    bool isStart = false; ///< else takes the domain back into use
    MSGPACK_DEFINE(exchange, domain, isStart)
};

/// After close_listeners: the last connection of a caller or operator has closed, with every answer sent.
struct listeners_drained {
    bool unused = false; ///< a coded struct needs a field
    MSGPACK_DEFINE(unused)
};

/// Much of the answer waits to be sent, as the caller reads more slowly than it comes. Then caller_unblocked, or
/// caller_gone.
struct caller_blocked {
    exchange_id exchange = 0;
    MSGPACK_DEFINE(exchange)
};

struct caller_unblocked {
    exchange_id exchange = 0;
    MSGPACK_DEFINE(exchange)
};

/// Alternatives are only ever appended: traces hold their numbers.
using event = std::variant<process_started, tick, peer_connected, peer_disconnected, peer_message, caller_request,
    caller_gone, operator_request, dump_requested, upstream_response, upstream_data, upstream_finished, upstream_failed,
    replica_loaded, log_persisted, storage_failed, shutdown_requested, forward_request, upstream_head,
    server_announcement, server_departure, routes_submission, routes_query, retirement_request, listeners_drained,
    server_checked, caller_blocked, caller_unblocked, evacuation_request, piece_loaded>;

} // namespace cuminledge::core

MSGPACK_ADD_ENUM(cuminledge::core::upstream_phase);
MSGPACK_ADD_ENUM(cuminledge::core::server_reachability);
