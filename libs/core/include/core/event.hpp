#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <base/error.hpp>
#include <wire/message.hpp>

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
    MSGPACK_DEFINE(exchange)
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
    MSGPACK_DEFINE(group, isNew, diskIncarnation, term, votedFor, snapshotIndex, snapshotTerm, snapshotConfiguration,
        snapshot, entries)
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

/// SIGTERM, or a second one.
struct shutdown_requested {
    bool immediately = false;
    MSGPACK_DEFINE(immediately)
};

/// Alternatives are only ever appended: traces hold their numbers.
using event = std::variant<process_started, tick, peer_connected, peer_disconnected, peer_message, caller_request,
    caller_gone, operator_request, dump_requested, upstream_response, upstream_data, upstream_finished, upstream_failed,
    replica_loaded, log_persisted, storage_failed, shutdown_requested>;

} // namespace cuminledge::core

MSGPACK_ADD_ENUM(cuminledge::core::upstream_phase);
