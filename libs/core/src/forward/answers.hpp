#pragma once

#include "context.hpp"

/// How calls end.
namespace cuminledge::core::forward {

/// Why a caller is refused.
struct refusal {
    error_code code = error_code::Unavailable;
    std::string message;
    std::chrono::milliseconds retryAfter { 0 }; ///< 0: no advice
};

/// Ends the call: refuses it where nothing was answered yet, else breaks the answer off.
void failCall(context& c, forward_call& subject, const refusal& why);

/// The answer is complete: settles what the call reserved, and ends it.
void completeCall(context& c, forward_call& subject);

/// Nobody waits for the answer any more; stops the work for it where that may be.
void onCallerGone(context& c, exchange_id exchange);

/// Takes the call out of the state. @param subject is gone afterwards.
void removeCall(context& c, forward_call& subject);

/// Settles the reservation of tokens, if there is one, with what was passed on.
void settleBudget(context& c, forward_call& subject);

} // namespace cuminledge::core::forward
