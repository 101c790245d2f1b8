#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <net/http_message.hpp>

namespace boost::asio {
class io_context;
}

namespace cuminledge::net {

/// How far a request got before it failed. Only NotSent proves that it did not run.
enum class request_phase : std::uint8_t {
    NotSent, ///< no byte of it left this process
    Sent, ///< it may have arrived
    Answering ///< part of the answer came
};

/// The start of an answer.
struct response_head {
    std::uint32_t status = 0;
    header_list headers; ///< names in lower case
    std::int64_t length = -1; ///< of the body; -1: not stated
};

struct http_client_settings {
    std::chrono::milliseconds connectTimeout { 2'000 };
    std::chrono::milliseconds pooledIdleTimeout { 10'000 }; ///< an unused connection closes after it
    std::size_t maxPooledPerAddress = 64;
    std::size_t maxConnectionsPerAddress = 1024; ///< further requests fail, NotSent
    std::size_t maxHeaderBytes = 16U << 10U; ///< of an answer
    std::size_t maxBodyBytes = 64U << 20U; ///< of an answer
    std::size_t maxEventBytes = 1U << 20U; ///< of one server-sent event
};

struct client_request {
    std::string request; ///< id, for the handlers and cancel()
    std::string address; ///< "IP:PORT"
    std::string method = "POST";
    std::string target;
    header_list headers;
    std::string body;
    bool eventStream = false; ///< deliver server-sent events one by one
    bool keepsHost = false; ///< a Host header among `headers` is sent, rather than the address
    bool freshConnection = false; ///< not from the pool
    std::chrono::milliseconds silenceTimeout { 0 }; ///< no byte for so long fails it; 0: no bound
};

/// What the client tells its owner, on the io_context's thread, never from within start(). A request ends with exactly
/// one onFinished or onFailed, unless it is cancelled.
struct http_client_handlers {
    std::function<void(const std::string& request, response_head&& head)> onResponse;

    /// A piece of the body. For an answer of type text/event-stream to a request with eventStream: one event's data,
    /// without the "data: " prefix; "[DONE]" is delivered like any other.
    std::function<void(const std::string& request, std::string&& data)> onData;

    std::function<void(const std::string& request)> onFinished;
    std::function<void(const std::string& request, request_phase phase, const std::string& message)> onFailed;
};

struct http_client_counts {
    std::size_t underWay = 0;
    std::size_t pooled = 0;
    std::uint64_t started = 0;
    std::uint64_t dialled = 0;
    std::uint64_t reused = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
};

/**
 * Sends HTTP/1.1 requests, with a small pool of kept connections for each address. It never sends a request twice: a
 * kept connection that turns out to be closed fails its request, in phase Sent once a byte was handed to the system.
 *
 * Not thread-safe: called on the io_context's thread only.
 */
class http_client {
public:
    http_client(boost::asio::io_context& context, http_client_settings settings, http_client_handlers handlers);

    /// Closes every connection; no handler is called from then on.
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a request. An id that is under way already fails the new one, NotSent.
    void start(client_request request);

    /// Closes the request's connection. No handler is called for it any more. An unknown id is ignored.
    void cancel(const std::string& request);

    /// Stops reading the request's answer, so that the server can't send on. An end of the connection, or silence, is not
    /// noticed meanwhile. An unknown id is ignored.
    void pause(const std::string& request);

    /// Reads on after pause().
    void resume(const std::string& request);

    [[nodiscard]] http_client_counts counts() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace cuminledge::net
