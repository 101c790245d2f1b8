#pragma once

#include <chrono>
#include <string>

#include "figures.hpp"

namespace cuminledge::bench {

/// The baseline: one map, one log file, one fdatasync for each change, no replication.
commit_figures runNaiveMap(const std::string& folder, std::chrono::milliseconds span, std::size_t payloadBytes);

} // namespace cuminledge::bench
