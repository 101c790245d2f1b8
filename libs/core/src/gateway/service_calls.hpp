#pragma once

#include "context.hpp"

/// Non-repeatable calls: recorded durably before dispatch, dispatched at most once across all gateways, and settled.
namespace cuminledge::core::gateway {

/// Reads the record of an earlier use of the call id. This comes first, so that no refusal reports "not run" for a call
/// that an earlier request with the same id has run.
void findExistingCall(gateway_context& context, gateway_call& call);
void onExistingRead(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome);

/// Creates the idempotency record, once a backend server is available for the call.
void recordCall(gateway_context& context, gateway_call& call);
void onCallRecorded(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome);

/// Makes the call's backend server durable before the call is sent to it.
void dispatchCall(gateway_context& context, gateway_call& call);
void onCallDispatched(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome);

/// Makes the outcome durable; the caller is answered afterwards.
void settleCall(gateway_context& context, gateway_call& call, wire::call_state state);
void onCallSettled(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome);

/// Serves GET /v1/calls/{key}.
void readCall(gateway_context& context, gateway_call& call);
void onCallRead(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome);

/// Reads the record again to learn the outcome of another attempt, or refuses the caller after the outcome wait.
void readOutcome(gateway_context& context, gateway_call& call);
void onOutcomeRead(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome);

/// Handle a sidecar's report on an attempt that a call in step Outcome may wait for.
void onOtherAttemptDone(gateway_context& context, const wire::attempt_done& done);
void onOtherAttemptFailed(gateway_context& context, const wire::attempt_failed& failed);

} // namespace cuminledge::core::gateway
