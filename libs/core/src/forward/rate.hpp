#pragma once

#include "context.hpp"

/// Enforces rate and burst of client accounts: spends leased tokens; only the rate authority refuses a call.
namespace cuminledge::core::forward {

/// Spends a token of the call's account and continues the call, holds it until a token arrives, or refuses it.
void requestRate(context& c, forward_call& call);

/// Requests a token again for the calls whose retry is due.
void retryRate(context& c);

/// Removes the call from the queue for rate tokens and from the retries.
void removeFromRateQueue(context& c, forward_call& call);

/// Sends the due lease requests to the rate authorities.
void sendRateRequests(context& c);

void onRateGrant(context& c, const std::string& peer, const wire::rate_lease_grant& grant);
void onRateRecall(context& c, const wire::rate_lease_recall& recall);

/// Returns all leased tokens to the authorities on shutdown.
void returnRateTokens(context& c);

} // namespace cuminledge::core::forward
