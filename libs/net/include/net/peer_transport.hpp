#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <base/clock.hpp>
#include <base/error.hpp>
#include <wire/message.hpp>

namespace boost::asio {
class io_context;
}

namespace cuminledge::net {

/// What a process says of itself in its hello.
struct peer_identity {
    std::string name; ///< unique in the deployment
    std::string role; ///< "gateway", "sidecar", "controller"
    std::uint64_t incarnation = 0; ///< higher than that of every earlier start of the process
    std::string region;
    std::string failureDomain;
};

struct peer_transport_settings {
    peer_identity self;
    std::string secret; ///< shared by the processes of one deployment; proved by HMAC, never sent
    std::string listenAddress; ///< "IP:PORT", port 0 takes a free one; empty: only dials
    std::chrono::milliseconds heartbeatInterval { 500 };
    std::chrono::milliseconds silenceTimeout { 2'000 }; ///< a link without a frame for so long is closed
    std::chrono::milliseconds handshakeTimeout { 2'000 }; ///< from the dial to the verified hello
    std::chrono::milliseconds minimumBackoff { 50 };
    std::chrono::milliseconds maximumBackoff { 1'000 };
    std::size_t maxSendQueueBytes = 32U << 20U; ///< over it the link is closed
    std::size_t maxLinks = 4096; ///< accepted ones
    std::uint64_t seed = 1; ///< for the back-off's jitter
};

/// What the transport tells its owner, on the io_context's thread, never from within a call of the owner.
struct peer_transport_handlers {
    std::function<void(const peer_identity& peer)> onConnected;

    /// A link is lost, and with it perhaps messages. If another link with that peer is up, onConnected follows at once.
    std::function<void(const std::string& peer, const std::string& reason)> onDisconnected;

    std::function<void(const std::string& peer, std::uint64_t incarnation, wire::message&& message)> onMessage;
};

/// Counts of one peer, for state dumps. They add up over all its links.
struct peer_counts {
    std::string peer;
    std::string address; ///< as given to connect(); empty if only it dials us
    std::uint64_t incarnation = 0;
    std::size_t links = 0;
    std::size_t sendQueueBytes = 0;
    std::uint64_t framesIn = 0;
    std::uint64_t framesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t dropped = 0; ///< messages sent while no link was up
    std::uint64_t silent = 0; ///< links closed at silenceTimeout
};

/**
 * Links between the system's own processes: length-prefixed frames over TCP, each with a version and a bounded size.
 * Both ends say hello and prove by HMAC-SHA-256 over both hellos, which carry random nonces, that they hold the shared
 * secret. Then each sends a frame at least every heartbeatInterval.
 *
 * A peer is named by its hello. A later incarnation of a peer replaces the links of an earlier one; an earlier one is
 * refused. Two processes that dial each other may have two links; send() takes the newest.
 *
 * Not thread-safe: called on the io_context's thread only.
 */
class peer_transport {
public:
    peer_transport(boost::asio::io_context& context, const clock_source& clock, peer_transport_settings settings,
        peer_transport_handlers handlers);

    /// Closes the listener and every link; no handler is called from then on.
    ~peer_transport();

    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    /// Binds and starts to accept. @return the port (0 with an empty listenAddress), or error_code::Unavailable.
    result<std::uint16_t> listen();

    /// Keeps a link with that process, dialling with jittered back-off while none is up, until disconnect().
    /// @param peer the expected name; any other name in the hello is refused.
    /// @param address "IP:PORT"; a second call with another address dials there from then on.
    void connect(const std::string& peer, const std::string& address);

    /// Ends dialling that process and closes all links with it; onDisconnected is not called.
    void disconnect(const std::string& peer);

    /// Sends over the newest live link with that process. With none, the message is dropped.
    /// @return whether it was queued on a link.
    bool send(const std::string& peer, const wire::message& message);

    [[nodiscard]] std::vector<peer_counts> counts() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace cuminledge::net
