#pragma once

#include "context.hpp"

/// Shares the load of engines with the other gateways, and holds calls until an engine has room.
namespace cuminledge::core::forward {

/// Says in the poll what this gateway has under way, where the gateways share loads.
void reportLoads(context& c, wire::config_poll& poll);

/// Takes what the controllers say of the other gateways.
void applyLoads(context& c, const wire::config_update& update);

/// Counts the first part of the call's prompt, by which engines are chosen.
void recordPrefixDemand(context& c, const forward_call& call);

/// Adds what is known of the load of the service's engines.
void describeLoad(const context& c, const forward_call& call, server_requirements& requirements);

/// Refuses the first call of a program where the engines hold so many requests that it would wait too long.
/// @return whether it was refused; the call is gone then.
bool refuseIfOverloaded(context& c, forward_call& call, const server_requirements& requirements);

/// Holds the call until an engine has room. The first call of a program is refused instead if that would take too long, so
/// the call may be gone afterwards.
void awaitRoom(context& c, forward_call& call, const server_requirements& requirements);

/// Ends the wait of the call, which is sent to a server or refused now.
void stopAwaitingRoom(context& c, forward_call& call);

/// The call is gone.
void leaveRoomQueue(context& c, const forward_call& call);

/// Sends the calls that wait, as far as engines have room.
void serveRoomQueues(context& c);

/// Learns from a complete answer how long requests last at the server.
void measureServer(context& c, const forward_call& call);

} // namespace cuminledge::core::forward
