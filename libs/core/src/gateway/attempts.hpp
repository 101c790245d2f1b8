#pragma once

#include "context.hpp"
#include "refusal.hpp"

/// The attempts of a call at sidecars: backend server selection, progress, loss of contact, retries.
namespace cuminledge::core::gateway {

/// @return whether a backend server could take the call now.
bool hasBackend(const gateway_context& context, const gateway_call& call);

/// Schedules the next search for a backend server; fails the call if its deadline has passed: the start deadline before
/// the first attempt, the call's deadline after it.
void waitForBackend(gateway_context& context, gateway_call& call);

/// Selects a backend server and sends the attempt to it. The dispatch of a non-repeatable call is made durable first.
void startAttempt(gateway_context& context, gateway_call& call);

/// Sends the attempt to the backend server selected in `attempt`.
void sendAttempt(gateway_context& context, gateway_call& call);

/// How an attempt ended, for the backend server's statistics.
enum class attempt_end : std::uint8_t {
    Finished,
    Failed, ///< because of the server
    Dropped ///< refused as not run, or cancelled
};

/// Ends the current attempt and decrements the in-flight count of its backend server.
void releaseBackend(gateway_context& context, gateway_call& call, attempt_end end = attempt_end::Dropped);

/// Ends a call without an answer: settles its record or reservation, and refuses a waiting caller.
void failCall(gateway_context& context, gateway_call& call, refusal cause);

/// Detaches the call from a caller that has disconnected or may no longer be served. Repeatable work is cancelled; its
/// reservation is settled when the attempt is known to have ended. A non-repeatable call that was dispatched continues
/// until its outcome is known.
void detachCaller(gateway_context& context, gateway_call& call);

/// Asks the sidecar for the state of the attempt, after contact was lost or progress stopped.
void lookUpAttempt(gateway_context& context, gateway_call& call);

/// Fails or retries an attempt whose state could not be learned in time.
void onLookupTimeout(gateway_context& context, gateway_call& call);

void onAttemptStarted(gateway_context& context, const std::string& peer, const wire::attempt_started& started);
void onAttemptChunk(gateway_context& context, const std::string& peer, const wire::attempt_chunk& chunk);
void onAttemptDone(gateway_context& context, const std::string& peer, const wire::attempt_done& done);
void onAttemptFailed(gateway_context& context, const std::string& peer, const wire::attempt_failed& failed);
void onAttemptUnderWay(gateway_context& context, const std::string& peer, const wire::attempt_under_way& underWay);

void onSidecarConnected(gateway_context& context, const std::string& peer, std::uint64_t incarnation);
void onSidecarDisconnected(gateway_context& context, const std::string& peer);

} // namespace cuminledge::core::gateway
