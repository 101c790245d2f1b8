#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cuminledge::net {

/// What an attempt to connect shows of a server.
enum class reachability : std::uint8_t {
    Accepts,
    Refuses, ///< the host answers, and no process listens at the port
    Unreachable ///< no answer within the timeout, no route, or not an address
};

/// Connects to "IP:PORT", closes the connection without a byte sent and calls back once, on the io_context's thread and
/// never from within this function.
void checkReachability(boost::asio::io_context& context, const std::string& address, std::chrono::milliseconds timeout,
    std::function<void(reachability)> onChecked);

} // namespace cuminledge::net
