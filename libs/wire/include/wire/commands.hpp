#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <wire/codec.hpp>
#include <wire/control_messages.hpp>

/// Commands on the replicated state, the reads of it, and their results. A command's effect is decided when it is
/// applied, in log order, by the same code on every replica; so a command carries all it needs, randomness included.
namespace cuminledge::wire {

//------------------------------------------------------------------------------------------------------------------
// Programs (group of the program id)
//------------------------------------------------------------------------------------------------------------------

struct open_program {
    std::string program; ///< chosen by the gateway, random: opening again with the same id is a resend
    std::string account;
    std::string route;
    std::int64_t budgetTokens = 0;
    std::uint32_t maxTurns = 0;
    std::chrono::milliseconds idleTimeout { 0 };
    MSGPACK_DEFINE(program, account, route, budgetTokens, maxTurns, idleTimeout)
};

/// Reserves the worst case of a turn and makes it the program's only turn under way.
struct begin_turn {
    std::string program;
    std::string account;
    std::uint32_t turn = 0; ///< from 1
    std::string attempt; ///< names this attempt at the turn fleet-wide
    std::string requestDigest;
    std::int64_t deltaTokens = 0; ///< tokens of the new messages
    std::int64_t maxCompletionTokens = 0;
    MSGPACK_DEFINE(program, account, turn, attempt, requestDigest, deltaTokens, maxCompletionTokens)
};

/// Adds the turn to the history and settles its reservation.
struct commit_turn {
    std::string program;
    std::string account;
    std::uint32_t turn = 0;
    std::string attempt;
    std::string delta; ///< the turn's new messages, a JSON list
    std::string answer; ///< the assistant's message, a JSON object
    std::string finishReason;
    std::int64_t promptTokens = 0; ///< whole prompt
    std::int64_t completionTokens = 0;
    std::string backend; ///< where it ran; becomes the program's home
    MSGPACK_DEFINE(program, account, turn, attempt, delta, answer, finishReason, promptTokens, completionTokens, backend)
};

/// Ends an attempt that produced no answer; what it used is charged, the rest of its reservation is released.
struct abandon_turn {
    std::string program;
    std::string account;
    std::uint32_t turn = 0;
    std::string attempt;
    std::int64_t usedTokens = 0;
    MSGPACK_DEFINE(program, account, turn, attempt, usedTokens)
};

struct end_program {
    std::string program;
    std::string account; ///< empty: the system itself ends it
    std::string reason; ///< "caller", "idle", "turn_cap", "operator"
    MSGPACK_DEFINE(program, account, reason)
};

//------------------------------------------------------------------------------------------------------------------
// Non-repeatable calls (group of account + call id)
//------------------------------------------------------------------------------------------------------------------

enum class call_state : std::uint8_t {
    Recorded,
    Dispatched,
    Done,
    NotRun,
    Unknown
};

/// Made before dispatch. The first record of a call id wins; the same id with another digest is a conflict.
struct record_call {
    std::string account;
    std::string call; ///< the caller's Idempotency-Key
    std::string program; ///< may be empty
    std::string service;
    std::string operation;
    std::string requestDigest;
    std::string attempt;
    MSGPACK_DEFINE(account, call, program, service, operation, requestDigest, attempt)
};

/// Only the attempt that recorded the call may dispatch it, once.
struct dispatch_call {
    std::string account;
    std::string call;
    std::string attempt;
    std::string backend;
    std::uint64_t backendIncarnation = 0;
    MSGPACK_DEFINE(account, call, attempt, backend, backendIncarnation)
};

struct settle_call {
    std::string account;
    std::string call;
    std::string attempt;
    call_state state = call_state::Unknown;
    std::uint32_t status = 0; ///< the service's HTTP status, where Done
    std::string answer;
    MSGPACK_DEFINE(account, call, attempt, state, status, answer)
};

//------------------------------------------------------------------------------------------------------------------
// Rate authority (group of the account)
//------------------------------------------------------------------------------------------------------------------

/// Reserves tokens ahead of grants, and records where the leader's bucket stands: after a failover all that may be
/// outstanding counts as spent. A reservation of an older term is refused.
struct reserve_rate {
    std::string account;
    std::uint64_t term = 0; ///< of the leader that reserves
    std::int64_t tokens = 0; ///< added to what the leader may grant
    std::uint64_t sequence = 0; ///< rises by one for each reservation of the account in a term
    std::int64_t level = 0; ///< the bucket with confirmed spending subtracted
    std::int64_t outstanding = 0; ///< tokens that may yet be spent under this and earlier reservations
    MSGPACK_DEFINE(account, term, tokens, sequence, level, outstanding)
};

//------------------------------------------------------------------------------------------------------------------
// Group 0: manifest, keys, backend servers
//------------------------------------------------------------------------------------------------------------------

struct accept_manifest {
    std::uint64_t number = 0;
    std::string digest; ///< SHA-256 of the document
    std::string document; ///< already validated by the leader
    MSGPACK_DEFINE(number, digest, document)
};

/// The key itself never leaves the operator's command: only its salted hash is stored.
struct issue_key {
    std::string key; ///< key id, the lookup prefix
    std::string account;
    std::string salt;
    std::string hash; ///< SHA-256 of salt + secret
    MSGPACK_DEFINE(key, account, salt, hash)
};

struct withdraw_key {
    std::string key;
    MSGPACK_DEFINE(key)
};

struct drain_backend {
    std::string backend;
    bool draining = true;
    MSGPACK_DEFINE(backend, draining)
};

/// Takes a failure domain out of use, or back into use: its backend servers get no new work.
struct evacuate_domain {
    std::string domain;
    bool evacuated = true;
    MSGPACK_DEFINE(domain, evacuated)
};

/// Gives the sidecar incarnation that orders a backend server its fencing number, higher than every earlier one.
struct register_orderer {
    std::string backend;
    std::uint64_t incarnation = 0;
    MSGPACK_DEFINE(backend, incarnation)
};

/// One backend server died while it ran the request with this fingerprint.
struct report_crash {
    std::string fingerprint;
    std::string account;
    std::string backend;
    std::uint64_t engineIncarnation = 0; ///< one death counts once
    std::uint32_t deathLimit = 0; ///< deaths from which on the request is quarantined; 0: the controllers' own limit
    MSGPACK_DEFINE(fingerprint, account, backend, engineIncarnation, deathLimit)
};

/// Clears a suspect (it finished elsewhere) or lifts a quarantine (an operator's order).
struct clear_fingerprint {
    std::string fingerprint;
    bool byOperator = false;
    bool hasCompleted = false; ///< the request was answered whole, which lifts a quarantine too
    MSGPACK_DEFINE(fingerprint, byOperator, hasCompleted)
};

//------------------------------------------------------------------------------------------------------------------
// Route tables (group 0)
//------------------------------------------------------------------------------------------------------------------

/// Puts a route table in force if its version is higher than that of the one held; else changes nothing.
struct accept_routes {
    std::uint64_t version = 0;
    std::string table; ///< coded route_table, already validated by the leader
    std::string document; ///< as the operator sent it, for reading back
    MSGPACK_DEFINE(version, table, document)
};

/// What is known of a backend server that announces itself has changed: it has come, drains, leaves or is silent.
struct note_server {
    wire::backend_record server; ///< `withdrawn`: it is gone
    bool isLeaving = false; ///< it said so itself, so this incarnation does not come back
    MSGPACK_DEFINE(server, isLeaving)
};

//------------------------------------------------------------------------------------------------------------------
// Token budgets and retained turns of forwarded requests (group of the client account)
//------------------------------------------------------------------------------------------------------------------

/// Reserves the most tokens that one turn of a program may generate. A reservation counts until it is settled.
struct reserve_tokens {
    std::string account;
    std::string program;
    std::string attempt; ///< unique; reserving again under it changes nothing
    std::int64_t tokens = 0;
    std::int64_t budget = 0; ///< of the whole program; the first one named holds
    std::chrono::milliseconds retention { 0 }; ///< the budget is remembered for so long after its last use
    std::uint64_t retainedBytes = 0; ///< size of the turn's input, if the turn is retained; else 0
    bool continuesTurn = false; ///< the turn goes on from a retained one
    MSGPACK_DEFINE(account, program, attempt, tokens, budget, retention, retainedBytes, continuesTurn)
};

/// Replaces a reservation by what was generated.
struct settle_tokens {
    std::string account;
    std::string program;
    std::string attempt;
    std::int64_t used = 0;
    MSGPACK_DEFINE(account, program, attempt, used)
};

/// Adds a turn that was answered whole, and settles its reservation where it has one.
struct retain_turn {
    std::string account; ///< may be empty: a public route
    std::string turn; ///< the attempt's id
    std::string previous; ///< the turn that it continues; empty at the start of a chain
    std::string text; ///< input and output, as the next turn's prompt repeats them
    std::chrono::milliseconds retention { 0 };
    std::string program; ///< may be empty: no budget
    std::int64_t used = 0;
    MSGPACK_DEFINE(account, turn, previous, text, retention, program, used)
};

/// Time has passed for the group's leader; what is past its retention is dropped. Never faster than real time, as the
/// time between two leaders counts for nothing.
struct advance_time {
    std::uint32_t group = 0;
    std::chrono::milliseconds elapsed { 0 };
    MSGPACK_DEFINE(group, elapsed)
};

//------------------------------------------------------------------------------------------------------------------
// Streams that may be resumed (group of the client account)
//------------------------------------------------------------------------------------------------------------------

/// Records which servers may resume the stream that a request begins: the output of two software versions of a service
/// does not fit together.
struct record_stream {
    std::string account; ///< may be empty: a public route
    std::string attempt; ///< the request, which a caller that resumes the stream names
    std::string service;
    std::string softwareVersion;
    std::uint32_t sequence = 0; ///< of the request's records; a higher one replaces a lower one
    std::chrono::milliseconds retention { 0 };
    MSGPACK_DEFINE(account, attempt, service, softwareVersion, sequence, retention)
};

/// Keeps a turn and the chain before it for a while longer, as a turn under way continues it. The time bounds the hold, so
/// that it ends without a release when the gateway that asked for it is gone.
struct hold_chain {
    std::string account; ///< may be empty: a public route
    std::string turn; ///< the newest of the chain
    std::chrono::milliseconds duration { 0 };
    MSGPACK_DEFINE(account, turn, duration)
};

/// Alternatives are only ever appended: log records hold their numbers.
using command = std::variant<open_program, begin_turn, commit_turn, abandon_turn, end_program, record_call,
    dispatch_call, settle_call, reserve_rate, accept_manifest, issue_key, withdraw_key, drain_backend,
    register_orderer, report_crash, clear_fingerprint, accept_routes, reserve_tokens, settle_tokens, retain_turn,
    advance_time, note_server, record_stream, hold_chain, evacuate_domain>;

//------------------------------------------------------------------------------------------------------------------
// Reads, served by a leader that holds its lease
//------------------------------------------------------------------------------------------------------------------

struct read_program {
    std::string program;
    std::string account; ///< empty: an operator or a sidecar asks
    MSGPACK_DEFINE(program, account)
};

struct read_history {
    std::string program;
    std::string account; ///< empty: a sidecar asks
    std::uint32_t fromTurn = 1;
    MSGPACK_DEFINE(program, account, fromTurn)
};

struct read_call {
    std::string account;
    std::string call;
    MSGPACK_DEFINE(account, call)
};

/// Which of these programs have ended or never were? Sidecars ask, to release cache.
struct read_ended_programs {
    std::vector<std::string> programs;
    MSGPACK_DEFINE(programs)
};

/// The chain of turns that ends at `turn`, as far back as the asker does not hold it. A long chain is answered in parts:
/// the asker goes on with the turn that the oldest link names as its previous one.
struct read_chain {
    std::string account;
    std::string turn;
    std::vector<std::string> held; ///< turns whose chains the asker holds whole
    MSGPACK_DEFINE(account, turn, held)
};

/// Where the stream of a request began.
struct read_stream {
    std::string account;
    std::string attempt;
    MSGPACK_DEFINE(account, attempt)
};

using query = std::variant<read_program, read_history, read_call, read_ended_programs, read_chain, read_stream>;

//------------------------------------------------------------------------------------------------------------------
// Results
//------------------------------------------------------------------------------------------------------------------

/// The command did what it says and has nothing to tell.
struct acknowledged {
    std::uint64_t revision = 0; ///< of the state it changed
    MSGPACK_DEFINE(revision)
};

struct refused {
    std::uint32_t code = 0; ///< error_code
    std::string message;
    std::string step;
    std::string detail; ///< e.g. the digest that holds
    std::chrono::milliseconds retryAfter { 0 }; ///< 0: no advice
    MSGPACK_DEFINE(code, message, step, detail, retryAfter)
};

struct program_status {
    std::string program;
    std::string account;
    std::string route;
    std::string state; ///< "open" or "ended"
    std::string endReason;
    std::uint32_t committedTurns = 0;
    std::uint32_t turnUnderWay = 0; ///< 0: none
    std::int64_t budgetTokens = 0;
    std::int64_t usedTokens = 0;
    std::int64_t reservedTokens = 0;
    std::int64_t historyTokens = 0;
    std::string home; ///< backend server of the last committed turn
    std::uint32_t maxTurns = 0;
    std::chrono::milliseconds idleTimeout { 0 };
    MSGPACK_DEFINE(program, account, route, state, endReason, committedTurns, turnUnderWay, budgetTokens, usedTokens,
        reservedTokens, historyTokens, home, maxTurns, idleTimeout)
};

/// The attempt may run. Or the turn was committed before: then `committed` and its answer.
struct turn_begun {
    bool committed = false;
    std::string answer;
    std::string finishReason;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    std::uint32_t historyTurns = 0;
    std::int64_t historyTokens = 0;
    std::int64_t attainedTokens = 0; ///< service the whole program has got so far
    std::string home;
    MSGPACK_DEFINE(committed, answer, finishReason, promptTokens, completionTokens, historyTurns, historyTokens,
        attainedTokens, home)
};

struct history_turn {
    std::uint32_t turn = 0;
    std::string delta;
    std::string answer;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    MSGPACK_DEFINE(turn, delta, answer, promptTokens, completionTokens)
};

struct history {
    std::string program;
    std::vector<history_turn> turns;
    MSGPACK_DEFINE(program, turns)
};

struct call_status {
    std::string account;
    std::string call;
    call_state state = call_state::Recorded;
    std::string requestDigest;
    std::string attempt; ///< the attempt that owns the call
    std::string service;
    std::string operation;
    std::string backend;
    std::uint64_t backendIncarnation = 0;
    std::uint32_t status = 0;
    std::string answer;
    bool answerDropped = false; ///< Done, but the answer was too large or is no longer kept
    MSGPACK_DEFINE(account, call, state, requestDigest, attempt, service, operation, backend, backendIncarnation,
        status, answer, answerDropped)
};

struct program_list {
    std::vector<std::string> programs;
    MSGPACK_DEFINE(programs)
};

struct fencing_number {
    std::uint64_t number = 0;
    MSGPACK_DEFINE(number)
};

struct token_reservation {
    bool isGranted = false; ///< else the budget does not hold the tokens
    std::int64_t budget = 0;
    std::int64_t used = 0;
    std::int64_t reserved = 0; ///< of turns that are not settled, this one included
    MSGPACK_DEFINE(isGranted, budget, used, reserved)
};

struct chain_link {
    std::string turn;
    std::string previous;
    std::string text;
    MSGPACK_DEFINE(turn, previous, text)
};

struct turn_chain {
    std::vector<chain_link> links; ///< newest first, as many as fit one frame; empty where a turn is unknown
    std::chrono::milliseconds keptFor { 0 }; ///< the chain is retained for at least so long; 0: not said
    MSGPACK_DEFINE(links, keptFor)
};

/// Only servers of this service and software version may resume the stream.
struct stream_origin {
    std::string service; ///< empty: no record of the stream is held
    std::string softwareVersion;
    MSGPACK_DEFINE(service, softwareVersion)
};

using command_result = std::variant<acknowledged, refused, program_status, turn_begun, history, call_status,
    program_list, fencing_number, token_reservation, turn_chain, stream_origin>;

} // namespace cuminledge::wire

MSGPACK_ADD_ENUM(cuminledge::wire::call_state);
