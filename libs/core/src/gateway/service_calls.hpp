#pragma once

#include "context.hpp"

/// Calls that may not be repeated: recorded durably before dispatch, dispatched at most once by anybody, and settled.
namespace cuminledge::core::gateway {

/// Asks whether the call id has been used before. Comes first, so that no refusal says "not run" of a call that an
/// earlier request with the same id has run.
void findExistingCall(context& c, call& subject);
void onExistingRead(context& c, call& subject, const result<wire::command_result>& outcome);

/// Makes the idempotency record, once a backend server is there to take the call.
void recordCall(context& c, call& subject);
void onCallRecorded(context& c, call& subject, const result<wire::command_result>& outcome);

/// Makes durable which sidecar the call goes to, before it goes.
void dispatchCall(context& c, call& subject);
void onCallDispatched(context& c, call& subject, const result<wire::command_result>& outcome);

/// Makes the outcome durable; the caller is answered after that.
void settleCall(context& c, call& subject, wire::call_state state);
void onCallSettled(context& c, call& subject, const result<wire::command_result>& outcome);

/// GET /v1/calls/{key}
void readCall(context& c, call& subject);
void onCallRead(context& c, call& subject, const result<wire::command_result>& outcome);

/// Looks at another attempt's record again, to learn or to find out what became of it.
void readOutcome(context& c, call& subject);
void onOutcomeRead(context& c, call& subject, const result<wire::command_result>& outcome);

/// The sidecar has said what became of an attempt that a call in step Outcome waits for.
void onForeignDone(context& c, const wire::attempt_done& done);
void onForeignFailed(context& c, const wire::attempt_failed& failed);

} // namespace cuminledge::core::gateway
