#include <net/peer_transport.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <random>

#include <catch2/catch.hpp>

#include <base/digest.hpp>

#include "frame.hpp"
#include "loopback.hpp"

using namespace cuminledge;
using namespace cuminledge::net;
using namespace cuminledge::net::test;

namespace {

/// A transport with what it told its owner.
struct node {
    context_thread& thread;
    monotonic_clock clock;
    std::vector<std::string> log; ///< "+name@incarnation", "-name" and the attempts of attempt_cancel messages
    std::string lastReason;
    std::optional<peer_transport> transport;
    std::uint16_t port = 0;

    node(context_thread& contextThread, peer_transport_settings settings)
        : thread(contextThread)
    {
        settings.self.role = "gateway";
        thread.call([&] {
            transport.emplace(thread.context(), clock, std::move(settings),
                peer_transport_handlers {
                    [this](const peer_identity& peer) {
                        log.push_back("+" + peer.name + "@" + std::to_string(peer.incarnation));
                    },
                    [this](const std::string& peer, const std::string& reason) {
                        log.push_back("-" + peer);
                        lastReason = reason;
                    },
                    [this](const std::string&, std::uint64_t, wire::message&& message) {
                        log.push_back(std::get<wire::attempt_cancel>(message).attempt);
                    },
                });
            port = transport->listen().value();
        });
    }

    ~node() { stop(); }

    void stop()
    {
        thread.call([this] { transport.reset(); });
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    void connect(const node& other, const std::string& name)
    {
        thread.call([&] { transport->connect(name, other.address()); });
    }

    bool send(const std::string& peer, const std::string& text)
    {
        return thread.call([&] { return transport->send(peer, wire::attempt_cancel { text }); });
    }

    bool saw(const std::string& entry, long count = 1)
    {
        return thread.waitFor([&] { return std::count(log.begin(), log.end(), entry) >= count; });
    }

    std::size_t links()
    {
        return thread.call([&] {
            std::size_t sum = 0;
            for (const auto& peer : transport->counts()) {
                sum += peer.links;
            }
            return sum;
        });
    }
};

peer_transport_settings named(const std::string& name, std::uint64_t incarnation = 1)
{
    peer_transport_settings settings;
    settings.self.name = name;
    settings.self.incarnation = incarnation;
    settings.secret = "s3cret";
    settings.listenAddress = "127.0.0.1:0";
    settings.minimumBackoff = std::chrono::milliseconds(5);
    settings.maximumBackoff = std::chrono::milliseconds(20);
    return settings;
}

/// Reads frames from a raw connection until one of that kind comes. @return its body, or an empty text at the end.
std::string readFrame(raw_client& client, frame_kind kind)
{
    frame_reader reader;
    reader.setLimit(wire::maxFrameBytes);
    std::array<char, 4096> bytes {};
    while (true) {
        boost::system::error_code problem;
        const auto count = client.socket().read_some(boost::asio::buffer(bytes), problem);
        reader.append({ bytes.data(), count });
        for (auto next = reader.next(); next && *next; next = reader.next()) {
            if ((*next)->kind == kind) {
                return (*next)->body;
            }
        }
        if (problem) {
            return {};
        }
    }
}

std::string makeHello(const std::string& name)
{
    return wire::encodeStruct(hello { name, "gateway", 1, "", "", std::string(32, 'a') });
}

} // namespace

TEST_CASE("two processes meet, whichever dials, and messages go both ways in order")
{
    context_thread thread;
    node left(thread, named("left"));
    node right(thread, named("right", 7));
    CHECK_FALSE(left.send("right", "nobody is there"));
    left.connect(right, "right");
    REQUIRE(left.saw("+right@7"));
    REQUIRE(right.saw("+left@1"));
    for (int i = 0; i < 1000; ++i) {
        CHECK(left.send("right", std::to_string(i)));
    }
    CHECK(right.send("left", "back"));
    REQUIRE(right.saw("999"));
    REQUIRE(left.saw("back"));
    CHECK(right.thread.call([&] { return right.log; }).size() == 1001);
    for (int i = 0; i < 1000; ++i) {
        REQUIRE(right.log[static_cast<std::size_t>(i) + 1] == std::to_string(i));
    }
}

TEST_CASE("a link that breaks is reported and dialled again")
{
    context_thread thread;
    node left(thread, named("left"));
    auto settings = named("right");
    std::optional<node> right;
    right.emplace(thread, settings);
    settings.listenAddress = right->address();
    left.connect(*right, "right");
    REQUIRE(left.saw("+right@1"));
    right.reset();
    REQUIRE(left.saw("-right"));
    settings.self.incarnation = 2;
    right.emplace(thread, settings);
    REQUIRE(left.saw("+right@2"));
    left.thread.call([&] { left.transport->disconnect("right"); });
    REQUIRE(right->saw("-left"));
    CHECK(left.links() == 0);
}

TEST_CASE("a later incarnation replaces the links of an earlier one, which is refused from then on")
{
    context_thread thread;
    node server(thread, named("server"));
    node first(thread, named("client", 1));
    first.connect(server, "server");
    REQUIRE(server.saw("+client@1"));
    node second(thread, named("client", 2));
    second.connect(server, "server");
    REQUIRE(server.saw("+client@2"));
    CHECK(server.log == std::vector<std::string> { "+client@1", "-client", "+client@2" });
    REQUIRE(first.saw("-server", 2)); // dialled again and was refused again
    CHECK(first.lastReason.find("later incarnation") != std::string::npos);
    server.send("client", "for the second");
    REQUIRE(second.saw("for the second"));
}

TEST_CASE("a wrong secret, a wrong name, and a connection to itself are refused")
{
    context_thread thread;
    node server(thread, named("server"));
    auto settings = named("stranger");
    settings.secret = "other";
    node stranger(thread, settings);
    stranger.connect(server, "server");
    node misled(thread, named("misled"));
    misled.connect(server, "another");
    server.connect(server, "server");

    raw_client replay(server.port);
    replay.send(encodeFrame(frame_kind::Hello, makeHello("replay")));
    const auto proof = readFrame(replay, frame_kind::Proof);
    REQUIRE(proof.size() == 64);
    replay.send(encodeFrame(frame_kind::Proof, proof)); // its own proof sent back
    CHECK(readFrame(replay, frame_kind::Refusal) == "wrong secret");

    raw_client early(server.port);
    early.send(encodeFrame(frame_kind::Message, wire::encodeVariant(wire::message(wire::attempt_cancel { "x" }))));
    CHECK(readFrame(early, frame_kind::Refusal) == "expected a hello first");

    node friendly(thread, named("friendly"));
    friendly.connect(server, "server");
    REQUIRE(server.saw("+friendly@1"));
    CHECK(server.log == std::vector<std::string> { "+friendly@1" });
    CHECK(stranger.log.empty());
    CHECK(misled.log.empty());
}

TEST_CASE("an unknown frame version is refused with the version expected")
{
    context_thread thread;
    node server(thread, named("server"));
    raw_client client(server.port);
    auto bytes = encodeFrame(frame_kind::Hello, makeHello("client"));
    bytes[4] = 9;
    client.send(bytes);
    CHECK(readFrame(client, frame_kind::Refusal) == "unknown frame version 9, expected 1");
}

// Guards against closing a verified link by the expired deadline of its handshake.
TEST_CASE("a link that is verified in the turn in which its handshake timeout runs out stays up")
{
    context_thread thread;
    auto settings = named("server");
    settings.handshakeTimeout = std::chrono::milliseconds(1'000);
    node server(thread, settings);
    raw_client client(server.port);
    const auto serverHello = readFrame(client, frame_kind::Hello);
    const auto ownHello = makeHello("client");
    client.send(encodeFrame(frame_kind::Hello, ownHello));
    REQUIRE(readFrame(client, frame_kind::Proof).size() == 64);
    const auto proof = hmacSha256Hex(
        settings.secret, "cuminledge dialler " + std::to_string(ownHello.size()) + " " + ownHello + serverHello);
    thread.call([&] {
        client.send(encodeFrame(frame_kind::Proof, proof));
        std::this_thread::sleep_for(settings.handshakeTimeout);
    });
    REQUIRE(server.saw("+client@1"));
    client.send(encodeFrame(frame_kind::Message, wire::encodeVariant(wire::message(wire::attempt_cancel { "after" }))));
    REQUIRE(thread.waitFor([&] { return server.log.size() >= 2; }));
    INFO("closed: " << server.lastReason);
    CHECK(server.log == std::vector<std::string> { "+client@1", "after" });
}

TEST_CASE("a silent peer is found by heartbeats and closed, a quiet one is kept")
{
    context_thread thread;
    auto settings = named("server");
    settings.heartbeatInterval = std::chrono::milliseconds(20);
    settings.silenceTimeout = std::chrono::milliseconds(200);
    node server(thread, settings);
    auto quietSettings = named("quiet");
    quietSettings.heartbeatInterval = std::chrono::milliseconds(20);
    node quiet(thread, quietSettings);
    quiet.connect(server, "server");
    REQUIRE(server.saw("+quiet@1"));

    context_thread stopped;
    auto silentSettings = named("silent");
    silentSettings.heartbeatInterval = std::chrono::hours(1); // never sends one
    node silent(stopped, silentSettings);
    silent.connect(server, "server");
    REQUIRE(server.saw("+silent@1"));
    REQUIRE(server.saw("-silent"));
    CHECK(server.lastReason == "silent past the heartbeat bound");
    CHECK(std::count(server.log.begin(), server.log.end(), "-quiet") == 0);
}

TEST_CASE("a peer that does not read is closed at the bound of the send queue")
{
    context_thread thread;
    auto settings = named("server");
    settings.maxSendQueueBytes = 100'000;
    node server(thread, settings);
    context_thread stuckThread;
    node stuck(stuckThread, named("stuck"));
    stuck.connect(server, "server");
    REQUIRE(server.saw("+stuck@1"));
    std::promise<void> released;
    std::promise<void> isStuck;
    boost::asio::post(stuckThread.context(), [&isStuck, release = released.get_future().share()] {
        isStuck.set_value();
        release.wait();
    });
    isStuck.get_future().wait();
    const std::string text(10'000, 't');
    int sent = 0;
    while (sent < 20'000 && server.send("stuck", text)) {
        ++sent;
    }
    released.set_value();
    stuckThread.call([] {}); // the handler has ended before its promises do
    CHECK(sent < 20'000);
    REQUIRE(server.saw("-stuck"));
    CHECK(server.lastReason == "send queue over its bound");
}

TEST_CASE("the frame reader survives any bytes and holds no more than its bound")
{
    constexpr unsigned seed = 20262;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto valid = encodeFrame(frame_kind::Message, std::string(300, 'm')) + encodeFrame(frame_kind::Heartbeat, {});
    for (int round = 0; round < 5000; ++round) {
        frame_reader reader;
        std::string bytes = valid;
        for (unsigned change = random() % 4; change > 0; --change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        bool failed = false;
        for (std::size_t at = 0; at < bytes.size() && !failed;) {
            const std::size_t count = std::min<std::size_t>(1 + random() % 200, bytes.size() - at);
            reader.append(std::string_view(bytes).substr(at, count));
            at += count;
            auto next = reader.next();
            while (next && *next) {
                REQUIRE((*next)->body.size() <= maxHelloBytes);
                next = reader.next();
            }
            failed = !next;
            REQUIRE(reader.bufferedBytes() <= maxHelloBytes + 200 + frameHeaderBytes);
        }
    }
}

TEST_CASE("random bytes to a listener leave nothing behind")
{
    context_thread thread;
    node server(thread, named("server"));
    constexpr unsigned seed = 20263;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto valid = encodeFrame(frame_kind::Hello, makeHello("fuzz")) + encodeFrame(frame_kind::Proof, std::string(64, 'a'));
    for (int round = 0; round < 200; ++round) {
        std::string bytes = valid;
        for (unsigned change = 1 + random() % 5; change > 0; --change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        raw_client client(server.port);
        client.send(bytes);
    }
    node friendly(thread, named("friendly"));
    friendly.connect(server, "server");
    REQUIRE(server.saw("+friendly@1"));
    CHECK(server.log == std::vector<std::string> { "+friendly@1" });
}
