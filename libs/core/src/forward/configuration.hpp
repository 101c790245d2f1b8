#pragma once

#include "context.hpp"

namespace cuminledge::core::forward {

/// Polls the leader of group 0 when it is time.
void pollConfiguration(context& c);

/// Takes the answer to a poll: route table and backend servers.
void onConfigUpdate(context& c, const std::string& peer, const wire::config_update& update);

} // namespace cuminledge::core::forward
