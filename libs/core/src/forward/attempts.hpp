#pragma once

#include <optional>
#include <string>

#include "context.hpp"

/// Sends calls to backend servers, and again where an attempt has failed.
namespace cuminledge::core::forward {

/// Chooses a backend server and sends the call to it; refuses the call if there is none.
void startAttempt(context& c, forward_call& call);

/// Sends a begun stream on to another server of its software version, or breaks it off if there is none.
void resumeStream(context& c, forward_call& call);

/// @return a server that the call was not sent to, or none.
std::optional<std::string> chooseUntriedServer(context& c, const forward_call& call);

/// Passes the request on to the server and counts the send. @return the id of the upstream request.
std::string sendTo(context& c, forward_call& call, const server_entry& server);

/// @return whether the call may be sent again although it may have run already.
bool canRunAgain(const context& c, const forward_call& call);

/// Ends the accounting of the upstream request; the calling function decides how the call continues.
/// @param hasFailed whether the server is at fault.
void releaseServer(context& c, forward_call& call, bool hasFailed);

/// Handles a send that the server did not run and never will: tries another server or refuses the call.
void retryNotRun(context& c, forward_call& call, const std::string& reason);

/// Handles a lost answer of a server that may have run the call: retries where the route allows, or fails the call.
void retryLost(context& c, forward_call& call, const std::string& reason);

/// Cancels the call's upstream request, if there is one; the server then drops the request.
/// @param hasFailed whether the server is at fault.
void stopUpstream(context& c, forward_call& call, bool hasFailed);

/// Ends the call because the caller's deadline or the route's timeout has passed.
void expireCall(context& c, forward_call& call);

} // namespace cuminledge::core::forward
