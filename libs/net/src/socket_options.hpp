#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace cuminledge::net {

/**
 * Makes a connection fail soon after the other end's machine or the way there is gone: bytes that are not acknowledged
 * for unacknowledgedTimeout fail it, and so do keep-alive probes on a connection that is otherwise silent. A server
 * that is only slow acknowledges both.
 */
void detectDeadPeer(boost::asio::ip::tcp::socket& socket);

} // namespace cuminledge::net
