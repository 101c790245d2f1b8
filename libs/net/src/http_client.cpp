#include <net/http_client.hpp>

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "client_connection.hpp"

namespace cuminledge::net {

namespace {

    struct address_state {
        std::size_t open = 0; ///< connections, unused ones too
        std::vector<std::shared_ptr<client_connection>> unused; ///< most lately used last
    };

    bool isPlain(const std::string& text)
    {
        return std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
    }

    /// A line break would let a caller's text add headers or requests of its own.
    bool isSafe(const client_request& request)
    {
        const bool headers = std::all_of(request.headers.begin(), request.headers.end(),
            [](const auto& header) { return isPlain(header.first) && isPlain(header.second); });
        return headers && isPlain(request.method) && isPlain(request.target)
            && request.target.find(' ') == std::string::npos;
    }

} // namespace

class http_client::impl final : public connection_owner, public std::enable_shared_from_this<http_client::impl> {
public:
    impl(boost::asio::io_context& context, http_client_settings settings, http_client_handlers handlers)
        : m_context(context)
        , m_settings(settings)
        , m_handlers(std::move(handlers))
    {
    }

    void start(client_request request)
    {
        ++m_counts.started;
        if (m_underWay.count(request.request) != 0) {
            failLater(request.request, "a request with this id is under way");
            return;
        }
        if (!isSafe(request)) {
            failLater(request.request, "a control character in method, target or header");
            return;
        }
        auto connection = take(request);
        if (!connection) {
            failLater(request.request, "too many connections to " + request.address);
            return;
        }
        m_underWay.emplace(request.request, connection);
        connection->start(std::move(request));
    }

    void cancel(const std::string& request)
    {
        const auto found = m_underWay.find(request);
        if (found == m_underWay.end()) {
            return;
        }
        ++m_counts.cancelled;
        const auto connection = found->second;
        m_underWay.erase(found);
        connection->drop();
        forget(*connection);
    }

    void pause(const std::string& request)
    {
        if (const auto found = m_underWay.find(request); found != m_underWay.end()) {
            found->second->pause();
        }
    }

    void resume(const std::string& request)
    {
        if (const auto found = m_underWay.find(request); found != m_underWay.end()) {
            found->second->resume();
        }
    }

    void stop()
    {
        m_stopped = true;
        for (const auto& [request, connection] : m_underWay) {
            connection->drop();
        }
        for (const auto& [address, state] : m_addresses) {
            for (const auto& connection : state.unused) {
                connection->drop();
            }
        }
        m_underWay.clear();
        m_addresses.clear();
    }

    [[nodiscard]] http_client_counts counts() const
    {
        auto counts = m_counts;
        counts.underWay = m_underWay.size();
        for (const auto& [address, state] : m_addresses) {
            counts.pooled += state.unused.size();
        }
        return counts;
    }

    // connection_owner

    [[nodiscard]] const http_client_settings& settings() const override { return m_settings; }

    void onResponse(const std::string& request, response_head&& head) override
    {
        m_handlers.onResponse(request, std::move(head));
    }

    void onData(const std::string& request, std::string&& data) override
    {
        m_handlers.onData(request, std::move(data));
    }

    void onFinished(client_connection& connection, const std::string& request, bool reusable) override
    {
        m_underWay.erase(request);
        auto& unused = m_addresses[connection.address()].unused;
        if (reusable && unused.size() < m_settings.maxPooledPerAddress) {
            unused.push_back(connection.shared_from_this());
        } else {
            connection.drop();
            forget(connection);
        }
        m_handlers.onFinished(request);
    }

    void onFailed(client_connection& connection, const std::string& request, request_phase phase,
        const std::string& message) override
    {
        ++m_counts.failed;
        m_underWay.erase(request);
        forget(connection);
        m_handlers.onFailed(request, phase, message);
    }

    void onIdleClosed(client_connection& connection) override
    {
        auto& unused = m_addresses[connection.address()].unused;
        const auto kept = std::remove_if(
            unused.begin(), unused.end(), [&](const auto& candidate) { return candidate.get() == &connection; });
        unused.erase(kept, unused.end());
        forget(connection);
    }

private:
    /// @return a connection for the request, or none if the address has its limit of them.
    std::shared_ptr<client_connection> take(const client_request& request)
    {
        auto& state = m_addresses[request.address];
        while (!request.freshConnection && !state.unused.empty()) {
            auto connection = std::move(state.unused.back());
            state.unused.pop_back();
            if (connection->isOpen()) {
                ++m_counts.reused;
                return connection;
            }
            connection->drop();
            --state.open;
        }
        if (state.open >= m_settings.maxConnectionsPerAddress) {
            return nullptr;
        }
        ++state.open;
        ++m_counts.dialled;
        return std::make_shared<client_connection>(m_context, request.address, *this);
    }

    /// A connection of that address is gone.
    void forget(const client_connection& connection)
    {
        const auto found = m_addresses.find(connection.address());
        if (found != m_addresses.end() && --found->second.open == 0) {
            m_addresses.erase(found);
        }
    }

    void failLater(const std::string& request, const std::string& message)
    {
        ++m_counts.failed;
        boost::asio::post(m_context, [self = shared_from_this(), request, message] {
            if (!self->m_stopped) {
                self->m_handlers.onFailed(request, request_phase::NotSent, message);
            }
        });
    }

    boost::asio::io_context& m_context;
    http_client_settings m_settings;
    http_client_handlers m_handlers;
    http_client_counts m_counts;
    bool m_stopped = false;
    std::unordered_map<std::string, std::shared_ptr<client_connection>> m_underWay;
    std::unordered_map<std::string, address_state> m_addresses;
};

//------------------------------------------------------------------------------------------------------------------
// http_client
//------------------------------------------------------------------------------------------------------------------

http_client::http_client(
    boost::asio::io_context& context, http_client_settings settings, http_client_handlers handlers)
    : m_impl(std::make_shared<impl>(context, settings, std::move(handlers)))
{
}

http_client::~http_client()
{
    m_impl->stop();
}

void http_client::start(client_request request)
{
    m_impl->start(std::move(request));
}

void http_client::cancel(const std::string& request)
{
    m_impl->cancel(request);
}

void http_client::pause(const std::string& request)
{
    m_impl->pause(request);
}

void http_client::resume(const std::string& request)
{
    m_impl->resume(request);
}

http_client_counts http_client::counts() const
{
    return m_impl->counts();
}

} // namespace cuminledge::net
