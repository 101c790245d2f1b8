#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <base/error.hpp>

namespace boost::asio {
class io_context;
}

namespace cuminledge::standin {

/// Which bytes a relayed connection lets through. A connection that lets none through stays open at both ends, as when
/// something between them has lost track of it.
struct relay_flow {
    bool toServer = true;
    bool toClient = true;
};

struct relay_connection {
    std::uint64_t id = 0;
    relay_flow flow;
    std::uint64_t bytesToServer = 0;
    std::uint64_t bytesToClient = 0;
};

/**
 * Forwards TCP connections from one address to another, and on order stops forwarding without closing.
 *
 * What comes while a direction is stopped is lost, as on a cut link; the connection can't be mended after that. New
 * connections follow the flow set for them.
 */
class relay {
public:
    static constexpr std::size_t maxConnections = 1024;

    /// @param listenAddress, serverAddress "IP:PORT".
    relay(boost::asio::io_context& context, std::string listenAddress, std::string serverAddress);

    /// Closes all connections.
    ~relay();

    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Binds and starts to forward. @return the port.
    result<std::uint16_t> listen();

    /// Sets the flow of one connection. @return whether there is one with this id.
    bool setFlow(std::uint64_t connection, relay_flow flow);

    /// Sets the flow of all connections there are now.
    void setFlowOfAll(relay_flow flow);

    /// Sets the flow of connections that come from now on.
    void setFlowOfNew(relay_flow flow);

    /// Closes all connections at both ends.
    void closeAll();

    [[nodiscard]] std::vector<relay_connection> connections() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace cuminledge::standin
