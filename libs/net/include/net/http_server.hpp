#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <base/error.hpp>
#include <net/http_message.hpp>

namespace boost::asio {
class io_context;
}

namespace cuminledge::net {

struct http_server_settings {
    std::string address; ///< "IP:PORT"; port 0 takes a free one
    std::uint8_t listener = 0; ///< stands in every exchange id, so that ids of several listeners differ
    std::size_t maxHeaderBytes = 16U << 10U; ///< of a head, of a chunk's size line and of the trailers
    std::size_t maxBodyBytes = 4U << 20U;
    std::size_t maxTotalReceiveBytes = 0; ///< of all requests that are not answered; beyond it, the largest that is still read is refused. 0: no bound
    std::size_t maxConnections = 4096; ///< further ones are closed at once
    std::size_t blockedSendBytes = 64U << 10U; ///< waiting for a reader: beyond it, onBlocked is called
    std::size_t maxSendBufferBytes = 1U << 20U; ///< waiting for a reader: beyond it, the connection is closed
    std::size_t maxTotalSendBytes = 0; ///< waiting for all readers; beyond it, the slowest is closed. 0: no bound
    std::chrono::milliseconds idleTimeout { 60'000 }; ///< between requests
    std::chrono::milliseconds readTimeout { 30'000 }; ///< from a request's first byte to its last
    std::chrono::milliseconds writeTimeout { 30'000 }; ///< without the reader taking a byte
    std::chrono::milliseconds drainIdleTime { 500 }; ///< after closeListener(): idle connections close after it
};

/// What the server tells its owner, on the io_context's thread.
struct http_server_handlers {
    /// A whole request has come. It needs exactly one reply(), endStream() or abort(), now or later.
    std::function<void(http_request&&)> onRequest;

    /// The connection is gone before the answer was given in full; later calls for the exchange do nothing. Never
    /// called from within a call of the owner.
    /// A caller that shuts down its sending side while it waits counts as gone.
    std::function<void(std::uint64_t exchange, const std::string& reason)> onGone;

    /// After closeListener(): the last connection has closed, with every answer sent. May be empty.
    std::function<void()> onDrained {};

    /// More than blockedSendBytes of an answer, or its share of maxTotalSendBytes, waits for the reader. Then onUnblocked,
    /// once it has read half of that, or onGone. Never called from within a call of the owner. Both may be empty.
    std::function<void(std::uint64_t exchange)> onBlocked {};
    std::function<void(std::uint64_t exchange)> onUnblocked {};
};

/// Counts for state dumps.
struct http_server_counts {
    std::size_t connections = 0; ///< open now
    std::size_t exchanges = 0; ///< under way now
    std::size_t sendBufferBytes = 0; ///< waiting now, over all connections
    std::size_t receiveBytes = 0; ///< held now of requests that are not answered, over all connections
    std::uint64_t accepted = 0;
    std::uint64_t refusedConnections = 0; ///< over maxConnections
    std::uint64_t requests = 0;
    std::uint64_t badRequests = 0; ///< broken HTTP or over a size limit
    std::uint64_t refusedForMemory = 0; ///< over maxTotalReceiveBytes
    std::uint64_t gone = 0;
    std::uint64_t slowReaders = 0; ///< closed at maxSendBufferBytes, maxTotalSendBytes or writeTimeout
    std::uint64_t timeouts = 0; ///< closed at readTimeout or idleTimeout
    std::uint64_t backlogTaken = 0; ///< connections that closeListener() took from the kernel's backlog
    std::uint64_t cutUnread = 0; ///< closed by this side with bytes of a caller unread
    std::uint64_t cutReading = 0; ///< closed by this side with part of a request read
    std::uint64_t cutAnswering = 0; ///< closed by this side with a request under way or bytes of its answer unsent
};

/**
 * An HTTP/1.1 listener with keep-alive. One exchange at a time on each connection; pipelined requests wait for the
 * answer before them. Broken HTTP is answered 400, 413 or 431 over the size limits, and 503 over maxTotalReceiveBytes, as
 * application/problem+json; the connection then closes. No such request has been passed to the owner.
 *
 *     http_server server(context, { .address = "127.0.0.1:8080" }, { onRequest, onGone });
 *     if (auto port = server.listen(); !port) { ... }
 *
 * Not thread-safe: called on the io_context's thread only. Calls for an exchange that is over do nothing.
 */
class http_server {
public:
    http_server(boost::asio::io_context& context, http_server_settings settings, http_server_handlers handlers);

    /// Closes the listener and every connection; no handler is called from then on.
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds and starts to accept. @return the port, or error_code::Unavailable if the address can't be had.
    result<std::uint16_t> listen();

    /// Sends the whole answer and ends the exchange.
    void reply(std::uint64_t exchange, const http_reply& reply);

    /// Starts an answer of type text/event-stream with status 200.
    void beginStream(std::uint64_t exchange, const header_list& headers);

    /// Sends one server-sent event. @param data without "data: "; each of its lines becomes a data line.
    void streamEvent(std::uint64_t exchange, std::string_view data);

    /// Ends the stream and the exchange.
    void endStream(std::uint64_t exchange);

    /// Starts an answer of any kind. @param length of the body; -1: not known, it ends with endAnswer().
    void beginAnswer(std::uint64_t exchange, std::uint32_t status, const header_list& headers, std::int64_t length);

    /// Sends a piece of the body of an answer begun with beginAnswer().
    void answerData(std::uint64_t exchange, std::string_view data);

    /// Ends such an answer and the exchange. A body shorter than its stated length ends in a closed connection.
    void endAnswer(std::uint64_t exchange);

    /// Answers from now on say "Connection: close", while new connections are still taken.
    void announceClosing();

    /// Closes the connection without a proper end of the answer.
    void abort(std::uint64_t exchange);

    /// Remembers under which key the exchange's connection was last used.
    void tagConnection(std::uint64_t exchange, const std::string& key);

    /// Closes every connection tagged with the key: idle ones now, others after their answer.
    void closeTagged(const std::string& key);

    /// Stops accepting, but takes the connections that the kernel has accepted already. Answers from now on say
    /// "Connection: close"; connections without a request close after drainIdleTime, so that a request already on its
    /// way is still served. Then calls onDrained.
    void closeListener();

    [[nodiscard]] http_server_counts counts() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace cuminledge::net
