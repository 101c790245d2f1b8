#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <base/error.hpp>

namespace boost::asio {
class io_context;
}

/// What the main functions of the stand-ins have in common.
namespace cuminledge::standin {

struct program_options {
    std::string settings = "{}"; ///< text of the file given by --config
    std::string listenAddress; ///< --listen; goes before the settings' listen_address. Empty: not given
};

/// Either what to run with, or that the process ends with the exit code.
using program_start = tl::expected<program_options, int>;

/// Reads --config, --listen, --help and --version. Prints what it was asked for, or what was wrong.
program_start readCommandLine(int argc, char** argv, const std::string& name, const std::string& purpose);

/// @return a number that is higher at every later start on this machine.
std::uint64_t makeIncarnation();

/// A server that the program runs.
struct server_calls {
    std::function<result<std::uint16_t>()> listen;
    std::function<void()> closeListener;
    std::function<bool()> busy;
};

/**
 * Listens, logs `event=listening port=…`, and serves until SIGTERM or SIGINT; then lets requests under way finish. A
 * second signal ends it at once.
 *
 * @return the exit code.
 */
int serve(boost::asio::io_context& context, const std::string& name, const server_calls& server);

} // namespace cuminledge::standin
