#pragma once

#include "context.hpp"

/// Ends calls and settles what they reserved.
namespace cuminledge::core::forward {

/// The error that a caller is refused with.
struct refusal {
    error_code code = error_code::Unavailable;
    std::string message;
    std::chrono::milliseconds retryAfter { 0 }; ///< 0: no Retry-After
};

/// Ends the call with an error: refuses it if no answer was begun, otherwise aborts the answer.
void failCall(context& c, forward_call& call, const refusal& reason);

/// Refuses the call because it has crashed too many backend servers. It has no Retry-After: waiting does not help.
void failQuarantined(context& c, forward_call& call);

/// Ends the call after its complete answer and settles its reservation.
void completeCall(context& c, forward_call& call);

/// Handles the disconnect of the caller: cancels the call unless stopping it could leave it half done.
void onCallerGone(context& c, const caller_gone& gone);

/// Removes the call from the state; the reference is dangling afterwards.
void removeCall(context& c, forward_call& call);

/// Settles the token reservation, if there is one, with the tokens that were forwarded.
void settleBudget(context& c, forward_call& call);

} // namespace cuminledge::core::forward
