#pragma once

#include "context.hpp"

/// Rate and burst of client accounts: leased tokens are spent here, and only the authority refuses.
namespace cuminledge::core::forward {

/// Spends a token of the call's account; then goes on, waits for one, or refuses.
void requestRate(context& c, forward_call& subject);

/// Asks again for the calls whose time to do so has come.
void retryRate(context& c);

/// The call no longer waits for a token.
void leaveRateQueue(context& c, forward_call& subject);

/// Sends the requests for tokens that are due.
void sendRateRequests(context& c);

void onRateGrant(context& c, const std::string& peer, const wire::rate_lease_grant& grant);
void onRateRecall(context& c, const wire::rate_lease_recall& recall);

/// Gives all tokens back, on shutdown.
void returnRateTokens(context& c);

} // namespace cuminledge::core::forward
