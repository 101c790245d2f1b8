#pragma once

#include "context.hpp"
#include "refusal.hpp"

/// The attempts of a call at sidecars: choice of the backend server, progress, loss of contact, retries.
namespace cuminledge::core::gateway {

/// @return whether a backend server could take the call now.
bool hasBackend(const context& c, const call& subject);

/// Looks again shortly, until the call must have started.
void waitForBackend(context& c, call& subject);

/// Chooses a backend server and sends the attempt there; a call that may not be repeated is dispatched durably first.
void startAttempt(context& c, call& subject);

/// Sends the attempt to the backend server in `run`.
void sendAttempt(context& c, call& subject);

/// How an attempt ended, as far as its backend server is concerned.
enum class attempt_end : std::uint8_t {
    Finished,
    Failed, ///< through the server's fault
    Dropped ///< refused as not run, or cancelled
};

/// The attempt in `run` is over: its backend server has one less in flight.
void releaseBackend(context& c, call& subject, attempt_end end = attempt_end::Dropped);

/// Ends a call without an answer: settles what it holds, and refuses a waiting caller.
void failCall(context& c, call& subject, refusal why);

/// The caller is gone or may not be served any more. Work that may be repeated is cancelled; what it holds is settled
/// when the attempt is known to have ended. A dispatched call that may not be repeated goes on, to learn its outcome.
void endWithoutCaller(context& c, call& subject);

/// Contact with the attempt is lost or it shows no sign of life: asks the sidecar where it stands.
void lookUp(context& c, call& subject);

/// The time for looking an attempt up is over.
void giveUpLookup(context& c, call& subject);

void onAttemptStarted(context& c, const std::string& peer, const wire::attempt_started& started);
void onAttemptChunk(context& c, const std::string& peer, const wire::attempt_chunk& chunk);
void onAttemptDone(context& c, const std::string& peer, const wire::attempt_done& done);
void onAttemptFailed(context& c, const std::string& peer, const wire::attempt_failed& failed);
void onAttemptUnderWay(context& c, const std::string& peer, const wire::attempt_under_way& underWay);

void onSidecarConnected(context& c, const std::string& peer, std::uint64_t incarnation);
void onSidecarDisconnected(context& c, const std::string& peer);

} // namespace cuminledge::core::gateway
