#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <base/error.hpp>

namespace cuminledge::net {

/// Accepts TCP connections until it is closed or destroyed.
class tcp_listener {
public:
    using accept_handler = std::function<void(boost::asio::ip::tcp::socket)>;

    /// @param onAccepted never called after close() or the destructor. drain() calls it for the last connections.
    tcp_listener(boost::asio::io_context& context, accept_handler onAccepted);
    ~tcp_listener();

    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    /// Binds and starts to accept. @param address "IP:PORT"; port 0 takes a free one.
    /// @return the port, or error_code::Unavailable if the address can't be had.
    result<std::uint16_t> open(const std::string& address);

    /// Stops accepting. Connections that the kernel has accepted already are reset.
    void close();

    /// Stops accepting after it has taken the connections that the kernel has accepted already.
    /// @return how many these were.
    std::size_t drain();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace cuminledge::net
