#pragma once

#include "scenario.hpp"

#include <vector>

/// What a decision costs in processor time, by the size of its tables.
namespace cuminledge::bench {

std::vector<figure> measureDecisionCosts(const scenario_options& options);

} // namespace cuminledge::bench
