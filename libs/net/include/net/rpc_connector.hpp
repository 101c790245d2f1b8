#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <jsonrpccpp/server/abstractserverconnector.h>

#include <base/error.hpp>
#include <net/http_server.hpp>

namespace cuminledge::net {

struct rpc_connector_handlers {
    /// A valid call of one of the methods. It needs exactly one reply(), now or later.
    /// @param parameters JSON object ("{}" if the call has none).
    std::function<void(std::uint64_t exchange, const std::string& method, const std::string& parameters)> onCall;

    /// The operator's connection closed before the answer.
    std::function<void(std::uint64_t exchange)> onGone;

    /// After closeListener(): the last connection has closed. May be empty.
    std::function<void()> onDrained {};
};

/**
 * Carries JSON-RPC 2.0 over an http_server: `POST /rpc`, one call a request. libjsonrpccpp checks each request and
 * answers those that are not valid; valid calls are answered later by exchange id.
 *
 * Not thread-safe: called on the io_context's thread only.
 */
class rpc_connector final : public jsonrpc::AbstractServerConnector {
public:
    /// @param methods the names that may be called; any other is answered "method not found".
    rpc_connector(boost::asio::io_context& context, http_server_settings settings,
        const std::vector<std::string>& methods, rpc_connector_handlers handlers);
    ~rpc_connector() override;

    rpc_connector(const rpc_connector&) = delete;
    rpc_connector& operator=(const rpc_connector&) = delete;

    /// Binds and starts to accept. @return the port.
    result<std::uint16_t> listen();

    /// Answers a call with its result. @param result a JSON value.
    void reply(std::uint64_t exchange, const std::string& result);

    /// Answers a call with an error. @param details JSON object, sent as the error's data.
    void replyError(std::uint64_t exchange, error_code code, const std::string& details);

    /// Stops accepting; calls under way are still answered.
    void closeListener();

    [[nodiscard]] http_server_counts counts() const;

    bool StartListening() override;
    bool StopListening() override;
    bool SendResponse(const std::string& response, void* addInfo) override;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace cuminledge::net
