#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <base/clock.hpp>
#include <core/event.hpp>
#include <wire/commands.hpp>

/// A caller's request that is in progress in a gateway.
namespace cuminledge::core::gateway {

enum class call_kind : std::uint8_t {
    OpenProgram,
    ReadProgram,
    ReadHistory,
    EndProgram,
    Chat,
    Service,
    ReadCall
};

/// The result or event that a call waits for.
enum class call_step : std::uint8_t {
    Program, ///< the account and route of a program that this gateway has not cached
    Rate, ///< a rate token of its client account
    Controller, ///< the single command or read that serves the request
    Begin, ///< begin_turn
    Backend, ///< an available backend server, or the end of the pause before a retry
    Attempt, ///< the result of the attempt at a sidecar
    Lookup, ///< the attempt's state at its sidecar, after contact was lost or progress stopped
    Commit, ///< commit_turn
    TakeOver, ///< read_program, to take over a turn that another attempt has left in progress
    Existing, ///< read_call, to find an earlier use of the call id
    Record, ///< record_call
    Dispatch, ///< dispatch_call
    Settle, ///< settle_call
    Outcome ///< the outcome of another attempt at the same call id
};

/// The current attempt of a call at a sidecar.
struct sidecar_attempt {
    std::string id;
    std::string backend;
    std::string sidecar; ///< peer name
    std::uint64_t incarnation = 0;
    bool started = false;
    bool queryPending = false; ///< an attempt_query was sent and has not been answered
    time_point progressDeadline; ///< without progress by then the attempt is looked up
    time_point lookupDeadline; ///< in step Lookup: the lookup fails then
};

/// The state of one call, from its admission to its answer.
struct gateway_call {
    std::uint64_t id = 0;
    exchange_id exchange = 0; ///< 0: the caller was answered or has disconnected
    std::string requestId;
    std::string key; ///< key id; empty on a route open to all
    std::string account;
    call_kind kind = call_kind::Chat;
    call_step step = call_step::Controller;
    time_point receivedAt;
    time_point startDeadline; ///< a call that has not started by then is refused as not run
    time_point deadline; ///< for the whole call
    time_point nextCheckAt; ///< in steps Backend, Lookup, TakeOver and Outcome: time of the next check
    std::uint64_t controllerRequest = 0; ///< request awaiting an answer from a controller; 0: none

    wire::open_program openCommand; ///< if kind is OpenProgram
    std::string program;
    std::uint32_t turn = 0; ///< 0: the call does not belong to a program
    std::string route;
    std::string model;
    bool stream = false;
    bool streamStarted = false;
    std::string body; ///< chat: the new messages, a JSON list; service: the request's body
    std::int64_t deltaTokens = 0;
    std::int64_t maxTokens = 0;
    std::string requestDigest;
    std::string fingerprint;
    bool suspect = false; ///< a backend server died while running it; it now runs alone
    std::uint32_t backendDeaths = 0;

    std::string ownAttempt; ///< id of this gateway's attempt at the turn or call; attempts at sidecars append a number
    std::uint32_t attemptsMade = 0;
    std::string lastBackend; ///< a retry prefers other servers
    std::string lastAttempt; ///< id of the attempt at lastBackend
    wire::turn_begun begun;
    sidecar_attempt attempt;
    std::string answer; ///< text received so far
    std::string finishReason;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t completionTokens = 0; ///< of all attempts so far
    std::int64_t attemptTokens = 0; ///< of the current attempt

    std::string service;
    std::string operation;
    std::string callId; ///< the Idempotency-Key; empty for a repeatable operation without one
    bool repeatable = true;
    bool recorded = false; ///< this gateway's attempt owns the idempotency record
    bool cancelled = false; ///< ends as soon as its attempt allows
    bool mayHaveRun = false; ///< at least one attempt is not proved to have been refused
    error lastError; ///< of the last failed attempt
    std::uint32_t status = 0; ///< the service's HTTP status
    wire::call_state settleState = wire::call_state::Unknown;
    wire::call_status record; ///< in step Outcome: the idempotency record as last read
    time_point ownerDeadline; ///< another attempt that owns the turn or call may finish until then
    std::string competingAttempt; ///< id of the other attempt that holds the turn
    time_point outcomeDeadline; ///< in steps Lookup and Outcome: the caller is refused as unknown then
};

/// @return the step's name in snake case, for refusals, logs and dumps.
const char* toString(call_step step);

/// @return the kind's name in snake case, for logs and dumps.
const char* toString(call_kind kind);

} // namespace cuminledge::core::gateway
