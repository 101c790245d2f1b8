#pragma once

#include "context.hpp"

/// The gateway's part of rate and burst: leased tokens are spent here, and only the authority refuses.
namespace cuminledge::core::gateway {

/// The call's checks have passed; spends a token of its client account, then goes on, waits for one, or refuses.
void requestRate(context& c, call& subject);

/// The call no longer waits for a token.
void leaveRateQueue(context& c, call& subject);

/// Sends the requests for tokens that are due.
void sendRateRequests(context& c);

void onRateGrant(context& c, const std::string& peer, const wire::rate_lease_grant& grant);
void onRateRecall(context& c, const wire::rate_lease_recall& recall);

/// Gives all tokens back, on shutdown.
void returnRateTokens(context& c);

} // namespace cuminledge::core::gateway
