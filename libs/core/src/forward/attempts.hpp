#pragma once

#include "context.hpp"

/// Sending a call to backend servers, and taking their answers.
namespace cuminledge::core::forward {

/// Chooses a backend server and sends the call there; refuses it where there is none.
void startAttempt(context& c, forward_call& subject);

void onUpstreamHead(context& c, const upstream_head& head);
void onUpstreamData(context& c, const upstream_data& data);
void onUpstreamFinished(context& c, const upstream_finished& finished);
void onUpstreamFailed(context& c, const upstream_failed& failed);

/// Ends the call's exchange with its backend server, if there is one; the server drops the request with it.
/// @param hasFailed whether that is the server's fault.
void stopUpstream(context& c, forward_call& subject, bool hasFailed);

/// The caller's or the route's time is over.
void expireCall(context& c, forward_call& subject);

} // namespace cuminledge::core::forward
