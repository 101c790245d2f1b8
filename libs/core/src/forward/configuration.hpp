#pragma once

#include "context.hpp"

namespace cuminledge::core::forward {

/// Polls the leader of group 0 when the poll interval has passed.
void pollConfiguration(context& c);

/// @return whether a poll that was sent at that time or later has been answered.
bool isConfirmedSince(const context& c, time_point since);

/// @return whether the list of servers is recent enough to tell at which of them a stream may go on. It is not behind a
///         freeze, or while the gateway is cut off from the controllers.
bool knowsServers(const context& c);

/// Holds the call until a poll that is sent from now on has been answered. Fails it if no controller is connected.
void awaitConfirmation(context& c, forward_call& call);

/// Applies the answer to a poll: route table and backend servers.
void onConfigUpdate(context& c, const std::string& peer, const wire::config_update& update);

} // namespace cuminledge::core::forward
