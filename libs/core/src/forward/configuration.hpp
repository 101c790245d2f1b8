#pragma once

#include "context.hpp"

namespace cuminledge::core::forward {

/// Polls the leader of group 0 when the poll interval has passed.
void pollConfiguration(context& c);

/// Applies the answer to a poll: route table and backend servers.
void onConfigUpdate(context& c, const std::string& peer, const wire::config_update& update);

} // namespace cuminledge::core::forward
