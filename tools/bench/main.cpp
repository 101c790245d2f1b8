#include "scenario.hpp"

#include <cxxopts.hpp>

#include <iostream>
#include <map>
#include <string>

namespace {

using namespace cuminledge::bench;

const std::map<std::string, scenario_function>& scenarios()
{
    static const std::map<std::string, scenario_function> table { { "policy", &runPolicyScenario } };
    return table;
}

int runScenario(const std::string& name, const scenario_options& options)
{
    const auto found = scenarios().find(name);
    if (found == scenarios().end()) {
        std::cerr << "unknown scenario '" << name << "'; known:";
        for (const auto& [known, function] : scenarios()) {
            std::cerr << ' ' << known;
        }
        std::cerr << '\n';
        return 2;
    }
    return found->second(options);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("bench", "Load and experiments; one JSON object a line for each figure");
    scenario_options chosen;
    std::string name;
    auto add = options.add_options();
    add("scenario", "what to measure", cxxopts::value<std::string>(name));
    add("seed", "seed of the first run", cxxopts::value<std::uint64_t>(chosen.seed)->default_value("1"));
    add("seeds", "number of runs", cxxopts::value<std::uint32_t>(chosen.seeds)->default_value("5"));
    add("out", "file for the figures", cxxopts::value<std::string>(chosen.out)->default_value(""));
    add("report", "HTML file with tables and plots", cxxopts::value<std::string>(chosen.report)->default_value(""));
    add("workloads", "folder of the workload files",
        cxxopts::value<std::string>(chosen.workloads)->default_value(CUMINLEDGE_WORKLOADS));
    add("help", "prints this");
    options.parse_positional({ "scenario" });
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 || name.empty()) {
            std::cout << options.help() << '\n';
            return name.empty() ? 2 : 0;
        }
        return runScenario(name, chosen);
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
}
