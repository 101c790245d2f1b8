#include "socket_options.hpp"

#include <netinet/tcp.h>

namespace cuminledge::net {

namespace {

    /// Several round trips, and a lost packet sent again.
    constexpr int unacknowledgedTimeoutMs = 1'000;
    constexpr int probeAfterSeconds = 1; ///< of silence
    constexpr int probeIntervalSeconds = 1;
    constexpr int maxProbes = 2;

    template <int Level, int Name>
    void set(boost::asio::ip::tcp::socket& socket, int value)
    {
        // A system without the option only finds out later.
        boost::system::error_code ignored;
        socket.set_option(boost::asio::detail::socket_option::integer<Level, Name>(value), ignored);
    }

} // namespace

void detectDeadPeer(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    set<IPPROTO_TCP, TCP_USER_TIMEOUT>(socket, unacknowledgedTimeoutMs);
    set<IPPROTO_TCP, TCP_KEEPIDLE>(socket, probeAfterSeconds);
    set<IPPROTO_TCP, TCP_KEEPINTVL>(socket, probeIntervalSeconds);
    set<IPPROTO_TCP, TCP_KEEPCNT>(socket, maxProbes);
}

} // namespace cuminledge::net
