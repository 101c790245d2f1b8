#pragma once

#include <functional>
#include <string>

#include <core/event.hpp>
#include <host/metrics.hpp>
#include <net/http_server.hpp>

namespace cuminledge::host {

/**
 * Answers a process's admin listener: /livez, the readiness path, /metrics, /debug/state. The state comes from the reducer, by a
 * dump_requested event; reply() answers it later.
 */
class admin_listener {
public:
    /// @param onDump called with the exchange of each GET /debug/state.
    /// @param readinessPath where the balancer asks, e.g. "/readyz".
    admin_listener(boost::asio::io_context& context, const std::string& address, std::string readinessPath,
        const metrics& registry, std::function<void(core::exchange_id)> onDump);

    /// Binds and starts to accept.
    result<std::uint16_t> listen();

    /// What the readiness path answers from now on.
    void setReady(bool ready, const std::string& reason);

    /// Answers a dump. @param body JSON object.
    void reply(core::exchange_id exchange, std::string body);

private:
    void onRequest(const net::http_request& request);

    std::string m_readinessPath;
    const metrics& m_metrics;
    std::function<void(core::exchange_id)> m_onDump;
    bool m_ready = false;
    std::string m_reason = "starting";
    net::http_server m_server;
};

} // namespace cuminledge::host
