#include <ctl/options.hpp>

#include <cxxopts.hpp>

namespace cuminledge::ctl {

namespace {

    constexpr const char* commandsText = R"(
Commands:
  manifest validate FILE          check a manifest, without asking a controller
  manifest accept FILE            put a manifest in force
  manifest show                   the manifest in force
  key issue ACCOUNT               make a key; it is shown once
  key withdraw KEY_ID             end a key
  key list [ACCOUNT]              ids of the keys
  account show ACCOUNT            a client account's rate, routes and keys
  program show PROGRAM            where a program stands
  call show ACCOUNT CALL          the outcome of a call that may not be repeated
  backend list                    the announced backend servers
  backend drain BACKEND           give a backend server no new work
  backend undrain BACKEND         take that back
  domain evacuate DOMAIN          give the backend servers of a failure domain no new work
  domain restore DOMAIN           take that back
  quarantine list                 requests suspected of crashing backend servers
  quarantine lift FINGERPRINT     let such a request run again
  status                          leaders and replicas of every group
  dump HOST:PORT                  state of the process with that admin address

Exit status: 0 done, 1 refused, 2 usage, 3 outcome unknown (safe to send again).
)";

    cxxopts::Options describeOptions()
    {
        cxxopts::Options all("cuminledgectl", "Operates a cuminledge deployment.");
        all.positional_help("COMMAND [ARGUMENT...]");
        auto add = all.add_options();
        add("controllers", "operators' addresses of the controllers, HOST:PORT,...",
            cxxopts::value<std::vector<std::string>>()->default_value("127.0.0.1:7110"));
        add("output", "table or json", cxxopts::value<std::string>()->default_value("table"));
        add("timeout-ms", "longest wait for one answer", cxxopts::value<int>()->default_value("3000"));
        add("help", "show this text");
        add("version", "show the version");
        add("command", "", cxxopts::value<std::vector<std::string>>());
        all.parse_positional({ "command" });
        return all;
    }

    result<output_format> readFormat(const std::string& text)
    {
        if (text == "table") {
            return output_format::Table;
        }
        if (text == "json") {
            return output_format::Json;
        }
        return failure(error_code::InvalidArgument, "--output: expected table or json, got " + text, "read_options");
    }

    result<options> convert(const cxxopts::ParseResult& parsed)
    {
        options read;
        const auto format = readFormat(parsed["output"].as<std::string>());
        if (!format) {
            return tl::unexpected(format.error());
        }
        const auto timeout = parsed["timeout-ms"].as<int>();
        constexpr int maxTimeout = 60'000;
        if (timeout < 1 || timeout > maxTimeout) {
            return failure(error_code::InvalidArgument, "--timeout-ms: expected 1 to 60000", "read_options");
        }
        read.output = *format;
        read.timeout = std::chrono::milliseconds(timeout);
        read.controllers = parsed["controllers"].as<std::vector<std::string>>();
        read.showHelp = parsed.count("help") > 0;
        read.showVersion = parsed.count("version") > 0;
        if (parsed.count("command") > 0) {
            read.command = parsed["command"].as<std::vector<std::string>>();
        }
        return read;
    }

} // namespace

result<options> readOptions(int argc, const char* const* argv)
{
    try {
        return convert(describeOptions().parse(argc, argv));
    } catch (const std::exception& e) {
        return failure(error_code::InvalidArgument, e.what(), "read_options");
    }
}

std::string helpText()
{
    return describeOptions().help() + commandsText;
}

} // namespace cuminledge::ctl
