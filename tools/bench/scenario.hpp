#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// What every scenario of the bench program takes and gives.
namespace cuminledge::bench {

struct scenario_options {
    std::uint64_t seed = 1; ///< of the first run
    std::uint32_t seeds = 5; ///< runs, each with the next seed
    std::string out; ///< file for the figures; empty: standard output only
    std::string report; ///< HTML file; empty: none
    std::string workloads; ///< folder with the workload files
};

/// One measured figure.
struct figure {
    std::string scenario;
    std::string workload;
    std::string metric;
    std::string unit;
    double value = 0;
    bool hasBaseline = false;
    double baseline = 0;
    std::string baselineName;
    bool hasTarget = false;
    std::string target; ///< as stated, e.g. "ratio <= 0.6"
    bool met = true;
    double low = 0; ///< spread over the seeds
    double high = 0;
};

/// @return the figure as one JSON object on one line.
std::string toJsonLine(const figure& f);

/// Writes the figures, a line each, to standard output and to options.out.
void writeFigures(const scenario_options& options, const std::vector<figure>& figures);

/// @return the process's exit code: 0 where the run is valid, whether targets were met or not.
using scenario_function = int (*)(const scenario_options&);

int runPolicyScenario(const scenario_options& options);

} // namespace cuminledge::bench
