#pragma once

#include "context.hpp"

/// Forwards the answers of backend servers to the callers.
namespace cuminledge::core::forward {

void onUpstreamHead(context& c, const upstream_head& head);
void onUpstreamData(context& c, const upstream_data& data);
void onUpstreamFinished(context& c, const upstream_finished& finished);
void onUpstreamFailed(context& c, const upstream_failed& failed);

/// Stops reading the server's answer until the caller has read what waits for it.
void onCallerBlocked(context& c, exchange_id exchange);
void onCallerUnblocked(context& c, exchange_id exchange);

/// Reads the server's answer on, if it was paused for the caller.
void unblockUpstream(context& c, forward_call& call);

} // namespace cuminledge::core::forward
