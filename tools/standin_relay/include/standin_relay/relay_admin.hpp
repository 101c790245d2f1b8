#pragma once

#include <memory>
#include <string>
#include <vector>

#include <base/error.hpp>
#include <standin_relay/relay.hpp>

namespace cuminledge::standin {

struct relayed_address {
    std::string listenAddress;
    std::string serverAddress;
};

struct relay_settings {
    std::string listenAddress = "127.0.0.1:0"; ///< of the admin listener
    std::string name = "standin_relay"; ///< in the log
    std::vector<relayed_address> relays;
};

/// Reads {"listen_address", "name", "relays": [{"listen_address", "server_address"}]}; an error lists every fault.
result<relay_settings> readRelaySettings(const std::string& json);

/**
 * Relays with an HTTP listener for orders:
 *
 * `POST /flow` {"relay": N, "apply_to": "all" | "new" | "both" | "one", "connection": ID, "to_server": BOOL,
 * "to_client": BOOL}; `POST /close` {"relay": N}; `GET /connections`. Relays count from 0, in the settings' order.
 */
class relay_admin {
public:
    relay_admin(boost::asio::io_context& context, const relay_settings& settings);
    ~relay_admin();

    relay_admin(const relay_admin&) = delete;
    relay_admin& operator=(const relay_admin&) = delete;

    /// Binds all listeners. @return the admin listener's port.
    result<std::uint16_t> listen();

    void closeListener();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace cuminledge::standin
