#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// Handles a failed attempt: schedules a retry, or ends the call with the outcome known so far.
void decideAfterFailure(gateway_context& context, gateway_call& call, const wire::attempt_failed& failed);

/// Credits the client account with a fraction of a retry for a first attempt, which keeps the number of retries
/// proportional to the number of calls.
void creditRetryTokens(gateway_state& state, const std::string& account);

} // namespace cuminledge::core::gateway
