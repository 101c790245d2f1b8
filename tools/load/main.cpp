#include <iostream>

#include <cxxopts.hpp>

#include <base/clock.hpp>

#include "load_generator.hpp"

namespace {

using namespace cuminledge;

constexpr int exitUsage = 2;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("cuminledge-load", "Runs programs against gateways (or model engines) and measures them.");
    auto add = options.add_options();
    add("targets", "addresses, comma-separated", cxxopts::value<std::vector<std::string>>(), "IP:PORT,...");
    add("key", "caller key; without it the targets are model engines", cxxopts::value<std::string>()->default_value(""));
    add("route", "route of the programs", cxxopts::value<std::string>()->default_value("quotes"));
    add("model", "model", cxxopts::value<std::string>()->default_value("talker"));
    add("clients", "programs under way at a time", cxxopts::value<std::uint32_t>()->default_value("8"));
    add("turns", "turns of a program; 0: calls without one", cxxopts::value<std::uint32_t>()->default_value("4"));
    add("prompt-bytes", "new text of each turn", cxxopts::value<std::uint32_t>()->default_value("400"));
    add("max-tokens", "tokens of each answer", cxxopts::value<std::uint32_t>()->default_value("16"));
    add("keep-programs", "leave the programs open");
    add("programs", "stop after so many programs; 0: no such bound", cxxopts::value<std::uint64_t>()->default_value("0"));
    add("no-stream", "ask for whole answers");
    add("rate", "calls a second over all clients; 0: closed loop", cxxopts::value<double>()->default_value("0"));
    add("pause-ms", "tool pause between turns", cxxopts::value<std::int64_t>()->default_value("0"));
    add("seconds", "length of the run", cxxopts::value<double>()->default_value("5"));
    add("seed", "seed of arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("help", "print this help");
    return options;
}

load::load_settings readSettings(const cxxopts::ParseResult& arguments)
{
    load::load_settings settings;
    settings.targets = arguments["targets"].as<std::vector<std::string>>();
    settings.key = arguments["key"].as<std::string>();
    settings.route = arguments["route"].as<std::string>();
    settings.model = arguments["model"].as<std::string>();
    settings.clients = arguments["clients"].as<std::uint32_t>();
    settings.turns = arguments["turns"].as<std::uint32_t>();
    settings.promptBytes = arguments["prompt-bytes"].as<std::uint32_t>();
    settings.maxTokens = arguments["max-tokens"].as<std::uint32_t>();
    settings.keepPrograms = arguments.count("keep-programs") != 0;
    settings.programs = arguments["programs"].as<std::uint64_t>();
    settings.stream = arguments.count("no-stream") == 0;
    settings.callsPerSecond = arguments["rate"].as<double>();
    settings.pause = std::chrono::milliseconds(arguments["pause-ms"].as<std::int64_t>());
    settings.duration
        = std::chrono::milliseconds(static_cast<std::int64_t>(arguments["seconds"].as<double>() * 1000));
    settings.seed = arguments["seed"].as<std::uint64_t>();
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = makeOptions();
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("targets") == 0) {
            std::cerr << "--targets is needed\n"
                      << options.help();
            return exitUsage;
        }
        const monotonic_clock clock;
        load::load_generator generator(readSettings(arguments), clock);
        auto report = generator.run();
        std::cout << load::toJson(report) << "\n";
        return 0;
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << e.what() << "\n"
                  << options.help();
        return exitUsage;
    }
}
