#pragma once

#include "context.hpp"

/// The gateway's side of rate limiting: it spends leased tokens locally. Only the rate authority decides that a client
/// account has exceeded its rate.
namespace cuminledge::core::gateway {

/// Spends a rate token of the client account and continues the call, queues the call for a token, or refuses it.
void acquireRateToken(gateway_context& context, gateway_call& call);

/// Removes the call from the queue of calls that wait for a rate token.
void removeFromRateQueue(gateway_context& context, gateway_call& call);

/// Sends the due rate lease requests to the rate authority.
void sendRateRequests(gateway_context& context);

void onRateGrant(gateway_context& context, const std::string& peer, const wire::rate_lease_grant& grant);
void onRateRecall(gateway_context& context, const wire::rate_lease_recall& recall);

/// Returns all unspent tokens to the rate authority, on shutdown.
void returnRateTokens(gateway_context& context);

} // namespace cuminledge::core::gateway
