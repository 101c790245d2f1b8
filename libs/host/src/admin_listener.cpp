#include "admin_listener.hpp"

#include <utility>

namespace cuminledge::host {

namespace {

    constexpr std::uint8_t adminListenerNumber = 2;
    constexpr std::size_t maxAdminBodyBytes = 1024;
    constexpr std::size_t maxAdminRequestBytes = 1U << 20U; // of all requests together

    net::http_server_settings makeServerSettings(const std::string& address)
    {
        net::http_server_settings settings;
        settings.address = address;
        settings.listener = adminListenerNumber;
        settings.maxBodyBytes = maxAdminBodyBytes;
        settings.maxTotalReceiveBytes = maxAdminRequestBytes;
        return settings;
    }

    net::http_reply text(std::uint32_t status, std::string body)
    {
        net::http_reply reply;
        reply.status = status;
        reply.contentType = "text/plain; charset=utf-8";
        reply.body = std::move(body);
        return reply;
    }

} // namespace

admin_listener::admin_listener(boost::asio::io_context& context, const std::string& address, std::string readinessPath,
    const metrics& registry, std::function<void(core::exchange_id)> onDump)
    : m_readinessPath(std::move(readinessPath))
    , m_metrics(registry)
    , m_onDump(std::move(onDump))
    , m_server(context, makeServerSettings(address),
          { [this](net::http_request&& request) { onRequest(request); },
              [](std::uint64_t, const std::string&) {} })
{
}

result<std::uint16_t> admin_listener::listen()
{
    return m_server.listen();
}

void admin_listener::setReady(bool ready, const std::string& reason)
{
    m_ready = ready;
    m_reason = reason;
}

void admin_listener::reply(core::exchange_id exchange, std::string body)
{
    net::http_reply reply;
    reply.body = std::move(body);
    m_server.reply(exchange, reply);
}

void admin_listener::onRequest(const net::http_request& request)
{
    if (request.method != "GET") {
        m_server.reply(request.exchange, net::makeProblem(405, "invalid_argument", "only GET is served here"));
    } else if (request.target == "/livez") {
        m_server.reply(request.exchange, text(200, "live\n"));
    } else if (request.target == m_readinessPath) {
        m_server.reply(request.exchange, m_ready ? text(200, "ready\n") : text(503, "not ready: " + m_reason + "\n"));
    } else if (request.target == "/metrics") {
        m_server.reply(request.exchange, text(200, m_metrics.toPrometheus()));
    } else if (request.target == "/debug/state") {
        m_onDump(request.exchange);
    } else {
        m_server.reply(request.exchange, net::makeProblem(404, "not_found", "no such path: " + request.target));
    }
}

} // namespace cuminledge::host
