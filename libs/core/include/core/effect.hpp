#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <base/log.hpp>
#include <core/event.hpp>
#include <core/snapshot_image.hpp>
#include <wire/message.hpp>

/// Everything the reducer may ask its host to do. Hosts carry effects out in order.
namespace cuminledge::core {

using header_list = std::vector<std::pair<std::string, std::string>>;

//------------------------------------------------------------------------------------------------------------------
// Peers
//------------------------------------------------------------------------------------------------------------------

/// Keeps a connection to that process, dialling again with back-off, until disconnect_peer.
struct connect_peer {
    std::string peer; ///< expected name; any other name in the hello is refused
    std::string address; ///< "IP:PORT"
};

struct disconnect_peer {
    std::string peer;
};

/// Sends over the newest live connection with that process. With none, the message is dropped: whoever needs an
/// answer has a deadline.
struct send_message {
    std::string peer;
    wire::message body;
};

//------------------------------------------------------------------------------------------------------------------
// Callers and operators
//------------------------------------------------------------------------------------------------------------------

/// The whole answer to a caller.
struct reply_to_caller {
    exchange_id exchange = 0;
    std::uint32_t status = 200;
    std::string contentType = "application/json";
    header_list headers;
    std::string body;
};

/// Starts an answer of type text/event-stream (status 200, chunked).
struct begin_stream {
    exchange_id exchange = 0;
    header_list headers;
};

/// One server-sent event; the host adds "data: " and the blank line.
struct stream_event {
    exchange_id exchange = 0;
    std::string data;
};

struct end_stream {
    exchange_id exchange = 0;
};

/// Closes the connection without a proper end: for a stream that can't be finished.
struct abort_exchange {
    exchange_id exchange = 0;
};

/// Remembers under which key the exchange's connection was last used.
struct tag_connection {
    exchange_id exchange = 0;
    std::string key;
};

/// Closes every idle connection tagged with the key (those with an exchange under way get their answer first).
struct close_key_connections {
    std::string key;
};

struct reply_to_operator {
    exchange_id exchange = 0;
    bool ok = true;
    error_code code = error_code::Internal; ///< where not ok
    std::string body; ///< JSON value; where not ok, a JSON object with "code", "message" and details
};

struct reply_dump {
    exchange_id exchange = 0;
    std::string body; ///< JSON object
};

//------------------------------------------------------------------------------------------------------------------
// Upstream
//------------------------------------------------------------------------------------------------------------------

struct start_upstream {
    std::string request; ///< id, for the events about it
    std::string address; ///< "IP:PORT"
    std::string method = "POST";
    std::string target;
    header_list headers;
    std::string body;
    bool eventStream = false; ///< deliver server-sent events one by one
    bool freshConnection = false; ///< not from the pool: for probes and calls that may not be repeated
    std::chrono::milliseconds silenceTimeout { 0 }; ///< no byte for so long fails it; 0: no bound
};

/// Closes the request's connection. No more events come for it.
struct cancel_upstream {
    std::string request;
};

//------------------------------------------------------------------------------------------------------------------
// Forwarded requests
//------------------------------------------------------------------------------------------------------------------

/// Sends a caller's request on to a backend server. Answered by upstream_head and what follows it.
struct forward_upstream {
    std::string request; ///< id, for the events about it
    std::string address; ///< "IP:PORT"
    std::string backend; ///< another server at that address is to refuse it
    std::string attempt;
    std::string method;
    std::string target;
    std::string host;
    header_list headers;
    std::string body;
    std::string account; ///< empty: a public route
    std::chrono::milliseconds timeLeft { 0 }; ///< 0: no limit
    std::string lastEvent; ///< resumes a stream behind this event; empty: from the start
    bool freshConnection = false;
};

/// Stops reading the request's answer, so that the server waits. The request goes on.
struct pause_upstream {
    std::string request;
};

/// Reads on after pause_upstream.
struct resume_upstream {
    std::string request;
};

/// Finds out whether a backend server accepts connections, by making one and closing it. Answered by server_checked.
struct check_server {
    std::string server;
    std::uint64_t incarnation = 0; ///< returned with the answer
    std::string address; ///< "IP:PORT"
};

/// Starts the answer to a forwarded request.
struct begin_answer {
    exchange_id exchange = 0;
    std::uint32_t status = 200;
    header_list headers;
    std::int64_t length = -1; ///< of the body; -1: not known yet
};

struct answer_data {
    exchange_id exchange = 0;
    std::string data;
};

/// The answer is complete.
struct end_answer {
    exchange_id exchange = 0;
};

/// Refuses a caller's forwarded request. The interface in use says it in its own form.
struct refuse_caller {
    exchange_id exchange = 0;
    error_code code = error_code::Unavailable;
    bool mayHaveRun = false;
    std::chrono::milliseconds retryAfter { 0 }; ///< 0: no advice
    std::string message;
};

/// Answers from now on announce that the connection closes after them.
struct announce_closing {
};

//------------------------------------------------------------------------------------------------------------------
// Control
//------------------------------------------------------------------------------------------------------------------

enum class control_outcome : std::uint8_t {
    Done,
    Invalid, ///< final: the same call is refused again
    NotFound,
    Conflict,
    Redirected, ///< `leader` answers
    Unavailable ///< nobody can answer now
};

/// Answers a call of a backend server or an operator.
struct reply_to_control {
    exchange_id exchange = 0;
    control_outcome outcome = control_outcome::Done;
    std::string leader; ///< "IP:PORT" where control calls are answered; empty: unknown
    std::string document; ///< of a routes_query
    std::string state; ///< of a retirement_request: "running" or "completed"
    std::string message; ///< what is wrong
};

//------------------------------------------------------------------------------------------------------------------
// Storage
//------------------------------------------------------------------------------------------------------------------

/// Writes and syncs, in this order: the hard state, the truncation, the entries, the snapshot. Answered by
/// log_persisted or storage_failed.
struct persist_log {
    std::uint32_t group = 0;
    std::uint64_t ticket = 0;
    bool hasHardState = false;
    std::uint64_t term = 0;
    std::string votedFor;
    std::uint64_t truncateFrom = 0; ///< drop entries from this index on; 0: none
    std::vector<wire::log_entry> entries;
    bool hasSnapshot = false; ///< replaces the older snapshot and the log up to snapshotIndex
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotTerm = 0;
    std::string snapshotConfiguration;
    std::string snapshot;
    std::vector<snapshot_piece> newPieces; ///< written before the snapshot
    std::vector<std::uint64_t> pieces; ///< belong to the snapshot; other pieces on the disk are deleted
    bool isSnapshotOptional = false; ///< the log holds what the snapshot does; it is dropped if the disk is full
};

//------------------------------------------------------------------------------------------------------------------
// Process
//------------------------------------------------------------------------------------------------------------------

struct write_log {
    log_level level = log_level::Info;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// What /readyz answers from now on.
struct set_ready {
    bool ready = false;
    std::string reason;
};

/// Stops taking new connections and closes idle ones; exchanges under way go on.
struct close_listeners {
};

struct stop_process {
    int exitCode = 0;
};

/// Adds one sample to a metric of /metrics.
struct record_metric {
    std::string name; ///< e.g. "calls_total" (counted) or "call_seconds" (distribution)
    double value = 1;
    bool isDistribution = false;
};

/// Sets a value of /metrics that may rise and fall.
struct set_gauge {
    std::string name; ///< e.g. "group_turn_bytes"
    std::string labels; ///< e.g. "group=\"1\""; may be empty
    double value = 0;
};

using effect = std::variant<connect_peer, disconnect_peer, send_message, reply_to_caller, begin_stream, stream_event,
    end_stream, abort_exchange, tag_connection, close_key_connections, reply_to_operator, reply_dump, start_upstream,
    cancel_upstream, persist_log, write_log, set_ready, close_listeners, stop_process, record_metric, forward_upstream,
    begin_answer, answer_data, end_answer, refuse_caller, announce_closing, reply_to_control, check_server, pause_upstream,
    resume_upstream, set_gauge>;

/// Effects in the order they are carried out.
using effects = std::vector<effect>;

} // namespace cuminledge::core
