#pragma once

#include "scenario.hpp"

#include <vector>

/// Rate and burst: leased tokens against a central bucket asked for each call, static shares and gossip.
namespace cuminledge::bench {

/// @return the figures over all seeds, targets included.
std::vector<figure> measureLimits(const scenario_options& options);

} // namespace cuminledge::bench
