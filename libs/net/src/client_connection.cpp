#include "client_connection.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <net/address.hpp>

#include "http_text.hpp"
#include "socket_options.hpp"

namespace cuminledge::net {

namespace http = boost::beast::http;

namespace {

    constexpr std::size_t readBytes = 16U << 10U;

    /// What has come of a body. Beast's own body takes memory for the stated length before anything of it has come.
    struct received_body {
        using value_type = std::string;

        class reader {
        public:
            template <bool isRequest, class Fields>
            reader(http::header<isRequest, Fields>& /*head*/, value_type& body)
                : m_body(body)
            {
            }

            void init(const boost::optional<std::uint64_t>& /*statedLength*/, boost::system::error_code& problem)
            {
                problem = {};
            }

            template <class Buffers>
            std::size_t put(const Buffers& buffers, boost::system::error_code& problem)
            {
                problem = {};
                std::size_t count = 0;
                for (auto at = boost::asio::buffer_sequence_begin(buffers); at != boost::asio::buffer_sequence_end(buffers); ++at) {
                    const boost::asio::const_buffer bytes(*at);
                    m_body.append(static_cast<const char*>(bytes.data()), bytes.size());
                    count += bytes.size();
                }
                return count;
            }

            void finish(boost::system::error_code& problem) { problem = {}; }

        private:
            value_type& m_body;
        };
    };

    using answer_parser = http::response_parser<received_body>;

    std::string requestText(const client_request& request)
    {
        http::request<http::empty_body> message;
        message.version(11);
        message.method_string(request.method);
        message.target(request.target);
        if (!request.keepsHost) {
            message.set(http::field::host, request.address);
        }
        for (const auto& [name, value] : request.headers) {
            message.insert(name, value);
        }
        const bool hasBody = !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
        if (hasBody) {
            message.content_length(request.body.size());
        }
        return headerText(message) + request.body;
    }

    response_head headOf(answer_parser& parser)
    {
        response_head head;
        head.status = parser.get().result_int();
        for (const auto& field : parser.get()) {
            head.headers.emplace_back(lowerCase(field.name_string()), std::string(field.value()));
        }
        if (const auto length = parser.content_length()) {
            head.length = static_cast<std::int64_t>(*length);
        }
        return head;
    }

    /// @return whether the parser has read a head of status 1xx, which precedes the answer. 101 ends the protocol, which
    /// no request asks for, so it is treated as an answer.
    bool isInformational(const answer_parser& parser)
    {
        constexpr unsigned switchingProtocols = 101;
        const auto status = parser.is_header_done() ? parser.get().result_int() : 0U;
        return status >= 100 && status < 200 && status != switchingProtocols;
    }

    bool isStatus(unsigned status)
    {
        return status >= 100 && status < 600;
    }

    /// @return the timeout of the Keep-Alive header; 0: it has none.
    std::chrono::milliseconds statedIdleTimeout(const http::fields& fields)
    {
        const std::string text(fields[http::field::keep_alive]);
        constexpr std::string_view name = "timeout=";
        constexpr std::size_t maxDigits = 6;
        const auto at = text.find(name);
        if (at == std::string::npos) {
            return std::chrono::milliseconds(0);
        }
        std::int64_t seconds = 0;
        for (std::size_t i = at + name.size(); i < text.size() && i < at + name.size() + maxDigits; ++i) {
            if (text[i] < '0' || text[i] > '9') {
                break;
            }
            seconds = seconds * 10 + (text[i] - '0');
        }
        return std::chrono::seconds(seconds);
    }

} // namespace

struct client_connection::parser_state {
    boost::beast::flat_buffer buffer;
    std::optional<answer_parser> parser;
};

client_connection::client_connection(boost::asio::io_context& context, std::string address, connection_owner& owner)
    : m_socket(context)
    , m_deadline(context.get_executor())
    , m_address(std::move(address))
    , m_owner(&owner)
    , m_parser(std::make_unique<parser_state>())
{
}

client_connection::~client_connection() = default;

void client_connection::start(client_request request)
{
    m_request = std::move(request);
    m_busy = true;
    m_paused = false;
    m_responded = false;
    m_phase = request_phase::NotSent;
    m_events.reset();
    m_informationalHeads = 0;
    m_isAnswerEnded = false;
    expectHead();
    m_sending = requestText(m_request);
    m_sent = 0;
    m_request.body.clear();
    if (m_connected) {
        restartSilence();
        sendRequest();
    } else {
        dial();
    }
}

void client_connection::expectHead()
{
    auto& parser = m_parser->parser.emplace();
    // Beast forgets that the stated length is over the limit if it goes on to the body in the same call.
    parser.eager(false);
    parser.header_limit(static_cast<std::uint32_t>(m_owner->settings().maxHeaderBytes));
    parser.body_limit(m_owner->settings().maxBodyBytes);
    parser.skip(m_request.method == "HEAD");
}

bool client_connection::isOpen()
{
    char byte = 0;
    boost::system::error_code problem;
    m_socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, problem);
    return problem == boost::asio::error::would_block;
}

//------------------------------------------------------------------------------------------------------------------
// Sending
//------------------------------------------------------------------------------------------------------------------

void client_connection::dial()
{
    const auto endpoint = parseAddress(m_address, "connect");
    if (!endpoint) {
        // A handler is never called from within start().
        boost::asio::post(m_socket.get_executor(),
            [self = shared_from_this(), message = endpoint.error().message] { self->fail(message); });
        return;
    }
    setDeadline(m_owner->settings().connectTimeout, "no connection within the connect timeout");
    m_socket.async_connect(*endpoint, [self = shared_from_this()](auto problem) {
        if (self->m_closed) {
            return;
        }
        if (problem) {
            self->fail(problem.message());
            return;
        }
        self->m_connected = true;
        boost::system::error_code ignored;
        self->m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        detectDeadPeer(self->m_socket);
        self->m_socket.non_blocking(true, ignored);
        self->restartSilence();
        self->sendRequest();
        self->read();
    });
}

/// Writes without a completion handler, so that the phase is right at any moment: an end of the connection that is
/// noticed while a written byte waits for its handler would count as NotSent.
void client_connection::sendRequest()
{
    boost::system::error_code problem;
    const auto count = m_socket.write_some(boost::asio::buffer(m_sending.data() + m_sent, m_sending.size() - m_sent), problem);
    if (count != 0) {
        m_phase = request_phase::Sent;
        m_sent += count;
        restartSilence();
    }
    if (m_sent == m_sending.size()) {
        m_sending.clear();
        if (m_isAnswerEnded) {
            onEnd("connection closed by the server", true);
        }
        return;
    }
    if (problem && problem != boost::asio::error::would_block) {
        // The system reports a reset once. The next read would see an ordinary end.
        m_isReset = true;
        boost::asio::post(m_socket.get_executor(),
            [self = shared_from_this(), message = problem.message()] { self->fail(message); });
        return;
    }
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_write, [self = shared_from_this()](auto cancelled) {
        if (!cancelled && !self->m_closed) {
            self->sendRequest();
        }
    });
}

//------------------------------------------------------------------------------------------------------------------
// The answer
//------------------------------------------------------------------------------------------------------------------

void client_connection::pause()
{
    m_paused = true;
    if (m_connected) {
        m_deadline.clear();
    }
}

void client_connection::resume()
{
    if (!std::exchange(m_paused, false) || !m_connected) {
        return;
    }
    restartSilence();
    read();
}

void client_connection::read()
{
    if (m_readPending || m_paused) {
        return;
    }
    m_readPending = true;
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](auto problem) {
        self->m_readPending = false;
        if (self->m_closed || self->m_paused) {
            return;
        }
        if (problem) {
            self->onEnd(problem.message(), false);
            return;
        }
        self->onReadable();
    });
}

void client_connection::onReadable()
{
    std::array<char, readBytes> bytes;
    boost::system::error_code problem;
    const auto count = m_socket.read_some(boost::asio::buffer(bytes), problem);
    if (problem == boost::asio::error::would_block) {
        read();
        return;
    }
    if (problem) {
        const bool isOrderly = problem == boost::asio::error::eof;
        onEnd(isOrderly ? "connection closed by the server" : problem.message(), isOrderly);
        return;
    }
    onBytes({ bytes.data(), count });
    if (!m_closed) {
        read();
    }
}

void client_connection::onBytes(std::string_view bytes)
{
    if (!m_busy) {
        onEnd("bytes without a request", false);
        return;
    }
    m_phase = request_phase::Answering;
    restartSilence();
    if (!parse(bytes)) {
        return;
    }
    if (m_parser->parser->is_done()) {
        finish();
    }
}

/// @return whether the connection goes on.
bool client_connection::parse(std::string_view bytes)
{
    const auto self = shared_from_this();
    auto& buffer = m_parser->buffer;
    const auto copied = boost::asio::buffer_copy(
        buffer.prepare(bytes.size()), boost::asio::const_buffer(bytes.data(), bytes.size()));
    buffer.commit(copied);
    while (buffer.size() != 0 && !m_parser->parser->is_done()) {
        boost::system::error_code problem;
        buffer.consume(m_parser->parser->put(buffer.data(), problem));
        if (problem && problem != http::error::need_more) {
            fail("not a valid answer: " + problem.message());
            return false;
        }
        m_parser->parser->eager(m_parser->parser->is_header_done());
        if (isInformational(*m_parser->parser)) {
            if (!skipInformationalHead()) {
                return false;
            }
            continue;
        }
        if (!deliverBody()) {
            return false;
        }
        if (problem) {
            break;
        }
    }
    // The parser takes bodies as they come, so what it leaves is the start of a line, which it bounds only in the head.
    if (buffer.size() > m_owner->settings().maxHeaderBytes && !m_parser->parser->is_done()) {
        fail("a line of the answer over its size limit");
        return false;
    }
    return true;
}

/// Goes on to the next head. A server may announce its answer any number of times, so they are counted.
/// @return whether the connection goes on.
bool client_connection::skipInformationalHead()
{
    constexpr int maxInformationalHeads = 8;
    if (++m_informationalHeads > maxInformationalHeads) {
        fail("too many informational heads before the answer");
        return false;
    }
    expectHead();
    return true;
}

/// @return whether the connection goes on.
bool client_connection::deliverBody()
{
    auto& parser = *m_parser->parser;
    if (!parser.is_header_done()) {
        return true;
    }
    if (!isStatus(parser.get().result_int())) {
        fail("not a valid answer: status " + std::to_string(parser.get().result_int()));
        return false;
    }
    if (!std::exchange(m_responded, true)) {
        const auto type = parser.get()[http::field::content_type];
        if (m_request.eventStream && type.starts_with("text/event-stream")) {
            m_events.emplace(m_owner->settings().maxEventBytes);
        }
        m_idleTimeout = statedIdleTimeout(parser.get());
        m_owner->onResponse(m_request.request, headOf(parser));
    }
    std::string piece = std::exchange(parser.get().body(), {});
    if (m_closed || piece.empty()) {
        return !m_closed;
    }
    if (!m_events) {
        m_owner->onData(m_request.request, std::move(piece));
        return !m_closed;
    }
    const bool fits = m_events->feed(piece, [this](std::string&& data) {
        if (!m_closed) {
            m_owner->onData(m_request.request, std::move(data));
        }
    });
    if (!fits && !m_closed) {
        fail("a server-sent event over its size limit");
    }
    return !m_closed;
}

void client_connection::finish()
{
    auto& parser = *m_parser->parser;
    const bool reusable = parser.keep_alive() && m_parser->buffer.size() == 0 && m_sending.empty();
    m_busy = false;
    m_deadline.clear();
    m_parser->parser.reset();
    const auto owner = m_owner;
    const std::string request = std::exchange(m_request, {}).request;
    const auto self = shared_from_this();
    if (reusable) {
        setDeadline(unusedTimeout(), "unused");
    } else {
        drop();
    }
    owner->onFinished(*this, request, reusable);
}

/// The server has closed the connection, or it broke.
void client_connection::onEnd(const std::string& reason, bool isOrderly)
{
    if (!m_busy) {
        closeIdle();
        return;
    }
    auto& parser = *m_parser->parser;
    boost::system::error_code problem;
    // A body without a stated length ends with its connection; one that broke is not known to be whole. While the request
    // is being written, a reset may still follow the end.
    const bool endsAnswer = isOrderly && !m_isReset && parser.is_header_done();
    if (endsAnswer && parser.need_eof() && !m_sending.empty()) {
        m_isAnswerEnded = true;
        return;
    }
    if (endsAnswer) {
        parser.put_eof(problem);
        if (!problem && parser.is_done()) {
            finish();
            return;
        }
    }
    fail(reason);
}

/// @return for how long the connection may wait for its next request.
std::chrono::milliseconds client_connection::unusedTimeout() const
{
    const auto own = m_owner->settings().pooledIdleTimeout;
    if (m_idleTimeout.count() == 0) {
        return own;
    }
    // A request must not cross the server's close, so the connection is given up well before.
    return std::min(own, m_idleTimeout / 2);
}

//------------------------------------------------------------------------------------------------------------------
// Closing
//------------------------------------------------------------------------------------------------------------------

void client_connection::fail(const std::string& message)
{
    if (m_closed) {
        return;
    }
    const auto self = shared_from_this();
    auto* owner = m_owner;
    const std::string request = m_request.request;
    drop();
    owner->onFailed(*this, request, m_phase, message);
}

void client_connection::closeIdle()
{
    const auto self = shared_from_this();
    auto* owner = m_owner;
    drop();
    owner->onIdleClosed(*this);
}

void client_connection::onTimeout(const char* message)
{
    if (m_busy) {
        fail(message);
    } else {
        closeIdle();
    }
}

void client_connection::drop()
{
    m_closed = true;
    m_owner = nullptr;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_deadline.clear();
}

void client_connection::restartSilence()
{
    if (m_request.silenceTimeout.count() != 0 && !m_paused) {
        setDeadline(m_request.silenceTimeout, "silent past its timeout");
    } else {
        m_deadline.clear();
    }
}

void client_connection::setDeadline(std::chrono::milliseconds timeout, const char* message)
{
    m_deadline.set(timeout, [self = shared_from_this(), message] {
        if (!self->m_closed) {
            self->onTimeout(message);
        }
    });
}

} // namespace cuminledge::net
