#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include <net/http_client.hpp>

#include "deadline_timer.hpp"
#include "sse_parser.hpp"

namespace cuminledge::net {

class client_connection;

/// What a connection needs of its client.
class connection_owner {
public:
    virtual ~connection_owner() = default;
    [[nodiscard]] virtual const http_client_settings& settings() const = 0;
    virtual void onResponse(const std::string& request, response_head&& head) = 0;
    virtual void onData(const std::string& request, std::string&& data) = 0;

    /// @param reusable the connection may take another request.
    virtual void onFinished(client_connection& connection, const std::string& request, bool reusable) = 0;
    virtual void onFailed(
        client_connection& connection, const std::string& request, request_phase phase, const std::string& message)
        = 0;

    /// An unused connection has closed.
    virtual void onIdleClosed(client_connection& connection) = 0;
};

/// One connection to one address, with one request at a time. It reads also while it is unused, so that a connection
/// the server has closed is not taken for a request.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    client_connection(boost::asio::io_context& context, std::string address, connection_owner& owner);
    ~client_connection();

    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Starts a request; dials first where that has not been done.
    void start(client_request request);

    /// @return whether an unused connection is neither closed nor has bytes that nobody asked for.
    [[nodiscard]] bool isOpen();

    /// Stops reading until resume(). A new request begins unpaused.
    void pause();
    void resume();

    /// Closes it; the owner is told nothing any more.
    void drop();

    [[nodiscard]] const std::string& address() const { return m_address; }

private:
    struct parser_state; ///< keeps Beast out of this header

    void dial();
    void sendRequest();
    void read();
    void onReadable();
    void onBytes(std::string_view bytes);
    /// @param isOrderly the server has closed its side, rather than that the connection broke.
    void onEnd(const std::string& reason, bool isOrderly);
    void expectHead();
    bool skipInformationalHead();
    bool parse(std::string_view bytes);
    bool deliverBody();
    void finish();
    void fail(const std::string& message);
    void closeIdle();
    void onTimeout(const char* message);
    void setDeadline(std::chrono::milliseconds timeout, const char* message);
    void restartSilence();
    [[nodiscard]] std::chrono::milliseconds unusedTimeout() const;

    boost::asio::ip::tcp::socket m_socket;
    deadline_timer m_deadline;
    std::string m_address;
    connection_owner* m_owner;
    std::unique_ptr<parser_state> m_parser;
    std::optional<sse_parser> m_events;
    client_request m_request;
    request_phase m_phase = request_phase::NotSent;
    std::string m_sending;
    std::size_t m_sent = 0;
    std::chrono::milliseconds m_idleTimeout { 0 }; ///< that the server states for unused connections; 0: none
    bool m_connected = false;
    bool m_busy = false;
    bool m_paused = false;
    bool m_readPending = false;
    bool m_isReset = false; ///< as a write has found
    bool m_isAnswerEnded = false; ///< by the end of the connection, while the request was still being written
    int m_informationalHeads = 0; ///< of the answer under way
    bool m_responded = false;
    bool m_closed = false;
};

} // namespace cuminledge::net
