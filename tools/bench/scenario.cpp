#include "scenario.hpp"

#include <base/json.hpp>

#include <cmath>
#include <fstream>
#include <iostream>

namespace cuminledge::bench {

std::string toJsonLine(const figure& f)
{
    Json::Value line;
    line["scenario"] = f.scenario;
    line["workload"] = f.workload;
    line["metric"] = f.metric;
    line["unit"] = f.unit;
    line["value"] = f.value;
    line["low"] = f.low;
    line["high"] = f.high;
    line["baseline"] = f.hasBaseline ? Json::Value(f.baseline) : Json::Value();
    line["baseline_name"] = f.baselineName;
    const bool hasRatio = f.hasBaseline && std::abs(f.baseline) > 0;
    line["ratio"] = hasRatio ? Json::Value(f.value / f.baseline) : Json::Value();
    line["target"] = f.hasTarget ? Json::Value(f.target) : Json::Value();
    line["met"] = f.hasTarget ? Json::Value(f.met) : Json::Value();
    return writeJson(line);
}

void writeFigures(const scenario_options& options, const std::vector<figure>& figures)
{
    std::ofstream file;
    if (!options.out.empty()) {
        file.open(options.out);
    }
    for (const auto& f : figures) {
        const auto line = toJsonLine(f);
        std::cout << line << '\n';
        if (file.is_open()) {
            file << line << '\n';
        }
    }
}

} // namespace cuminledge::bench
