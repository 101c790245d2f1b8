#pragma once

#include "context.hpp"

/// Sends idempotent requests to a second server when the first is late.
namespace cuminledge::core::forward {

/// The call was sent: plans its hedge, if it may have one.
void planHedge(context& c, const forward_call& call);

/// Sends the hedges that are due.
void sendHedges(context& c);

/// @return whether the upstream request is the call's hedge.
bool isHedge(const forward_call& call, const std::string& upstream);

/// The hedge was answered first: the first send is cancelled, and the call goes on with the hedge.
void preferHedge(context& c, forward_call& call);

/// The first send has ended without an answer. @return whether the call goes on with its hedge.
bool continueWithHedge(context& c, forward_call& call);

/// The hedge has ended without an answer. @param isNotRun the server has not run it.
void loseHedge(context& c, forward_call& call, bool isNotRun);

/// Cancels the hedge, if there is one.
void cancelHedge(context& c, forward_call& call);

/// Learns how long requests of the route take.
void recordAnswerTime(context& c, const forward_call& call);

} // namespace cuminledge::core::forward
