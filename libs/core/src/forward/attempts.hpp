#pragma once

#include "context.hpp"

/// Sends calls to backend servers and handles their answers.
namespace cuminledge::core::forward {

/// Chooses a backend server and sends the call to it; refuses the call if there is none.
void startAttempt(context& c, forward_call& call);

void onUpstreamHead(context& c, const upstream_head& head);
void onUpstreamData(context& c, const upstream_data& data);
void onUpstreamFinished(context& c, const upstream_finished& finished);
void onUpstreamFailed(context& c, const upstream_failed& failed);

/// Cancels the call's upstream request, if there is one; the server then drops the request.
/// @param hasFailed whether the server is at fault.
void stopUpstream(context& c, forward_call& call, bool hasFailed);

/// Sends a begun stream on to another server of its software version, or breaks it off if there is none.
void resumeStream(context& c, forward_call& call);

/// Stops reading the server's answer until the caller has read what waits for it.
void onCallerBlocked(context& c, exchange_id exchange);
void onCallerUnblocked(context& c, exchange_id exchange);

/// Reads the server's answer on, if it was paused for the caller.
void unblockUpstream(context& c, forward_call& call);

/// Ends the call because the caller's deadline or the route's timeout has passed.
void expireCall(context& c, forward_call& call);

} // namespace cuminledge::core::forward
