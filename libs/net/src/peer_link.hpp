#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <net/peer_transport.hpp>

#include "deadline_timer.hpp"
#include "frame.hpp"

namespace cuminledge::net {

class peer_link;

/// What a link needs of its transport.
class link_owner {
public:
    virtual ~link_owner() = default;
    [[nodiscard]] virtual const peer_transport_settings& settings() const = 0;
    [[nodiscard]] virtual time_point now() const = 0;

    /// The peer has proved the secret. @return why the link is refused all the same, or an empty text.
    virtual std::string onVerified(peer_link& link) = 0;
    virtual void onFrame(peer_link& link, wire::message&& message) = 0;

    /// Comes once for each link, last.
    virtual void onClosed(peer_link& link, const std::string& reason) = 0;
};

/// Totals of a link, for the transport's counts.
struct link_counts {
    std::uint64_t framesIn = 0;
    std::uint64_t framesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
};

/**
 * One TCP connection with another process: the hello in both directions, then messages and heartbeats.
 *
 * Each side sends its hello, and after it has the other's, HMAC(secret, direction + own hello + other's hello). Both
 * nonces are in there, so that an old proof is worth nothing, and the direction, so that a proof can't be sent back to
 * the process that made it.
 */
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    peer_link(boost::asio::ip::tcp::socket socket, std::uint64_t id, bool isDialler, std::string expectedPeer,
        link_owner& owner);

    /// For a dialled link: connects first.
    void dial(const boost::asio::ip::tcp::endpoint& endpoint);

    /// For an accepted link.
    void start();

    /// Queues a message; closes the link if that takes the queue over its bound.
    /// @return whether it was queued.
    bool send(std::string_view encodedMessage);

    /// Sends a heartbeat if nothing else was sent lately, and closes the link if the peer is silent.
    void onHeartbeatTick(bool judgeSilence);

    void close(const std::string& reason);

    /// The owner calls no handler for it any more.
    void disown();

    [[nodiscard]] std::uint64_t id() const { return m_id; }
    [[nodiscard]] bool isDialler() const { return m_isDialler; }
    [[nodiscard]] bool isUp() const { return m_up && !m_closed; }
    [[nodiscard]] const peer_identity& peer() const { return m_peer; }
    [[nodiscard]] const std::string& expectedPeer() const { return m_expectedPeer; }
    [[nodiscard]] std::size_t sendQueueBytes() const { return m_queued.size() + m_sending.size(); }
    [[nodiscard]] const link_counts& counts() const { return m_counts; }
    [[nodiscard]] bool wasSilent() const { return m_silent; }

private:
    void read();
    void onReadable();
    void readFrames();
    std::string handle(frame&& received);
    std::string handleHello(const std::string& body);
    std::string handleProof(const std::string& body);
    std::string handleMessage(const std::string& body);
    [[nodiscard]] std::string proofOf(bool byDialler, const std::string& own, const std::string& others) const;
    void refuse(const std::string& reason);

    void queue(frame_kind kind, std::string_view body);
    void write();
    [[nodiscard]] std::string remoteAddress() const;

    boost::asio::ip::tcp::socket m_socket;
    deadline_timer m_handshake;
    std::uint64_t m_id;
    bool m_isDialler;
    std::string m_expectedPeer; ///< empty on an accepted link
    link_owner* m_owner;
    peer_identity m_peer;
    frame_reader m_reader;
    std::string m_ownHello;
    std::string m_peerHello;
    std::string m_queued;
    std::string m_sending;
    link_counts m_counts;
    time_point m_lastReceived;
    time_point m_lastSent;
    bool m_up = false;
    bool m_closed = false;
    bool m_refused = false;
    bool m_writePending = false;
    bool m_silent = false;
};

} // namespace cuminledge::net
