#include "http_session.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include "http_framing.hpp"
#include "http_text.hpp"

namespace cuminledge::net {

namespace http = boost::beast::http;

namespace {

    constexpr std::size_t readBytes = 16U << 10U;
    constexpr std::size_t tightReadBytes = 1U << 10U;
    constexpr std::size_t maxKeptBufferBytes = 4U << 10U; ///< capacity that a buffer keeps between two requests
    constexpr std::size_t maxEarlyBytes = 64U << 10U; ///< kept of what comes while a request is answered
    constexpr std::chrono::milliseconds lingerTime { 1'000 };

    void setFields(http::fields& fields, const header_list& headers)
    {
        for (const auto& [name, value] : headers) {
            fields.insert(name, value);
        }
    }

} // namespace

struct http_session::parser_state {
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    unsigned version = 11;
    bool keepAlive = true;
    bool continued = false; ///< "100 Continue" is sent
};

http_session::http_session(
    boost::asio::ip::tcp::socket socket, std::uint64_t connection, std::shared_ptr<session_owner> owner)
    : m_socket(std::move(socket))
    , m_deadline(m_socket.get_executor())
    , m_connection(connection)
    , m_owner(std::move(owner))
    , m_parser(std::make_unique<parser_state>())
{
}

http_session::~http_session() = default;

void http_session::start()
{
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    nextRequest();
    read();
}

//------------------------------------------------------------------------------------------------------------------
// Reading
//------------------------------------------------------------------------------------------------------------------

void http_session::read()
{
    if (m_readPending || m_closed) {
        return;
    }
    const auto earlyBytes = m_owner->isReceiveTight() ? tightReadBytes : maxEarlyBytes;
    if (m_phase == phase::Answering && m_parser->buffer.size() >= earlyBytes) {
        return;
    }
    m_readPending = true;
    // Waiting without a buffer keeps an idle connection small.
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](auto problem) {
        self->m_readPending = false;
        if (self->m_closed) {
            return;
        }
        if (problem) {
            self->onReadEnd();
            return;
        }
        self->onReadable();
    });
}

void http_session::onReadable()
{
    std::array<char, readBytes> bytes;
    boost::system::error_code problem;
    const auto most = m_owner->isReceiveTight() ? tightReadBytes : readBytes;
    const auto count = m_socket.read_some(boost::asio::buffer(bytes.data(), most), problem);
    if (problem && problem != boost::asio::error::would_block) {
        onReadEnd();
        return;
    }
    onRead(std::string_view(bytes.data(), count));
}

void http_session::onReadEnd()
{
    const bool answerUnsent = m_phase == phase::Answering && m_exchange == 0 && sendBufferBytes() != 0;
    if (answerUnsent) {
        m_closeAfterAnswer = true;
        return;
    }
    closeByCaller();
}

void http_session::onRead(std::string_view bytes)
{
    if (m_phase != phase::Lingering) {
        auto& buffer = m_parser->buffer;
        const auto copied = boost::asio::buffer_copy(
            buffer.prepare(bytes.size()), boost::asio::const_buffer(bytes.data(), bytes.size()));
        buffer.commit(copied);
        parse();
        updateReceiveBytes();
    }
    read();
}

void http_session::parse()
{
    if (m_parsing) {
        return;
    }
    m_parsing = true;
    while (!m_closed && parseSome()) { }
    m_parsing = false;
}

/// @return whether a request was dispatched, so that a pipelined one may follow.
bool http_session::parseSome()
{
    const bool waits = m_phase == phase::Idle || m_phase == phase::Reading;
    if (!waits || m_parser->buffer.size() == 0) {
        return false;
    }
    if (m_phase == phase::Idle) {
        m_phase = phase::Reading;
        setDeadline(m_owner->settings().readTimeout);
    }
    auto& parser = *m_parser->parser;
    boost::system::error_code problem;
    const auto used = parser.put(m_parser->buffer.data(), problem);
    m_parser->buffer.consume(used);
    if (problem == http::error::need_more) {
        // The parser bounds heads and bodies. What it leaves is the start of a chunk's size line or of the trailers.
        if (m_parser->buffer.size() > m_owner->settings().maxHeaderBytes) {
            refuse(431, "headers_too_large", "a chunk's size line or the trailers are larger than the listener allows");
            return false;
        }
        continueIfExpected();
        return false;
    }
    if (problem) {
        refuseBroken(problem);
        return false;
    }
    if (!parser.is_done()) {
        continueIfExpected();
        return m_parser->buffer.size() != 0;
    }
    dispatch();
    return true;
}

void http_session::continueIfExpected()
{
    auto& parser = *m_parser->parser;
    if (m_parser->continued || !parser.is_header_done() || parser.is_done()) {
        return;
    }
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        m_parser->continued = true;
        queue("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void http_session::refuseBroken(const boost::system::error_code& problem)
{
    if (problem == http::error::header_limit) {
        refuse(431, "headers_too_large", "the header is larger than the listener allows");
    } else if (problem == http::error::body_limit) {
        refuse(413, "too_large", "the body is larger than the listener allows");
    } else {
        refuse(400, "invalid_http", "not a valid HTTP request: " + problem.message());
    }
}

void http_session::dispatch()
{
    auto& message = m_parser->parser->get();
    m_parser->version = message.version();
    m_parser->keepAlive = m_parser->parser->keep_alive();
    m_headRequest = message.method() == http::verb::head;
    if (message.version() >= 11 && message.count(http::field::host) != 1) {
        refuse(400, "invalid_http", "expected one Host header");
        return;
    }
    if (const auto fault = framingFault(message)) {
        refuse(400, "invalid_http", "the end of the request can't be known: " + *fault);
        return;
    }
    http_request request;
    request.connection = m_connection;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
        request.headers.emplace_back(lowerCase(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    m_bodyBytes = request.body.size();
    m_phase = phase::Answering;
    m_deadline.clear();
    m_exchange = m_owner->beginExchange(m_connection);
    request.exchange = m_exchange;
    m_owner->deliver(std::move(request));
}

void http_session::refuse(
    std::uint32_t status, const std::string& code, const std::string& detail, const header_list& headers)
{
    ++m_owner->tally().badRequests;
    m_phase = phase::Answering;
    m_parser->keepAlive = false;
    m_parser->buffer.clear();
    m_parser->buffer.shrink_to_fit();
    m_parser->parser.emplace();
    updateReceiveBytes();
    auto problem = makeProblem(status, code, detail);
    problem.headers = headers;
    reply(problem);
}

void http_session::refuseForMemory()
{
    ++m_owner->tally().refusedForMemory;
    refuse(503, "overloaded", "the requests of all callers together are too large", { { "Retry-After", "1" } });
    read();
}

void http_session::updateReceiveBytes()
{
    const bool isRead = !m_closed && m_phase == phase::Reading;
    const auto partial = isRead && m_parser->parser->is_header_done() ? m_parser->parser->get().body().size() : 0;
    const auto held = m_closed ? 0 : m_parser->buffer.capacity() + partial + m_bodyBytes;
    const auto before = std::exchange(m_receiveBytes, held);
    m_owner->addReceiveBytes(static_cast<std::ptrdiff_t>(held) - static_cast<std::ptrdiff_t>(before));
}

/// Gives back what a large request or answer needed, since a connection may stay idle for long.
void http_session::releaseBuffers()
{
    m_bodyBytes = 0;
    m_parser->buffer.shrink_to_fit();
    for (auto* text : { &m_queued, &m_sending }) {
        if (text->empty() && text->capacity() > maxKeptBufferBytes) {
            *text = std::string();
        }
    }
    updateReceiveBytes();
}

//------------------------------------------------------------------------------------------------------------------
// Answers
//------------------------------------------------------------------------------------------------------------------

/// Decides whether the connection stays open after the answer whose head is made now. The head tells the caller, who
/// may send its next request at once, so a later decision to close only holds from the next answer on.
bool http_session::decideKeepAlive()
{
    m_closeAfterAnswer = !m_parser->keepAlive || m_announcesClosing || m_owner->announcesClosing();
    return !m_closeAfterAnswer;
}

void http_session::reply(const http_reply& reply)
{
    if (m_closed || m_phase != phase::Answering || m_streaming) {
        return;
    }
    http::response<http::empty_body> response(static_cast<http::status>(reply.status), m_parser->version);
    response.set(http::field::content_type, reply.contentType);
    setFields(response, reply.headers);
    const bool hasBody = reply.status != 204 && reply.status != 304;
    if (hasBody) {
        response.content_length(reply.body.size());
    }
    response.keep_alive(decideKeepAlive());
    std::string text = headerText(response);
    if (hasBody && !m_headRequest) {
        text += reply.body;
    }
    finishAnswer();
    queue(text);
}

void http_session::beginStream(const header_list& headers)
{
    if (m_closed || m_exchange == 0 || m_streaming) {
        return;
    }
    m_chunked = m_parser->version >= 11;
    if (!m_chunked) {
        m_parser->keepAlive = false;
    }
    http::response<http::empty_body> response(http::status::ok, m_parser->version);
    response.set(http::field::content_type, "text/event-stream");
    response.set(http::field::cache_control, "no-cache");
    setFields(response, headers);
    response.chunked(m_chunked);
    response.keep_alive(decideKeepAlive());
    m_streaming = true;
    queue(headerText(response));
}

void http_session::streamEvent(std::string_view data)
{
    if (m_closed || !m_streaming || m_headRequest) {
        return;
    }
    std::string event;
    std::size_t start = 0;
    while (start <= data.size()) {
        const auto end = std::min(data.find('\n', start), data.size());
        event += "data: ";
        event += data.substr(start, end - start);
        event += '\n';
        start = end + 1;
    }
    event += '\n';
    if (sendBufferBytes() + event.size() > m_owner->settings().maxSendBufferBytes) {
        ++m_owner->tally().slowReaders;
        close("the caller reads too slowly");
        return;
    }
    queueChunk(event);
}

void http_session::endStream()
{
    if (m_closed || !m_streaming) {
        return;
    }
    m_streaming = false;
    finishAnswer();
    if (m_chunked && !m_headRequest) {
        queue(toText(http::make_chunk_last()));
    } else {
        write();
    }
}

void http_session::beginAnswer(std::uint32_t status, const header_list& headers, std::int64_t length)
{
    if (m_closed || m_exchange == 0 || m_streaming) {
        return;
    }
    const bool hasBody = status != 204 && status != 304;
    m_chunked = hasBody && length < 0 && m_parser->version >= 11;
    m_bodyLeft = hasBody ? length : 0;
    if (hasBody && length < 0 && !m_chunked) {
        m_parser->keepAlive = false;
    }
    http::response<http::empty_body> response(http::status::ok, m_parser->version);
    response.result(status);
    setFields(response, headers);
    if (m_chunked) {
        response.chunked(true);
    } else if (hasBody && length >= 0) {
        response.content_length(static_cast<std::uint64_t>(length));
    }
    response.keep_alive(decideKeepAlive());
    m_streaming = true;
    queue(headerText(response));
}

void http_session::answerData(std::string_view data)
{
    if (m_closed || !m_streaming || m_headRequest || data.empty()) {
        return;
    }
    if (m_bodyLeft >= 0) {
        data = data.substr(0, static_cast<std::size_t>(m_bodyLeft));
        m_bodyLeft -= static_cast<std::int64_t>(data.size());
    }
    if (sendBufferBytes() + data.size() > m_owner->settings().maxSendBufferBytes) {
        ++m_owner->tally().slowReaders;
        close("the caller reads too slowly");
        return;
    }
    queueChunk(data);
}

void http_session::endAnswer()
{
    const bool isShort = m_bodyLeft > 0 && !m_headRequest;
    if (m_streaming && isShort) {
        abort();
        return;
    }
    endStream();
}

void http_session::abort()
{
    finishAnswer();
    if (!m_chunked) {
        // Without chunks an orderly close would look like the answer's end.
        boost::system::error_code ignored;
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    close("aborted");
}

/// The owner has nothing more to say on this exchange; the next request is read once the answer is sent.
void http_session::finishAnswer()
{
    if (m_exchange != 0) {
        m_owner->endExchange(std::exchange(m_exchange, 0));
    }
}

void http_session::nextRequest()
{
    m_phase = phase::Idle;
    m_blocked = false;
    m_chunked = true;
    m_streaming = false;
    m_headRequest = false;
    m_bodyLeft = -1;
    m_parser->continued = false;
    releaseBuffers();
    auto& parser = m_parser->parser.emplace();
    parser.eager(true);
    parser.header_limit(static_cast<std::uint32_t>(m_owner->settings().maxHeaderBytes));
    parser.body_limit(m_owner->settings().maxBodyBytes);
    const bool closesSoon = m_owner->draining() || m_announcesClosing;
    setDeadline(closesSoon ? m_owner->settings().drainIdleTime : m_owner->settings().idleTimeout);
}

//------------------------------------------------------------------------------------------------------------------
// Writing
//------------------------------------------------------------------------------------------------------------------

void http_session::queue(std::string_view bytes)
{
    m_queued += bytes;
    m_owner->addSendBytes(static_cast<std::ptrdiff_t>(bytes.size()));
    write();
    updateBlocked();
}

void http_session::queueChunk(std::string_view bytes)
{
    if (m_chunked) {
        queue(toText(http::make_chunk(boost::asio::const_buffer(bytes.data(), bytes.size()))));
    } else {
        queue(bytes);
    }
}

void http_session::write()
{
    if (m_closed || m_writePending) {
        return;
    }
    if (m_sent == m_sending.size()) {
        m_sending.clear();
        m_sent = 0;
        std::swap(m_sending, m_queued);
    }
    if (m_sending.empty()) {
        onAllWritten();
        return;
    }
    m_writePending = true;
    setDeadline(m_owner->settings().writeTimeout);
    const auto bytes = boost::asio::buffer(m_sending.data() + m_sent, m_sending.size() - m_sent);
    m_socket.async_write_some(bytes, [self = shared_from_this()](auto problem, std::size_t written) {
        self->m_writePending = false;
        if (self->m_closed) {
            return;
        }
        if (problem) {
            self->closeByCaller();
            return;
        }
        self->m_sent += written;
        self->m_owner->addSendBytes(-static_cast<std::ptrdiff_t>(written));
        self->write();
        self->updateBlocked();
    });
}

/// Tells the owner when the reader falls behind, and when it has read half of what made it count as behind.
void http_session::updateBlocked()
{
    if (m_closed || m_exchange == 0) {
        return;
    }
    const auto limit = m_owner->blockedSendBytes();
    const bool isBlocked = sendBufferBytes() > (m_blocked ? limit / 2 : limit);
    if (isBlocked != m_blocked) {
        m_blocked = isBlocked;
        m_owner->setBlocked(m_exchange, isBlocked);
    }
}

void http_session::onAllWritten()
{
    if (m_phase == phase::Reading) {
        setDeadline(m_owner->settings().readTimeout);
        return;
    }
    if (m_phase != phase::Answering) {
        return;
    }
    m_deadline.clear();
    if (m_exchange != 0) {
        return;
    }
    if (m_closeAfterAnswer) {
        beginLinger();
        return;
    }
    nextRequest();
    parse();
    read();
}

/// Closing with unread bytes makes the system send a reset, which may destroy the answer before it is read.
void http_session::beginLinger()
{
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_phase = phase::Lingering;
    setDeadline(lingerTime);
    m_parser->buffer.clear();
    read();
}

//------------------------------------------------------------------------------------------------------------------
// Closing
//------------------------------------------------------------------------------------------------------------------

void http_session::closeAfterAnswer()
{
    m_announcesClosing = true;
    if (m_phase == phase::Idle) {
        closeIdle();
    }
}

/// Closes the connection, unless a request has arrived that isn't read yet.
void http_session::closeIdle()
{
    boost::system::error_code problem;
    if (m_socket.available(problem) != 0 && !problem) {
        onReadable();
        return;
    }
    close("idle");
}

void http_session::drain()
{
    if (m_phase == phase::Idle) {
        setDeadline(m_owner->settings().drainIdleTime);
    }
}

void http_session::close(const std::string& reason)
{
    if (!m_closed) {
        countCut();
        end(reason);
    }
}

void http_session::closeByCaller()
{
    if (!m_closed) {
        end("connection closed by the caller");
    }
}

void http_session::end(const std::string& reason)
{
    m_closed = true;
    const auto self = shared_from_this();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_deadline.clear();
    m_owner->addSendBytes(-static_cast<std::ptrdiff_t>(sendBufferBytes()));
    updateReceiveBytes();
    m_queued.clear();
    m_sending.clear();
    m_sent = 0;
    m_owner->endSession(m_connection);
    if (m_exchange != 0) {
        m_owner->loseExchange(std::exchange(m_exchange, 0), reason);
    }
}

/// Counts a close of this side that a request or an answer does not survive.
void http_session::countCut()
{
    auto& tally = m_owner->tally();
    boost::system::error_code problem;
    const auto unread = m_phase == phase::Lingering ? 0 : m_socket.available(problem);
    tally.cutUnread += !problem && unread != 0 ? 1 : 0;
    tally.cutReading += m_phase == phase::Reading ? 1 : 0;
    tally.cutAnswering += m_phase == phase::Answering ? 1 : 0;
}

void http_session::setDeadline(std::chrono::milliseconds timeout)
{
    m_deadline.set(timeout, [self = shared_from_this()] {
        if (!self->m_closed) {
            self->onDeadline();
        }
    });
}

void http_session::onDeadline()
{
    if (m_phase == phase::Idle) {
        ++m_owner->tally().timeouts;
        closeIdle();
        return;
    }
    if (m_writePending) {
        ++m_owner->tally().slowReaders;
    } else if (m_phase != phase::Lingering) {
        ++m_owner->tally().timeouts;
    }
    close("timeout");
}

} // namespace cuminledge::net
