#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// Polls the leader of group 0 when the poll interval has elapsed.
void pollConfiguration(gateway_context& context);

/// Polls another controller at once after a disconnection: the lost controller may have been the polled one, and the
/// lease keeps running.
void repollConfiguration(gateway_context& context);

/// Applies the answer to a poll: manifest, keys, membership and quarantine. Their lease starts at the time of the poll.
void onConfigUpdate(gateway_context& context, const std::string& peer, const wire::config_update& update);

/// @return the backend server whose sidecar has the peer name `peer`, or null.
backend_entry* findBackendBySidecar(gateway_state& state, const std::string& peer);

/// Disconnects from a withdrawn backend server and removes it, once it has no attempts in flight.
void removeDepartedBackend(gateway_context& context, const std::string& backend);

} // namespace cuminledge::core::gateway
