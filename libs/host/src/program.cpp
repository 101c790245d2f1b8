#include <host/program.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

#include <malloc.h>

#include <cxxopts.hpp>

#include <core/version.hpp>
#include <host/process.hpp>

namespace cuminledge::host {

namespace {

    constexpr int exitFailed = 1;
    constexpr int exitUsage = 2;

    cxxopts::Options makeOptions(const std::string& program, process_role role)
    {
        cxxopts::Options options(program, "The " + std::string(toString(role)) + " of cuminledge.");
        auto add = options.add_options();
        add("config", "settings file (JSON)", cxxopts::value<std::string>(), "FILE");
        add("check", "check the settings and exit");
        add("replay", "replay a recorded trace against these settings and exit", cxxopts::value<std::string>(), "FILE");
        add("memory-limit-mb", "memory that this process may use; overrides the settings", cxxopts::value<std::size_t>(), "N");
        add("disk-limit-mb", "size of the data disk; overrides the settings", cxxopts::value<std::size_t>(), "N");
        add("help", "print this help");
        add("version", "print the version");
        return options;
    }

    int replay(core::node& node, const std::string& file)
    {
        std::ifstream stream(file, std::ios::binary);
        if (!stream) {
            std::cerr << "cannot open " << file << "\n";
            return exitUsage;
        }
        std::ostringstream text;
        text << stream.rdbuf();
        const auto report = core::replayTrace(node, text.str());
        if (!report) {
            std::cerr << describe(report.error()) << "\n";
            return exitFailed;
        }
        std::cout << "events=" << report->events << " differences=" << report->differences
                  << " first_difference=" << report->firstDifference << "\n";
        return report->differences == 0 ? 0 : exitFailed;
    }

    /// Takes the limits that the options name in place of those of the settings.
    void overrideLimits(const cxxopts::ParseResult& arguments, process_settings& settings)
    {
        constexpr unsigned bitsOfMegabyte = 20;
        if (arguments.count("memory-limit-mb") != 0) {
            settings.memoryLimitBytes = arguments["memory-limit-mb"].as<std::size_t>() << bitsOfMegabyte;
        }
        if (arguments.count("disk-limit-mb") != 0) {
            settings.diskLimitBytes = arguments["disk-limit-mb"].as<std::size_t>() << bitsOfMegabyte;
        }
    }

    /// Bounds what a controller retains by the machine's limits, unless its settings name a bound.
    void applyLimits(loaded_settings& loaded)
    {
        if (!loaded.node.controller || loaded.node.controller->settings.maxRetainedBytes != 0) {
            return;
        }
        auto& settings = loaded.node.controller->settings;
        settings.maxRetainedBytes = core::controller::retainableBytes(
            settings.consensus, loaded.process.memoryLimitBytes, loaded.process.diskLimitBytes);
    }

    int runWith(process_role role, const cxxopts::ParseResult& arguments, external_interface interface)
    {
        auto loaded = loadSettings(arguments["config"].as<std::string>(), role);
        if (!loaded) {
            std::cerr << describe(loaded.error()) << "\n";
            return exitUsage;
        }
        if (arguments.count("check") != 0) {
            std::cout << "settings are valid\n";
            return 0;
        }
        if (arguments.count("replay") != 0) {
            return replay(loaded->node, arguments["replay"].as<std::string>());
        }
        overrideLimits(arguments, loaded->process);
        applyLimits(*loaded);
        startLog(loaded->process.identity.name, loaded->process.level);
        const monotonic_clock clock;
        process self(std::move(*loaded), clock, std::move(interface));
        return self.run();
    }

} // namespace

/// Large buffers (snapshots, segments of the log) go back to the system when they are freed. Left to itself, malloc takes
/// them from its heap after the first one, where what lies above keeps their memory.
static void returnLargeBuffers()
{
    constexpr int largeBufferBytes = 1 << 20;
    mallopt(M_MMAP_THRESHOLD, largeBufferBytes);
}

int runProgram(process_role role, int argc, char** argv, external_interface interface)
{
    returnLargeBuffers();
    auto options = makeOptions("cuminledge-" + std::string(toString(role)), role);
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("version") != 0) {
            std::cout << core::version() << "\n";
            return 0;
        }
        if (!arguments.unmatched().empty() || arguments.count("config") == 0) {
            std::cerr << "--config FILE is needed, and nothing beside the options\n"
                      << options.help();
            return exitUsage;
        }
        return runWith(role, arguments, std::move(interface));
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << e.what() << "\n"
                  << options.help();
        return exitUsage;
    }
}

} // namespace cuminledge::host
