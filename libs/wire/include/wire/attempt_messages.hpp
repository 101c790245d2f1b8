#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <wire/codec.hpp>
#include <wire/control_messages.hpp>

/// Messages between a gateway and the sidecar of a backend server.
namespace cuminledge::wire {

/// Asks a sidecar to run one attempt. No key ever travels here, only the client account's id.
struct attempt_start {
    std::string attempt; ///< unique fleet-wide
    std::uint64_t sidecarIncarnation = 0; ///< whom it is meant for; any other incarnation refuses it
    std::chrono::milliseconds latestStart { 0 }; ///< counts from arrival; not started by then: refused
    std::chrono::milliseconds timeout { 0 }; ///< whole attempt
    std::string account;
    std::string program; ///< empty for a call outside of programs
    std::uint32_t turn = 0;
    std::string fingerprint; ///< of the request, for crash records
    bool suspect = false; ///< runs alone
    backend_kind kind = backend_kind::Engine;
    std::string model; ///< for an engine
    std::string operation; ///< for a service
    std::string call; ///< for a service: the caller's Idempotency-Key, or the attempt id where repeatable
    std::string body; ///< engine: the turn's new messages, a JSON list; service: the request body
    std::uint32_t historyTurns = 0; ///< committed turns that come before
    std::int64_t historyTokens = 0;
    std::int64_t deltaTokens = 0;
    std::int64_t maxTokens = 0;
    std::int64_t attainedTokens = 0; ///< service the whole program has got so far
    std::uint64_t resumeOffset = 0; ///< answer bytes the caller has already
    std::string resumeText; ///< those bytes, for an engine that can go on from them
    MSGPACK_DEFINE(attempt, sidecarIncarnation, latestStart, timeout, account, program, turn, fingerprint, suspect,
        kind, model, operation, call, body, historyTurns, historyTokens, deltaTokens, maxTokens, attainedTokens,
        resumeOffset, resumeText)
};

/// What the backend server is doing; rides on answers and answers probes.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::int64_t waitingPrefillTokens = 0;
    std::int64_t cacheFreeTokens = 0;
    std::int64_t prefillTokensPerSecond = 0; ///< lately measured
    std::int64_t decodeTokensPerSecond = 0; ///< lately measured, for one sequence
    MSGPACK_DEFINE(running, waiting, waitingPrefillTokens, cacheFreeTokens, prefillTokensPerSecond,
        decodeTokensPerSecond)
};

/// The engine or service has been given the attempt.
struct attempt_started {
    std::string attempt;
    load_report load;
    MSGPACK_DEFINE(attempt, load)
};

/// A piece of the answer. Pieces of one attempt are contiguous.
struct attempt_chunk {
    std::string attempt;
    std::uint64_t offset = 0; ///< of the first byte in the whole answer text
    std::string text;
    std::int64_t completionTokens = 0; ///< so far
    MSGPACK_DEFINE(attempt, offset, text, completionTokens)
};

/// The whole answer has been sent.
struct attempt_done {
    std::string attempt;
    std::uint64_t totalBytes = 0;
    std::uint32_t status = 0; ///< a service's HTTP status
    std::string body; ///< a service's answer
    std::string finishReason;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0; ///< of the prompt, found in the prefix cache
    std::int64_t completionTokens = 0;
    load_report load;
    MSGPACK_DEFINE(attempt, totalBytes, status, body, finishReason, promptTokens, cachedTokens, completionTokens, load)
};

enum class attempt_outcome : std::uint8_t {
    NotRun, ///< proved: the backend server was never given it and never will be
    Ran, ///< it ran, and ended without an answer (cancelled, failed)
    Unknown ///< it may have run, or may yet
};

struct attempt_failed {
    std::string attempt;
    attempt_outcome outcome = attempt_outcome::Unknown;
    std::uint32_t code = 0; ///< error_code
    std::string message;
    std::string step;
    std::int64_t completionTokens = 0; ///< generated and to be charged
    bool backendDied = false;
    std::uint64_t engineIncarnation = 0;
    load_report load;
    MSGPACK_DEFINE(attempt, outcome, code, message, step, completionTokens, backendDied, engineIncarnation, load)
};

struct attempt_cancel {
    std::string attempt;
    MSGPACK_DEFINE(attempt)
};

/// Where does the attempt stand? Asked over a new connection once the old one is lost. `refuseIfUnknown` makes the
/// sidecar refuse the attempt from now on if it has not come, so that the answer NotRun stays true.
struct attempt_query {
    std::string attempt;
    std::uint64_t sidecarIncarnation = 0;
    bool refuseIfUnknown = false;
    std::uint64_t fromOffset = 0; ///< resend chunks from this byte of the answer
    MSGPACK_DEFINE(attempt, sidecarIncarnation, refuseIfUnknown, fromOffset)
};

/// Answer to attempt_query while the attempt waits or runs; a finished attempt is answered by attempt_done or
/// attempt_failed.
struct attempt_under_way {
    std::string attempt;
    bool started = false;
    std::uint64_t bytes = 0;
    MSGPACK_DEFINE(attempt, started, bytes)
};

struct load_probe {
    std::uint64_t request = 0;
    MSGPACK_DEFINE(request)
};

struct load_probe_response {
    std::uint64_t request = 0;
    std::string backend;
    load_report load;
    MSGPACK_DEFINE(request, backend, load)
};

/// Tells the program's home sidecar that the program is over: its cache pins go.
struct program_ended {
    std::string program;
    MSGPACK_DEFINE(program)
};

/// The attempt's answer was committed as the program's turn. Only then may its sidecar keep the text as history: an
/// attempt that lost contact may have another answer than the one that was committed.
struct attempt_committed {
    std::string attempt;
    MSGPACK_DEFINE(attempt)
};

} // namespace cuminledge::wire

MSGPACK_ADD_ENUM(cuminledge::wire::attempt_outcome);
