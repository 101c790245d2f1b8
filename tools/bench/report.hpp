#pragma once

#include "scenario.hpp"

#include <string>
#include <vector>

/// A self-contained HTML page of a run: tables of the figures, and latency distributions as inline SVG.
namespace cuminledge::bench {

struct latency_series {
    std::string workload;
    std::string variant;
    std::vector<double> seconds;
};

void writeReport(
    const std::string& path, const std::vector<figure>& figures, const std::vector<latency_series>& series);

} // namespace cuminledge::bench
