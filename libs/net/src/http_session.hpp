#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include <net/http_server.hpp>

#include "deadline_timer.hpp"

namespace cuminledge::net {

/// What a session needs of its listener.
class session_owner {
public:
    virtual ~session_owner() = default;
    [[nodiscard]] virtual const http_server_settings& settings() const = 0;
    virtual http_server_counts& tally() = 0;
    [[nodiscard]] virtual bool draining() const = 0;

    /// @return whether connections close after their answer.
    [[nodiscard]] virtual bool announcesClosing() const = 0;

    /// @return the new exchange's id.
    virtual std::uint64_t beginExchange(std::uint64_t connection) = 0;
    virtual void deliver(http_request&& request) = 0;

    /// The answer is given in full.
    virtual void endExchange(std::uint64_t exchange) = 0;

    /// @return how many bytes of the answer may wait for the reader before the exchange counts as blocked.
    [[nodiscard]] virtual std::size_t blockedSendBytes() const = 0;
    virtual void setBlocked(std::uint64_t exchange, bool isBlocked) = 0;

    /// Adds to what waits on all connections.
    virtual void addSendBytes(std::ptrdiff_t count) = 0;

    /// Adds to what all connections hold of requests.
    virtual void addReceiveBytes(std::ptrdiff_t count) = 0;

    /// @return whether little room is left for requests, so that connections should read in small pieces.
    [[nodiscard]] virtual bool isReceiveTight() const = 0;

    /// The answer can't be given any more.
    virtual void loseExchange(std::uint64_t exchange, const std::string& reason) = 0;
    virtual void endSession(std::uint64_t connection) = 0;
};

/**
 * One accepted connection. It reads all the time, also while a request is answered, so that a closed connection is
 * noticed then; what comes early is kept within a bound.
 */
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(boost::asio::ip::tcp::socket socket, std::uint64_t connection, std::shared_ptr<session_owner> owner);
    ~http_session();

    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    void start();

    // For the exchange under way.
    void reply(const http_reply& reply);
    void beginStream(const header_list& headers);
    void streamEvent(std::string_view data);
    void endStream();
    void beginAnswer(std::uint32_t status, const header_list& headers, std::int64_t length);
    void answerData(std::string_view data);
    void endAnswer();
    void abort();

    void setTag(const std::string& key) { m_tag = key; }
    [[nodiscard]] const std::string& tag() const { return m_tag; }
    [[nodiscard]] std::size_t sendBufferBytes() const { return m_queued.size() + m_sending.size() - m_sent; }

    /// @return what the connection holds of the request under way and of those that follow it.
    [[nodiscard]] std::size_t receiveBytes() const { return m_receiveBytes; }
    [[nodiscard]] bool isReading() const { return m_phase == phase::Reading; }

    /// Refuses the request that is being read because all requests together are too large.
    void refuseForMemory();

    /// Closes now if no request is under way or partly read. Else closes after the next answer whose head can say so, or
    /// after the drain time if no request follows.
    void closeAfterAnswer();

    /// Closes after the drain time if no request comes by then, else after its answer.
    void drain();

    /// Closes at once, and reports a lost exchange.
    void close(const std::string& reason = "listener closed");

private:
    enum class phase {
        Idle, ///< no byte of a request is there
        Reading, ///< part of a request is there
        Answering, ///< the owner has the request
        Lingering ///< the last answer is given; what still comes is read and dropped
    };

    struct parser_state; ///< keeps Beast out of this header

    void read();
    void onReadable();
    void onRead(std::string_view bytes);
    void onReadEnd();
    void parse();
    bool parseSome();
    void continueIfExpected();
    void dispatch();
    void refuseBroken(const boost::system::error_code& problem);
    void refuse(std::uint32_t status, const std::string& code, const std::string& detail, const header_list& headers = {});
    void updateReceiveBytes();
    void releaseBuffers();

    bool decideKeepAlive();
    void finishAnswer();
    void nextRequest();
    void queue(std::string_view bytes);
    void queueChunk(std::string_view bytes);
    void write();
    void onAllWritten();
    void updateBlocked();
    void beginLinger();

    void closeIdle();
    void closeByCaller();
    void end(const std::string& reason);
    void countCut();
    void setDeadline(std::chrono::milliseconds timeout);
    void onDeadline();

    boost::asio::ip::tcp::socket m_socket;
    deadline_timer m_deadline;
    std::uint64_t m_connection;
    std::shared_ptr<session_owner> m_owner;
    std::unique_ptr<parser_state> m_parser;
    phase m_phase = phase::Idle;
    std::uint64_t m_exchange = 0; ///< 0: none, or its answer is given
    std::string m_tag;
    std::string m_queued;
    std::string m_sending;
    std::size_t m_sent = 0; ///< of m_sending
    std::size_t m_bodyBytes = 0; ///< of the request that the owner has
    std::size_t m_receiveBytes = 0; ///< as last told to the owner
    bool m_readPending = false;
    bool m_writePending = false;
    bool m_parsing = false;
    bool m_closed = false;
    bool m_closeAfterAnswer = false; ///< as the answer's head says
    bool m_announcesClosing = false; ///< answers from now on say "Connection: close"
    bool m_streaming = false;
    bool m_chunked = true;
    std::int64_t m_bodyLeft = -1; ///< bytes of the answer's body still to come; -1: its length is not stated
    bool m_headRequest = false;
    bool m_blocked = false; ///< the owner knows that the reader is behind
};

} // namespace cuminledge::net
