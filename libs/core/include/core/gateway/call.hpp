#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <base/clock.hpp>
#include <core/event.hpp>
#include <wire/commands.hpp>

/// A caller's request under way in a gateway.
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

/// What a call waits for.
enum class call_step : std::uint8_t {
    Program, ///< the route of a program this gateway has not seen yet
    Rate, ///< a token of its client account's rate
    Controller, ///< the one command or read that the request is about
    Begin, ///< begin_turn
    Backend, ///< a backend server that can take it, or the pause before a retry
    Attempt, ///< the attempt at a sidecar
    Lookup, ///< contact with the attempt is lost; where does it stand?
    Commit, ///< commit_turn
    TakeOver, ///< read_program, to end a turn that a lost gateway left under way
    Existing, ///< whether the call id has been used before
    Record, ///< record_call
    Dispatch, ///< dispatch_call
    Settle, ///< settle_call
    Outcome ///< another gateway's attempt at the same call id
};

/// The attempt a call has at a sidecar.
struct attempt_run {
    std::string attempt;
    std::string backend;
    std::string sidecar; ///< peer name
    std::uint64_t incarnation = 0;
    bool started = false;
    bool queryUnanswered = false;
    time_point progressBy; ///< without a sign of life by then it is looked up
    time_point giveUpAt; ///< in step Lookup: contact counts as lost for good
};

struct call {
    std::uint64_t id = 0;
    exchange_id exchange = 0; ///< 0: no caller waits any more
    std::string requestId;
    std::string key; ///< key id; empty on a route open to all
    std::string account;
    call_kind kind = call_kind::Chat;
    call_step step = call_step::Controller;
    time_point receivedAt;
    time_point startBy; ///< not started by then: refused as not run
    time_point deadline; ///< whole call
    time_point resumeAt; ///< in step Backend or Outcome: when to look again
    std::uint64_t controllerRequest = 0;

    wire::open_program opening; ///< where kind is OpenProgram
    std::string program;
    std::uint32_t turn = 0; ///< 0: a call outside of a program
    std::string route;
    std::string model;
    bool stream = false;
    bool streamBegun = false;
    std::string body; ///< chat: the new messages, a JSON list; service: the request's body
    std::int64_t deltaTokens = 0;
    std::int64_t maxTokens = 0;
    std::string requestDigest;
    std::string fingerprint;
    bool suspect = false; ///< it was running when a backend server died, so it runs alone now
    std::uint32_t deathsSeen = 0;

    std::string ownAttempt; ///< names this gateway's try at the turn or call; attempts at sidecars add a number
    std::uint32_t attemptsMade = 0;
    std::string lastBackend; ///< avoided by a retry
    std::string lastAttempt; ///< at that backend server
    wire::turn_begun begun;
    attempt_run run;
    std::string answer; ///< text so far
    std::string finishReason;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t completionTokens = 0; ///< of all attempts so far
    std::int64_t attemptTokens = 0; ///< of the attempt under way

    std::string service;
    std::string operation;
    std::string callId; ///< the Idempotency-Key; empty for a repeatable operation without one
    bool repeatable = true;
    bool recorded = false; ///< this gateway's attempt owns the idempotency record
    bool cancelled = false; ///< its work is to end as soon as it can
    bool mayHaveRun = false; ///< an attempt is not proved to have been refused
    error lastError; ///< of the attempt that failed last
    std::uint32_t status = 0; ///< the service's HTTP status
    wire::call_state settleAs = wire::call_state::Unknown;
    wire::call_status record; ///< in step Outcome: what the record said last
    time_point patientUntil; ///< until then another gateway's attempt at the turn or call is left to finish
    std::string rivalAttempt; ///< that attempt, where it is one at a turn
    time_point waitUntil; ///< in step Outcome: how long the caller waits
};

/// @return the step's name in snake case, for refusals, logs and dumps.
const char* toString(call_step step);
const char* toString(call_kind kind);

} // namespace cuminledge::core::gateway
