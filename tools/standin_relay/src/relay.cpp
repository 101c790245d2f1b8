#include <standin_relay/relay.hpp>

#include <array>
#include <map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <net/address.hpp>
#include <net/tcp_listener.hpp>

namespace cuminledge::standin {

namespace {

    using tcp = boost::asio::ip::tcp;

    constexpr std::size_t bufferBytes = 16U << 10U;

    /// One end of a relayed connection, with the bytes that were read from it.
    struct end {
        explicit end(tcp::socket connected)
            : socket(std::move(connected))
        {
        }

        tcp::socket socket;
        std::array<char, bufferBytes> buffer {};
        std::uint64_t bytes = 0;
    };

} // namespace

/// A pair of connections. Each direction reads, then writes or drops, then reads again.
class relayed : public std::enable_shared_from_this<relayed> {
public:
    relayed(tcp::socket client, relay_flow flow)
        : m_client(std::move(client))
        , m_server(tcp::socket(m_client.socket.get_executor()))
        , m_flow(flow)
    {
    }

    void start(const tcp::endpoint& server)
    {
        m_server.socket.async_connect(server, [self = shared_from_this()](auto problem) {
            if (problem) {
                self->close();
                return;
            }
            boost::system::error_code ignored;
            self->m_client.socket.set_option(tcp::no_delay(true), ignored);
            self->m_server.socket.set_option(tcp::no_delay(true), ignored);
            self->forward(self->m_client, self->m_server, &relay_flow::toServer);
            self->forward(self->m_server, self->m_client, &relay_flow::toClient);
        });
    }

    void close()
    {
        boost::system::error_code ignored;
        m_client.socket.close(ignored);
        m_server.socket.close(ignored);
    }

    [[nodiscard]] bool isOpen() const { return m_client.socket.is_open(); }

    void setFlow(relay_flow flow) { m_flow = flow; }

    [[nodiscard]] relay_connection describe(std::uint64_t id) const
    {
        return { id, m_flow, m_client.bytes, m_server.bytes };
    }

private:
    void forward(end& from, end& to, bool relay_flow::*direction)
    {
        from.socket.async_read_some(boost::asio::buffer(from.buffer),
            [self = shared_from_this(), &from, &to, direction](auto problem, std::size_t count) {
                if (problem) {
                    self->onEnd(direction);
                    return;
                }
                if (!(self->m_flow.*direction)) {
                    self->forward(from, to, direction);
                    return;
                }
                from.bytes += count;
                self->write(from, to, direction, count);
            });
    }

    void write(end& from, end& to, bool relay_flow::*direction, std::size_t count)
    {
        boost::asio::async_write(to.socket, boost::asio::buffer(from.buffer.data(), count),
            [self = shared_from_this(), &from, &to, direction](auto problem, std::size_t) {
                if (problem) {
                    self->onEnd(direction);
                    return;
                }
                self->forward(from, to, direction);
            });
    }

    /// One end has closed. A stopped direction does not carry that either, so the other end sees nothing.
    void onEnd(bool relay_flow::*direction)
    {
        if (m_flow.*direction) {
            close();
        }
    }

    end m_client;
    end m_server;
    relay_flow m_flow;
};

class relay::impl {
public:
    impl(boost::asio::io_context& context, std::string listenAddress, std::string serverAddress)
        : m_listener(context, [this](tcp::socket socket) { start(std::move(socket)); })
        , m_listenAddress(std::move(listenAddress))
        , m_serverAddress(std::move(serverAddress))
    {
    }

    result<std::uint16_t> listen()
    {
        const auto server = net::parseAddress(m_serverAddress, "relay");
        if (!server) {
            return tl::unexpected<error>(server.error());
        }
        m_server = *server;
        return m_listener.open(m_listenAddress);
    }

    bool setFlow(std::uint64_t id, relay_flow flow)
    {
        const auto found = m_connections.find(id);
        if (found == m_connections.end()) {
            return false;
        }
        found->second->setFlow(flow);
        return true;
    }

    void setFlowOfAll(relay_flow flow)
    {
        for (const auto& [id, connection] : m_connections) {
            connection->setFlow(flow);
        }
    }

    void setFlowOfNew(relay_flow flow) { m_flowOfNew = flow; }

    void closeAll()
    {
        for (const auto& [id, connection] : m_connections) {
            connection->close();
        }
        m_connections.clear();
    }

    void stop()
    {
        m_listener.close();
        closeAll();
    }

    [[nodiscard]] std::vector<relay_connection> connections() const
    {
        std::vector<relay_connection> list;
        for (const auto& [id, connection] : m_connections) {
            if (connection->isOpen()) {
                list.push_back(connection->describe(id));
            }
        }
        return list;
    }

private:
    void start(tcp::socket socket)
    {
        std::erase_if(m_connections, [](const auto& entry) { return !entry.second->isOpen(); });
        if (m_connections.size() >= maxConnections) {
            return;
        }
        auto connection = std::make_shared<relayed>(std::move(socket), m_flowOfNew);
        m_connections.emplace(++m_lastConnection, connection);
        connection->start(m_server);
    }

    net::tcp_listener m_listener;
    std::string m_listenAddress;
    std::string m_serverAddress;
    tcp::endpoint m_server;
    relay_flow m_flowOfNew;
    std::uint64_t m_lastConnection = 0;
    std::map<std::uint64_t, std::shared_ptr<relayed>> m_connections;
};

//------------------------------------------------------------------------------------------------------------------
// relay
//------------------------------------------------------------------------------------------------------------------

relay::relay(boost::asio::io_context& context, std::string listenAddress, std::string serverAddress)
    : m_impl(std::make_unique<impl>(context, std::move(listenAddress), std::move(serverAddress)))
{
}

relay::~relay()
{
    m_impl->stop();
}

result<std::uint16_t> relay::listen()
{
    return m_impl->listen();
}

bool relay::setFlow(std::uint64_t connection, relay_flow flow)
{
    return m_impl->setFlow(connection, flow);
}

void relay::setFlowOfAll(relay_flow flow)
{
    m_impl->setFlowOfAll(flow);
}

void relay::setFlowOfNew(relay_flow flow)
{
    m_impl->setFlowOfNew(flow);
}

void relay::closeAll()
{
    m_impl->closeAll();
}

std::vector<relay_connection> relay::connections() const
{
    return m_impl->connections();
}

} // namespace cuminledge::standin
