#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <base/error.hpp>

namespace cuminledge::ctl {

enum class output_format {
    Table,
    Json
};

/// The command line, read.
struct options {
    std::vector<std::string> controllers; ///< operators' listeners, "IP:PORT"
    output_format output = output_format::Table;
    std::chrono::milliseconds timeout { 3'000 }; ///< of one call
    std::vector<std::string> command; ///< e.g. {"key", "issue", "ACCOUNT"}
    bool showHelp = false;
    bool showVersion = false;
};

/// @return the options, or what is wrong with the command line.
result<options> readOptions(int argc, const char* const* argv);

/// @return the text of --help.
std::string helpText();

} // namespace cuminledge::ctl
