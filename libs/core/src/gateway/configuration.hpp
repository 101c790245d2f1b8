#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// Polls the leader of group 0 when it is time.
void pollConfiguration(context& c);

/// A controller is gone, maybe the one that was asked: polls another at once, as the lease runs on.
void repollConfiguration(context& c);

/// Takes the answer to a poll: manifest, keys, membership and quarantine, under a lease that counts from the poll.
void onConfigUpdate(context& c, const std::string& peer, const wire::config_update& update);

/// @return the backend server whose sidecar has that peer name, or null.
backend_entry* findSidecar(gateway_state& state, const std::string& peer);

/// Disconnects from a backend server that has left, once nothing is in flight there.
void dropIfGone(context& c, const std::string& backend);

} // namespace cuminledge::core::gateway
