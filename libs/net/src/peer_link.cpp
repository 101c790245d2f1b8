#include "peer_link.hpp"

#include <array>
#include <utility>

#include <boost/asio/write.hpp>

#include <base/digest.hpp>
#include <base/log.hpp>

namespace cuminledge::net {

namespace {

    constexpr std::size_t readBytes = 64U << 10U;
    constexpr std::size_t nonceBytes = 16;
    constexpr std::size_t maxNameBytes = 256;

    bool isUsable(const hello& h)
    {
        return !h.name.empty() && h.name.size() <= maxNameBytes && !h.role.empty() && h.role.size() <= maxNameBytes
            && h.region.size() <= maxNameBytes && h.failureDomain.size() <= maxNameBytes
            && h.nonce.size() == 2 * nonceBytes;
    }

} // namespace

peer_link::peer_link(boost::asio::ip::tcp::socket socket, std::uint64_t id, bool isDialler, std::string expectedPeer,
    link_owner& owner)
    : m_socket(std::move(socket))
    , m_handshake(m_socket.get_executor())
    , m_id(id)
    , m_isDialler(isDialler)
    , m_expectedPeer(std::move(expectedPeer))
    , m_owner(&owner)
    , m_lastReceived(owner.now())
    , m_lastSent(owner.now())
{
}

void peer_link::dial(const boost::asio::ip::tcp::endpoint& endpoint)
{
    m_handshake.set(m_owner->settings().handshakeTimeout,
        [self = shared_from_this()] { self->close("no connection within the handshake timeout"); });
    m_socket.async_connect(endpoint, [self = shared_from_this()](auto problem) {
        if (self->m_closed) {
            return;
        }
        if (problem) {
            self->close(problem.message());
            return;
        }
        self->start();
    });
}

void peer_link::start()
{
    if (!m_isDialler) {
        m_handshake.set(m_owner->settings().handshakeTimeout,
            [self = shared_from_this()] { self->close("no hello within the handshake timeout"); });
    }
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    const auto& self = m_owner->settings().self;
    m_ownHello = wire::encodeStruct(
        hello { self.name, self.role, self.incarnation, self.region, self.failureDomain, randomHex(nonceBytes) });
    queue(frame_kind::Hello, m_ownHello);
    read();
}

//------------------------------------------------------------------------------------------------------------------
// Reading
//------------------------------------------------------------------------------------------------------------------

void peer_link::read()
{
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](auto problem) {
        if (self->m_closed) {
            return;
        }
        if (problem) {
            self->close(problem.message());
            return;
        }
        self->onReadable();
    });
}

void peer_link::onReadable()
{
    std::array<char, readBytes> bytes;
    boost::system::error_code problem;
    const auto count = m_socket.read_some(boost::asio::buffer(bytes), problem);
    if (problem && problem != boost::asio::error::would_block) {
        close(problem == boost::asio::error::eof ? "closed by the peer" : problem.message());
        return;
    }
    m_counts.bytesIn += count;
    if (count != 0 && !m_refused) {
        m_lastReceived = m_owner->now();
        m_reader.append({ bytes.data(), count });
        readFrames();
    }
    if (!m_closed) {
        read();
    }
}

void peer_link::readFrames()
{
    while (!m_closed && !m_refused) {
        auto next = m_reader.next();
        if (!next) {
            refuse(next.error().message);
            return;
        }
        if (!*next) {
            return;
        }
        ++m_counts.framesIn;
        const auto fault = handle(std::move(**next));
        if (!fault.empty()) {
            refuse(fault);
        }
    }
}

/// @return why the link is refused, or an empty text.
std::string peer_link::handle(frame&& received)
{
    if (received.kind == frame_kind::Refusal) {
        close("refused by the peer: " + received.body.substr(0, maxNameBytes));
        return {};
    }
    if (m_peerHello.empty()) {
        return received.kind == frame_kind::Hello ? handleHello(received.body) : "expected a hello first";
    }
    if (!m_up) {
        return received.kind == frame_kind::Proof ? handleProof(received.body) : "expected the proof after the hello";
    }
    switch (received.kind) {
    case frame_kind::Heartbeat:
        return {};
    case frame_kind::Message:
        return handleMessage(received.body);
    default:
        return "frame kind not allowed after the hello";
    }
}

std::string peer_link::handleHello(const std::string& body)
{
    const auto other = wire::decodeStruct<hello>(body, "hello", remoteAddress());
    if (!other || !isUsable(*other)) {
        return "not a valid hello";
    }
    m_peer = { other->name, other->role, other->incarnation, other->region, other->failureDomain };
    m_peerHello = body;
    if (other->name == m_owner->settings().self.name) {
        return "connection to itself, or two processes with one name: " + other->name;
    }
    if (!m_expectedPeer.empty() && other->name != m_expectedPeer) {
        return "expected " + m_expectedPeer + ", got " + other->name;
    }
    queue(frame_kind::Proof, proofOf(m_isDialler, m_ownHello, m_peerHello));
    return {};
}

std::string peer_link::handleProof(const std::string& body)
{
    if (!equalConstantTime(body, proofOf(!m_isDialler, m_peerHello, m_ownHello))) {
        return "wrong secret";
    }
    m_handshake.clear();
    m_reader.setLimit(wire::maxFrameBytes);
    m_up = true;
    auto fault = m_owner->onVerified(*this);
    if (!fault.empty()) {
        m_up = false;
    }
    return fault;
}

std::string peer_link::handleMessage(const std::string& body)
{
    auto message = wire::decodeVariant<wire::message>(body, "read_message", m_peer.name);
    if (!message) {
        return message.error().message;
    }
    m_owner->onFrame(*this, std::move(*message));
    return {};
}

std::string peer_link::proofOf(bool byDialler, const std::string& own, const std::string& others) const
{
    std::string data = byDialler ? "cuminledge dialler " : "cuminledge acceptor ";
    data += std::to_string(own.size()) + " " + own + others;
    return hmacSha256Hex(m_owner->settings().secret, data);
}

/// Tells the peer why. What it still sends is read and dropped until it closes: closing with unread bytes makes the
/// system send a reset, which may destroy the reason before it is read.
void peer_link::refuse(const std::string& reason)
{
    if (m_closed) {
        return;
    }
    logEvent(log_level::Warning, "peer_link_refused",
        { { "peer", m_peer.name }, { "address", remoteAddress() }, { "reason", reason } });
    m_refused = true;
    m_up = false;
    m_handshake.set(m_owner->settings().handshakeTimeout, [self = shared_from_this()] { self->close("refused"); });
    queue(frame_kind::Refusal, reason);
    const auto owner = std::exchange(m_owner, nullptr);
    if (owner != nullptr) {
        owner->onClosed(*this, reason);
    }
}

//------------------------------------------------------------------------------------------------------------------
// Writing
//------------------------------------------------------------------------------------------------------------------

bool peer_link::send(std::string_view encodedMessage)
{
    if (!isUp()) {
        return false;
    }
    if (encodedMessage.size() > wire::maxFrameBytes) {
        logEvent(log_level::Error, "message_too_large",
            { { "peer", m_peer.name }, { "bytes", std::to_string(encodedMessage.size()) } });
        return false;
    }
    if (sendQueueBytes() + encodedMessage.size() > m_owner->settings().maxSendQueueBytes) {
        close("send queue over its bound");
        return false;
    }
    queue(frame_kind::Message, encodedMessage);
    return true;
}

void peer_link::onHeartbeatTick(bool judgeSilence)
{
    if (!isUp()) {
        return;
    }
    const auto& settings = m_owner->settings();
    const auto now = m_owner->now();
    if (!judgeSilence) {
        m_lastReceived = now;
    } else if (now - m_lastReceived > settings.silenceTimeout) {
        m_silent = true;
        close("silent past the heartbeat bound");
        return;
    }
    if (now - m_lastSent >= settings.heartbeatInterval / 2 && !m_writePending) {
        queue(frame_kind::Heartbeat, {});
    }
}

void peer_link::queue(frame_kind kind, std::string_view body)
{
    m_queued += encodeFrame(kind, body);
    ++m_counts.framesOut;
    write();
}

void peer_link::write()
{
    if (m_closed || m_writePending) {
        return;
    }
    m_sending.clear();
    std::swap(m_sending, m_queued);
    if (m_sending.empty()) {
        if (m_refused) {
            boost::system::error_code ignored;
            m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        }
        return;
    }
    m_writePending = true;
    if (m_owner != nullptr) {
        m_lastSent = m_owner->now();
    }
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_sending), [self = shared_from_this()](auto problem, std::size_t count) {
            self->m_writePending = false;
            self->m_counts.bytesOut += count;
            if (problem) {
                self->close(problem.message());
                return;
            }
            self->write();
        });
}

//------------------------------------------------------------------------------------------------------------------
// Closing
//------------------------------------------------------------------------------------------------------------------

void peer_link::close(const std::string& reason)
{
    if (std::exchange(m_closed, true)) {
        return;
    }
    const auto self = shared_from_this();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_handshake.clear();
    m_queued.clear();
    const auto owner = std::exchange(m_owner, nullptr);
    if (owner != nullptr) {
        owner->onClosed(*this, reason);
    }
}

void peer_link::disown()
{
    m_owner = nullptr;
}

std::string peer_link::remoteAddress() const
{
    boost::system::error_code problem;
    const auto endpoint = m_socket.remote_endpoint(problem);
    return problem ? std::string() : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace cuminledge::net
