#include <standin_relay/relay.hpp>
#include <standin_relay/relay_admin.hpp>

#include <algorithm>
#include <optional>

#include <catch2/catch.hpp>

#include <net/peer_transport.hpp>

#include "loopback.hpp"

using namespace cuminledge;
using namespace cuminledge::net;
using namespace cuminledge::net::test;
using namespace cuminledge::standin;

namespace {

/// Two processes with a relay between them; left dials.
struct relayed_pair {
    context_thread thread;
    monotonic_clock clock;
    std::vector<std::string> left;
    std::vector<std::string> right;
    std::optional<peer_transport> leftTransport;
    std::optional<peer_transport> rightTransport;
    std::optional<relay> between;

    relayed_pair()
    {
        thread.call([&] {
            rightTransport.emplace(thread.context(), clock, named("right"), handlersFor(right));
            const auto server = "127.0.0.1:" + std::to_string(rightTransport->listen().value());
            between.emplace(thread.context(), "127.0.0.1:0", server);
            const auto port = between->listen().value();
            leftTransport.emplace(thread.context(), clock, named("left"), handlersFor(left));
            leftTransport->listen().value();
            leftTransport->connect("right", "127.0.0.1:" + std::to_string(port));
        });
    }

    ~relayed_pair()
    {
        thread.call([this] {
            leftTransport.reset();
            rightTransport.reset();
            between.reset();
        });
    }

    static peer_transport_settings named(const std::string& name)
    {
        peer_transport_settings settings;
        settings.self.name = name;
        settings.self.role = "gateway";
        settings.self.incarnation = 1;
        settings.secret = "s3cret";
        settings.listenAddress = "127.0.0.1:0";
        settings.heartbeatInterval = std::chrono::milliseconds(20);
        settings.silenceTimeout = std::chrono::milliseconds(200);
        settings.minimumBackoff = std::chrono::milliseconds(5);
        return settings;
    }

    static peer_transport_handlers handlersFor(std::vector<std::string>& log)
    {
        return { [&log](const peer_identity&) { log.emplace_back("up"); },
            [&log](const std::string&, const std::string&) { log.emplace_back("down"); },
            [&log](const std::string&, std::uint64_t, wire::message&&) { log.emplace_back("message"); } };
    }

    bool saw(const std::vector<std::string>& log, const std::string& entry, long count)
    {
        return thread.waitFor([&] { return std::count(log.begin(), log.end(), entry) >= count; });
    }
};

} // namespace

TEST_CASE("a link that goes silent, one way or both, is found at both ends and replaced by a new one")
{
    const auto flow = GENERATE(relay_flow { false, true }, relay_flow { true, false }, relay_flow { false, false });
    relayed_pair pair;
    REQUIRE(pair.saw(pair.left, "up", 1));
    REQUIRE(pair.saw(pair.right, "up", 1));
    pair.thread.call([&] { pair.between->setFlowOfAll(flow); });
    REQUIRE(pair.saw(pair.left, "down", 1));
    REQUIRE(pair.saw(pair.right, "down", 1));
    REQUIRE(pair.saw(pair.left, "up", 2));
    REQUIRE(pair.saw(pair.right, "up", 2));
    CHECK(pair.thread.call([&] { return pair.leftTransport->send("right", wire::attempt_cancel { "a" }); }));
    REQUIRE(pair.saw(pair.right, "message", 1));
}

TEST_CASE("while new connections are silent too, none counts as up; afterwards the peers meet again")
{
    relayed_pair pair;
    REQUIRE(pair.saw(pair.left, "up", 1));
    pair.thread.call([&] {
        pair.between->setFlowOfAll({ false, false });
        pair.between->setFlowOfNew({ false, false });
    });
    REQUIRE(pair.saw(pair.left, "down", 1));
    REQUIRE(pair.thread.waitFor([&] { return pair.between->connections().size() >= 2; }));
    CHECK(std::count(pair.left.begin(), pair.left.end(), "up") == 1);
    pair.thread.call([&] {
        pair.between->setFlowOfNew({});
        pair.between->closeAll();
    });
    REQUIRE(pair.saw(pair.left, "up", 2));
}

TEST_CASE("the relay's orders are checked")
{
    context_thread thread;
    std::optional<relay_admin> admin;
    std::uint16_t port = 0;
    thread.call([&] {
        admin.emplace(thread.context(),
            readRelaySettings(R"({"relays":[{"listen_address":"127.0.0.1:0","server_address":"127.0.0.1:1"}]})").value());
        port = admin->listen().value();
    });
    const auto order = [&](const std::string& body) {
        raw_client client(port);
        client.send("POST /flow HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body);
        return client.readAll();
    };
    CHECK(order(R"({"relay":0,"apply_to":"both","to_client":false})").find(" 200 ") != std::string::npos);
    CHECK(order(R"({"relay":1})").find("$.relay") != std::string::npos);
    CHECK(order(R"({"apply_to":"one","connection":5})").find("$.connection") != std::string::npos);
    CHECK(order(R"({"aply_to":"one"})").find("$.aply_to") != std::string::npos);
    CHECK_FALSE(readRelaySettings(R"({"relays":[{}]})"));
    thread.call([&] { admin.reset(); });
}
