#include <net/http_server.hpp>

#include <algorithm>
#include <cstddef>
#include <unordered_map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <net/tcp_listener.hpp>

#include "http_session.hpp"

namespace cuminledge::net {

namespace {

    constexpr unsigned listenerShift = 56;
    constexpr std::size_t minBlockedSendBytes = 4U << 10U;
    constexpr std::size_t smallRequestBytes = 4U << 10U; ///< such a request is read whatever the others hold

} // namespace

/// The listener. Sessions hold it alive while their handlers run, and tell it of each exchange by session_owner.
class http_server::impl final : public session_owner, public std::enable_shared_from_this<http_server::impl> {
public:
    impl(boost::asio::io_context& context, http_server_settings settings, http_server_handlers handlers)
        : m_context(context)
        , m_listener(context, [this](auto socket) { startSession(std::move(socket)); })
        , m_settings(std::move(settings))
        , m_handlers(std::move(handlers))
    {
    }

    result<std::uint16_t> listen() { return m_listener.open(m_settings.address); }

    void stop()
    {
        m_stopped = true;
        m_listener.close();
        const auto sessions = std::exchange(m_sessions, {});
        for (const auto& [connection, session] : sessions) {
            session->close();
        }
        m_exchanges.clear();
    }

    http_session* find(std::uint64_t exchange)
    {
        const auto found = m_exchanges.find(exchange);
        return found == m_exchanges.end() ? nullptr : found->second.get();
    }

    void closeTagged(const std::string& key)
    {
        const auto sessions = m_sessions;
        for (const auto& [connection, session] : sessions) {
            if (session->tag() == key) {
                session->closeAfterAnswer();
            }
        }
    }

    void announceClosing() { m_announcesClosing = true; }

    void closeListener()
    {
        m_draining = true;
        m_counts.backlogTaken = m_listener.drain();
        const auto sessions = m_sessions;
        for (const auto& [connection, session] : sessions) {
            session->drain();
        }
        notifyIfDrained();
    }

    [[nodiscard]] http_server_counts counts() const
    {
        http_server_counts counts = m_counts;
        counts.connections = m_sessions.size();
        counts.exchanges = m_exchanges.size();
        for (const auto& [connection, session] : m_sessions) {
            counts.sendBufferBytes += session->sendBufferBytes();
            counts.receiveBytes += session->receiveBytes();
        }
        return counts;
    }

    // session_owner

    const http_server_settings& settings() const override { return m_settings; }

    http_server_counts& tally() override { return m_counts; }

    bool draining() const override { return m_draining; }

    bool announcesClosing() const override { return m_draining || m_announcesClosing; }

    std::uint64_t beginExchange(std::uint64_t connection) override
    {
        const std::uint64_t exchange = (std::uint64_t { m_settings.listener } << listenerShift) | ++m_lastExchange;
        m_exchanges.emplace(exchange, m_sessions.at(connection));
        return exchange;
    }

    void deliver(http_request&& request) override
    {
        ++m_counts.requests;
        m_handlers.onRequest(std::move(request));
    }

    void endExchange(std::uint64_t exchange) override { m_exchanges.erase(exchange); }

    void loseExchange(std::uint64_t exchange, const std::string& reason) override
    {
        if (m_exchanges.erase(exchange) == 0 || m_stopped) {
            return;
        }
        ++m_counts.gone;
        // The owner may be in the middle of a call, e.g. of streamEvent() to a slow reader.
        boost::asio::post(m_context, [self = shared_from_this(), exchange, reason] {
            if (!self->m_stopped) {
                self->m_handlers.onGone(exchange, reason);
            }
        });
    }

    std::size_t blockedSendBytes() const override
    {
        if (m_settings.maxTotalSendBytes == 0 || m_exchanges.empty()) {
            return m_settings.blockedSendBytes;
        }
        const auto share = m_settings.maxTotalSendBytes / 2 / m_exchanges.size();
        return std::min(m_settings.blockedSendBytes, std::max(share, minBlockedSendBytes));
    }

    void setBlocked(std::uint64_t exchange, bool isBlocked) override
    {
        const auto& handler = isBlocked ? m_handlers.onBlocked : m_handlers.onUnblocked;
        if (!handler) {
            return;
        }
        boost::asio::post(m_context, [self = shared_from_this(), &handler, exchange] {
            if (!self->m_stopped && self->m_exchanges.contains(exchange)) {
                handler(exchange);
            }
        });
    }

    void addSendBytes(std::ptrdiff_t count) override
    {
        m_sendBytes += count;
        const bool isOver = m_settings.maxTotalSendBytes != 0 && m_sendBytes > static_cast<std::ptrdiff_t>(m_settings.maxTotalSendBytes);
        if (!isOver || std::exchange(m_closesSlowest, true)) {
            return;
        }
        // The session whose bytes were added is in the middle of a call.
        boost::asio::post(m_context, [self = shared_from_this()] { self->closeSlowest(); });
    }

    void addReceiveBytes(std::ptrdiff_t count) override
    {
        m_receiveBytes += count;
        if (!isOverReceiveLimit(m_settings.maxTotalReceiveBytes) || std::exchange(m_refusesLargest, true)) {
            return;
        }
        // The session whose bytes were added is in the middle of a call.
        boost::asio::post(m_context, [self = shared_from_this()] { self->refuseLargest(); });
    }

    bool isReceiveTight() const override { return isOverReceiveLimit(m_settings.maxTotalReceiveBytes / 2); }

    void endSession(std::uint64_t connection) override
    {
        m_sessions.erase(connection);
        notifyIfDrained();
    }

private:
    void closeSlowest()
    {
        m_closesSlowest = false;
        while (!m_stopped && m_sendBytes > static_cast<std::ptrdiff_t>(m_settings.maxTotalSendBytes)) {
            const auto slowest = std::max_element(m_sessions.begin(), m_sessions.end(),
                [](const auto& a, const auto& b) { return a.second->sendBufferBytes() < b.second->sendBufferBytes(); });
            if (slowest == m_sessions.end()) {
                return;
            }
            ++m_counts.slowReaders;
            const auto session = slowest->second;
            session->close("too much waits to be read by all callers");
        }
    }

    bool isOverReceiveLimit(std::size_t limit) const
    {
        return m_settings.maxTotalReceiveBytes != 0 && m_receiveBytes > static_cast<std::ptrdiff_t>(limit);
    }

    /// A request that the owner has is never taken back, so only those that are still read can make room.
    void refuseLargest()
    {
        m_refusesLargest = false;
        while (!m_stopped && isOverReceiveLimit(m_settings.maxTotalReceiveBytes)) {
            const auto sizeOf = [](const auto& entry) { return entry.second->isReading() ? entry.second->receiveBytes() : 0; };
            const auto largest = std::max_element(m_sessions.begin(), m_sessions.end(),
                [&sizeOf](const auto& a, const auto& b) { return sizeOf(a) < sizeOf(b); });
            if (largest == m_sessions.end() || sizeOf(*largest) <= smallRequestBytes) {
                return;
            }
            const auto session = largest->second;
            session->refuseForMemory();
        }
    }

    void notifyIfDrained()
    {
        if (!m_draining || !m_sessions.empty() || !m_handlers.onDrained) {
            return;
        }
        // A connection whose acceptance is already queued comes before the posted handler.
        boost::asio::post(m_context, [self = shared_from_this()] {
            if (!self->m_stopped && self->m_sessions.empty() && !std::exchange(self->m_drainNotified, true)) {
                self->m_handlers.onDrained();
            }
        });
    }

    void startSession(boost::asio::ip::tcp::socket socket)
    {
        if (m_sessions.size() >= m_settings.maxConnections) {
            ++m_counts.refusedConnections;
            return;
        }
        ++m_counts.accepted;
        const std::uint64_t connection = ++m_lastConnection;
        auto session = std::make_shared<http_session>(std::move(socket), connection, shared_from_this());
        m_sessions.emplace(connection, session);
        session->start();
    }

    boost::asio::io_context& m_context;
    tcp_listener m_listener;
    http_server_settings m_settings;
    http_server_handlers m_handlers;
    http_server_counts m_counts;
    bool m_draining = false;
    bool m_drainNotified = false;
    bool m_announcesClosing = false;
    bool m_stopped = false;
    bool m_closesSlowest = false; ///< closeSlowest() is posted
    bool m_refusesLargest = false; ///< refuseLargest() is posted
    std::ptrdiff_t m_sendBytes = 0; ///< waiting on all connections
    std::ptrdiff_t m_receiveBytes = 0; ///< held of requests on all connections
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastExchange = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<http_session>> m_sessions;
    std::unordered_map<std::uint64_t, std::shared_ptr<http_session>> m_exchanges;
};

//------------------------------------------------------------------------------------------------------------------
// http_server
//------------------------------------------------------------------------------------------------------------------

http_server::http_server(
    boost::asio::io_context& context, http_server_settings settings, http_server_handlers handlers)
    : m_impl(std::make_shared<impl>(context, std::move(settings), std::move(handlers)))
{
}

http_server::~http_server()
{
    m_impl->stop();
}

result<std::uint16_t> http_server::listen()
{
    return m_impl->listen();
}

void http_server::reply(std::uint64_t exchange, const http_reply& reply)
{
    if (auto* session = m_impl->find(exchange)) {
        session->reply(reply);
    }
}

void http_server::beginStream(std::uint64_t exchange, const header_list& headers)
{
    if (auto* session = m_impl->find(exchange)) {
        session->beginStream(headers);
    }
}

void http_server::streamEvent(std::uint64_t exchange, std::string_view data)
{
    if (auto* session = m_impl->find(exchange)) {
        session->streamEvent(data);
    }
}

void http_server::endStream(std::uint64_t exchange)
{
    if (auto* session = m_impl->find(exchange)) {
        session->endStream();
    }
}

void http_server::beginAnswer(
    std::uint64_t exchange, std::uint32_t status, const header_list& headers, std::int64_t length)
{
    if (auto* session = m_impl->find(exchange)) {
        session->beginAnswer(status, headers, length);
    }
}

void http_server::answerData(std::uint64_t exchange, std::string_view data)
{
    if (auto* session = m_impl->find(exchange)) {
        session->answerData(data);
    }
}

void http_server::endAnswer(std::uint64_t exchange)
{
    if (auto* session = m_impl->find(exchange)) {
        session->endAnswer();
    }
}

void http_server::announceClosing()
{
    m_impl->announceClosing();
}

void http_server::abort(std::uint64_t exchange)
{
    if (auto* session = m_impl->find(exchange)) {
        session->abort();
    }
}

void http_server::tagConnection(std::uint64_t exchange, const std::string& key)
{
    if (auto* session = m_impl->find(exchange)) {
        session->setTag(key);
    }
}

void http_server::closeTagged(const std::string& key)
{
    m_impl->closeTagged(key);
}

void http_server::closeListener()
{
    m_impl->closeListener();
}

http_server_counts http_server::counts() const
{
    return m_impl->counts();
}

} // namespace cuminledge::net
