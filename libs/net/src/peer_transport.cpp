#include <net/peer_transport.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <base/log.hpp>

#include <net/address.hpp>
#include <net/tcp_listener.hpp>

#include "deadline_timer.hpp"
#include "peer_link.hpp"

namespace cuminledge::net {

namespace {

    using tcp = boost::asio::ip::tcp;

    /// One process that is connected or is to be.
    struct peer_state {
        explicit peer_state(boost::asio::io_context& context)
            : dialTimer(context.get_executor())
        {
        }

        bool wanted = false; ///< connect() was called
        std::string address;
        std::uint64_t incarnation = 0;
        std::vector<std::shared_ptr<peer_link>> links; ///< verified; newest last
        std::shared_ptr<peer_link> dialled; ///< not yet verified
        bool dialPlanned = false;
        std::chrono::milliseconds backoff { 0 };
        time_point upSince;
        deadline_timer dialTimer;
        peer_counts ended; ///< of links that are gone
    };

    void addCounts(peer_counts& sum, const peer_link& link)
    {
        sum.framesIn += link.counts().framesIn;
        sum.framesOut += link.counts().framesOut;
        sum.bytesIn += link.counts().bytesIn;
        sum.bytesOut += link.counts().bytesOut;
    }

} // namespace

class peer_transport::impl final : public link_owner, public std::enable_shared_from_this<peer_transport::impl> {
public:
    impl(boost::asio::io_context& context, const clock_source& clock, peer_transport_settings settings,
        peer_transport_handlers handlers)
        : m_context(context)
        , m_clock(clock)
        , m_settings(std::move(settings))
        , m_handlers(std::move(handlers))
        , m_listener(context, [this](tcp::socket socket) { onAccepted(std::move(socket)); })
        , m_heartbeat(context)
        , m_random(m_settings.seed)
        , m_lastTick(clock.now())
    {
    }

    result<std::uint16_t> listen()
    {
        planHeartbeat();
        if (m_settings.listenAddress.empty()) {
            return std::uint16_t { 0 };
        }
        return m_listener.open(m_settings.listenAddress);
    }

    void connect(const std::string& name, const std::string& address)
    {
        auto& peer = stateOf(name);
        peer.wanted = true;
        peer.address = address;
        if (peer.links.empty() && !peer.dialled) {
            planDial(name, peer, std::chrono::milliseconds(0));
        }
    }

    void disconnect(const std::string& name)
    {
        const auto found = m_peers.find(name);
        if (found == m_peers.end()) {
            return;
        }
        const auto peer = std::move(found->second);
        m_peers.erase(found);
        peer->dialTimer.clear();
        if (peer->dialled) {
            peer->links.push_back(peer->dialled);
        }
        for (const auto& link : peer->links) {
            drop(*link);
        }
    }

    bool send(const std::string& name, const wire::message& message)
    {
        const auto found = m_peers.find(name);
        if (found == m_peers.end()) {
            return false;
        }
        const auto links = found->second->links;
        if (!links.empty() && links.back()->send(wire::encodeVariant(message))) {
            return true;
        }
        // The send may have closed the last link of a peer that nobody wants, and so ended the peer.
        if (const auto left = m_peers.find(name); left != m_peers.end()) {
            ++left->second->ended.dropped;
        }
        return false;
    }

    [[nodiscard]] std::vector<peer_counts> counts() const
    {
        std::vector<peer_counts> all;
        for (const auto& [name, peer] : m_peers) {
            peer_counts sum = peer->ended;
            sum.peer = name;
            sum.address = peer->address;
            sum.incarnation = peer->incarnation;
            sum.links = peer->links.size();
            for (const auto& link : peer->links) {
                addCounts(sum, *link);
                sum.sendQueueBytes += link->sendQueueBytes();
            }
            all.push_back(std::move(sum));
        }
        return all;
    }

    void stop()
    {
        m_stopped = true;
        m_listener.close();
        m_heartbeat.cancel();
        m_notices.clear();
        const auto links = std::exchange(m_links, {});
        for (const auto& [id, link] : links) {
            link->disown();
            link->close("stopped");
        }
        m_peers.clear();
    }

    // link_owner

    [[nodiscard]] const peer_transport_settings& settings() const override { return m_settings; }

    [[nodiscard]] time_point now() const override { return m_clock.now(); }

    std::string onVerified(peer_link& link) override
    {
        const auto& identity = link.peer();
        auto& peer = stateOf(identity.name);
        if (peer.dialled.get() == &link) {
            peer.dialled.reset();
        }
        if (!peer.links.empty() && identity.incarnation < peer.incarnation) {
            return "a later incarnation of " + identity.name + " is connected";
        }
        if (!peer.links.empty() && identity.incarnation > peer.incarnation) {
            supersede(peer, identity);
        }
        peer.incarnation = identity.incarnation;
        peer.upSince = now();
        peer.links.push_back(m_links.at(link.id()));
        if (peer.links.size() == 1) {
            notify([this, identity] { m_handlers.onConnected(identity); });
        }
        deliverNotices();
        return {};
    }

    void onFrame(peer_link& link, wire::message&& message) override
    {
        deliverNotices();
        if (!m_stopped && link.isUp()) {
            m_handlers.onMessage(link.peer().name, link.peer().incarnation, std::move(message));
        }
    }

    void onClosed(peer_link& link, const std::string& reason) override
    {
        const auto held = m_links.extract(link.id()); // keeps the link alive to the end of this function
        const std::string name = link.isDialler() ? link.expectedPeer() : link.peer().name;
        const auto found = m_peers.find(name);
        if (found == m_peers.end()) {
            return;
        }
        auto& peer = *found->second;
        if (peer.dialled.get() == &link) {
            logEvent(log_level::Debug, "peer_dial_failed",
                { { "peer", name }, { "address", peer.address }, { "reason", reason } });
            peer.dialled.reset();
        }
        removeLink(name, peer, link, reason);
        if (!peer.links.empty() || peer.dialled) {
            return;
        }
        if (peer.wanted) {
            planDial(name, peer, nextBackoff(peer));
        } else {
            m_peers.erase(found);
        }
    }

private:
    //--------------------------------------------------------------------------------------------------------------
    // Accepting and dialling
    //--------------------------------------------------------------------------------------------------------------

    peer_state& stateOf(const std::string& name)
    {
        auto& peer = m_peers[name];
        if (!peer) {
            peer = std::make_unique<peer_state>(m_context);
        }
        return *peer;
    }

    void onAccepted(tcp::socket socket)
    {
        if (m_links.size() < m_settings.maxLinks) {
            makeLink(std::move(socket), false, {})->start();
        }
    }

    std::shared_ptr<peer_link> makeLink(tcp::socket socket, bool isDialler, const std::string& expectedPeer)
    {
        const auto id = ++m_lastLink;
        auto link = std::make_shared<peer_link>(std::move(socket), id, isDialler, expectedPeer, *this);
        m_links.emplace(id, link);
        return link;
    }

    void planDial(const std::string& name, peer_state& peer, std::chrono::milliseconds delay)
    {
        if (std::exchange(peer.dialPlanned, true)) {
            return;
        }
        peer.dialTimer.set(delay, [self = shared_from_this(), name] { self->dial(name); });
    }

    void dial(const std::string& name)
    {
        const auto found = m_peers.find(name);
        if (found == m_peers.end()) {
            return;
        }
        auto& peer = *found->second;
        peer.dialPlanned = false;
        if (!peer.wanted || !peer.links.empty() || peer.dialled) {
            return;
        }
        const auto endpoint = parseAddress(peer.address, "connect");
        if (!endpoint) {
            logEvent(log_level::Error, "peer_address_invalid", { { "peer", name }, { "address", peer.address } });
            return;
        }
        peer.dialled = makeLink(tcp::socket(m_context), true, name);
        peer.dialled->dial(*endpoint);
    }

    /// Doubles with each failure; a link that was up for a while starts it anew. Jittered, so that the peers of a
    /// process that restarts don't dial it all at once.
    std::chrono::milliseconds nextBackoff(peer_state& peer)
    {
        const bool wasUp = peer.upSince != time_point() && now() - peer.upSince > m_settings.maximumBackoff;
        peer.upSince = time_point();
        const auto doubled = wasUp ? m_settings.minimumBackoff : 2 * peer.backoff;
        peer.backoff = std::clamp(doubled, m_settings.minimumBackoff, m_settings.maximumBackoff);
        std::uniform_int_distribution<std::chrono::milliseconds::rep> jitter(peer.backoff.count() / 2, peer.backoff.count());
        return std::chrono::milliseconds(jitter(m_random));
    }

    //--------------------------------------------------------------------------------------------------------------
    // Links
    //--------------------------------------------------------------------------------------------------------------

    void drop(peer_link& link)
    {
        m_links.erase(link.id());
        link.disown();
        link.close("disconnected");
    }

    void supersede(peer_state& peer, const peer_identity& identity)
    {
        const auto old = std::exchange(peer.links, {});
        for (const auto& link : old) {
            addCounts(peer.ended, *link);
            drop(*link);
        }
        const std::string reason = "replaced by incarnation " + std::to_string(identity.incarnation);
        notify([this, name = identity.name, reason] { m_handlers.onDisconnected(name, reason); });
    }

    void removeLink(const std::string& name, peer_state& peer, peer_link& link, const std::string& reason)
    {
        const auto position = std::find_if(
            peer.links.begin(), peer.links.end(), [&](const auto& candidate) { return candidate.get() == &link; });
        if (position == peer.links.end()) {
            return;
        }
        peer.links.erase(position);
        addCounts(peer.ended, link);
        peer.ended.silent += link.wasSilent() ? 1 : 0;
        notify([this, name, reason] { m_handlers.onDisconnected(name, reason); });
        if (!peer.links.empty()) {
            notify([this, identity = peer.links.back()->peer()] { m_handlers.onConnected(identity); });
        }
    }

    void planHeartbeat()
    {
        m_heartbeat.expires_after(m_settings.heartbeatInterval);
        m_heartbeat.async_wait([self = shared_from_this()](auto cancelled) {
            if (!cancelled && !self->m_stopped) {
                self->onHeartbeat();
                self->planHeartbeat();
            }
        });
    }

    void onHeartbeat()
    {
        // After a pause of this process itself, what the peers sent meanwhile is still to be read.
        const bool judgeSilence = now() - m_lastTick < m_settings.silenceTimeout / 2;
        m_lastTick = now();
        const auto links = m_links;
        for (const auto& [id, link] : links) {
            link->onHeartbeatTick(judgeSilence);
        }
    }

    //--------------------------------------------------------------------------------------------------------------
    // Notices: connects and disconnects reach the owner in the order they happen, but never inside a call of its own
    //--------------------------------------------------------------------------------------------------------------

    void notify(std::function<void()> notice)
    {
        m_notices.push_back(std::move(notice));
        if (m_notices.size() == 1) {
            boost::asio::post(m_context, [self = shared_from_this()] { self->deliverNotices(); });
        }
    }

    void deliverNotices()
    {
        while (!m_notices.empty() && !m_stopped) {
            const auto notice = std::move(m_notices.front());
            m_notices.pop_front();
            notice();
        }
    }

    boost::asio::io_context& m_context;
    const clock_source& m_clock;
    peer_transport_settings m_settings;
    peer_transport_handlers m_handlers;
    tcp_listener m_listener;
    boost::asio::steady_timer m_heartbeat;
    std::mt19937_64 m_random;
    time_point m_lastTick;
    bool m_stopped = false;
    std::uint64_t m_lastLink = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<peer_link>> m_links; ///< all, verified or not
    std::map<std::string, std::unique_ptr<peer_state>> m_peers;
    std::deque<std::function<void()>> m_notices;
};

//------------------------------------------------------------------------------------------------------------------
// peer_transport
//------------------------------------------------------------------------------------------------------------------

peer_transport::peer_transport(boost::asio::io_context& context, const clock_source& clock,
    peer_transport_settings settings, peer_transport_handlers handlers)
    : m_impl(std::make_shared<impl>(context, clock, std::move(settings), std::move(handlers)))
{
}

peer_transport::~peer_transport()
{
    m_impl->stop();
}

result<std::uint16_t> peer_transport::listen()
{
    return m_impl->listen();
}

void peer_transport::connect(const std::string& peer, const std::string& address)
{
    m_impl->connect(peer, address);
}

void peer_transport::disconnect(const std::string& peer)
{
    m_impl->disconnect(peer);
}

bool peer_transport::send(const std::string& peer, const wire::message& message)
{
    return m_impl->send(peer, message);
}

std::vector<peer_counts> peer_transport::counts() const
{
    return m_impl->counts();
}

} // namespace cuminledge::net
