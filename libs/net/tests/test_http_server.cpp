#include <net/http_server.hpp>

#include <memory>
#include <optional>
#include <random>

#include <catch2/catch.hpp>

#include "loopback.hpp"
#include "server_fixture.hpp"

using namespace cuminledge;
using namespace cuminledge::net;
using namespace cuminledge::net::test;

namespace {

const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_CASE("requests on a kept connection, pipelined ones too, are answered in order")
{
    server_fixture fixture;
    raw_client client(fixture.port);
    client.send("POST /one HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET /hold HTTP/1.1\r\nHost: x\r\n\r\nGET /three "
                "HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const auto held = fixture.waitHeld(1);
    CHECK(held >> 56U == 3);
    fixture.thread.call([&] { fixture.server->reply(held, { 201, "text/plain", {}, "two" }); });
    const auto answers = client.readAll();
    const auto one = answers.find("\r\n\r\n/oneabc");
    const auto two = answers.find("\r\n\r\ntwo");
    const auto three = answers.find("\r\n\r\n/three");
    REQUIRE(one != std::string::npos);
    REQUIRE(two != std::string::npos);
    REQUIRE(three != std::string::npos);
    CHECK(one < two);
    CHECK(two < three);
    CHECK(answers.find("X-Was: POST") != std::string::npos);
    CHECK(answers.find("Connection: close") > two);
}

TEST_CASE("broken HTTP gets 400, and oversize 431 or 413, as a problem; the connection then closes")
{
    http_server_settings settings;
    settings.maxHeaderBytes = 512;
    settings.maxBodyBytes = 1000;
    server_fixture fixture(settings);
    const std::vector<std::pair<std::string, std::string>> cases {
        { "nonsense\r\n\r\n", " 400 " },
        { "GET / HTTP/1.1\r\n\r\n", " 400 " },
        { "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", " 400 " },
        { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n", " 400 " },
        { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", " 400 " },
        { "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(4000, 'a') + "\r\n\r\n", " 431 " },
        { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\n\r\n" + std::string(4000, 'a'), " 413 " },
        { "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfa0\r\n" + std::string(4000, 'a') + "\r\n0\r\n\r\n",
            " 413 " },
    };
    for (const auto& [bytes, status] : cases) {
        raw_client client(fixture.port);
        client.send(bytes);
        const auto answer = client.readAll();
        INFO(bytes.substr(0, 60) << " -> " << answer);
        CHECK(answer.find(status) == 8);
        CHECK(answer.find("application/problem+json") != std::string::npos);
        CHECK(answer.find("\"code\":") != std::string::npos);
    }
    CHECK(fixture.thread.call([&] { return fixture.server->counts().badRequests; }) == cases.size());
    CHECK(fixture.thread.call([&] { return fixture.held.size(); }) == 0);
}

TEST_CASE("random bytes hold no memory and end no process")
{
    server_fixture fixture;
    constexpr unsigned seed = 20261;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const std::string start = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n";
    constexpr std::uint64_t clients = 300;
    for (std::uint64_t i = 0; i < clients; ++i) {
        std::string bytes = start;
        for (unsigned change = 0; change < 1 + random() % 6; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        raw_client client(fixture.port);
        client.send(bytes.substr(0, random() % (bytes.size() + 1)));
    }
    // The last clients may have come and gone before the server accepts them.
    REQUIRE(fixture.thread.waitFor([&] {
        const auto now = fixture.server->counts();
        return now.accepted == clients && now.connections == 0;
    }));
    const auto counts = fixture.thread.call([&] { return fixture.server->counts(); });
    CHECK(counts.exchanges == 0);
    CHECK(counts.sendBufferBytes == 0);
    raw_client client(fixture.port);
    client.send(get);
    CHECK(client.readUntil("/a").find(" 200 ") != std::string::npos);
}

TEST_CASE("a caller that goes while its request is processed is reported, once, and only then")
{
    server_fixture fixture;
    raw_client client(fixture.port);
    client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto exchange = fixture.waitHeld(1);
    client.close();
    REQUIRE(fixture.thread.waitFor([&] { return !fixture.gone.empty(); }));
    CHECK(fixture.gone.front().first == exchange);
    fixture.thread.call([&] { fixture.server->reply(exchange, {}); });

    raw_client answered(fixture.port);
    answered.send(get);
    answered.readUntil("/a");
    answered.close();
    REQUIRE(fixture.thread.waitFor([&] { return fixture.server->counts().connections == 0; }));
    CHECK(fixture.gone.size() == 1);
}

// Guards against losing a request under way by the expired deadline for reading it.
TEST_CASE("a request whose last bytes come in the turn in which the read timeout runs out is answered")
{
    http_server_settings settings;
    settings.readTimeout = std::chrono::milliseconds(500);
    server_fixture fixture(settings);
    raw_client client(fixture.port);
    client.send("POST /hold HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
    REQUIRE(client.readUntil("\r\n\r\n").find(" 100 ") != std::string::npos);
    fixture.thread.call([] {}); // the handler of that write, which sets the deadline, is ahead of the next call
    fixture.thread.call([&] {
        client.send("abc");
        std::this_thread::sleep_for(settings.readTimeout);
    });
    const auto exchange = fixture.waitHeld(1);
    fixture.thread.call([&] { fixture.server->reply(exchange, { 200, "text/plain", {}, "answer" }); });
    CHECK(client.readUntil("answer").find(" 200 ") != std::string::npos);
    CHECK(fixture.thread.call([&] { return fixture.gone.empty(); }));
    CHECK(fixture.thread.call([&] { return fixture.server->counts().timeouts; }) == 0);
}

TEST_CASE("a stream arrives event by event and ends in order, or is cut off by abort")
{
    server_fixture fixture;
    raw_client client(fixture.port);
    client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    auto exchange = fixture.waitHeld(1);
    fixture.thread.call([&] {
        fixture.server->beginStream(exchange, { { "X-Id", "7" } });
        fixture.server->streamEvent(exchange, "first");
    });
    CHECK(client.readUntil("data: first\n\n").find("text/event-stream") != std::string::npos);
    fixture.thread.call([&] {
        fixture.server->streamEvent(exchange, "two\nlines");
        fixture.server->endStream(exchange);
    });
    CHECK(client.readUntil("\r\n0\r\n\r\n").find("data: two\ndata: lines\n\n") != std::string::npos);

    client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    exchange = fixture.waitHeld(2);
    fixture.thread.call([&] {
        fixture.server->beginStream(exchange, {});
        fixture.server->abort(exchange);
    });
    CHECK(client.readAll().find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("a slow reader is closed at the bound of its buffer and stalls nobody else")
{
    http_server_settings settings;
    settings.maxSendBufferBytes = 100'000;
    server_fixture fixture(settings);
    raw_client slow(fixture.port);
    slow.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto exchange = fixture.waitHeld(1);
    fixture.thread.call([&] { fixture.server->beginStream(exchange, {}); });
    const std::string event(10'000, 'e');
    std::size_t largest = 0;
    for (int i = 0; i < 20'000 && fixture.thread.call([&] { return fixture.gone.empty(); }); ++i) {
        fixture.thread.call([&] {
            fixture.server->streamEvent(exchange, event);
            largest = std::max(largest, fixture.server->counts().sendBufferBytes);
        });
    }
    CHECK(largest <= settings.maxSendBufferBytes + 100);
    REQUIRE(fixture.gone.size() == 1);
    CHECK(fixture.gone.front().first == exchange);
    CHECK(fixture.thread.call([&] { return fixture.server->counts().slowReaders; }) == 1);
    raw_client other(fixture.port);
    other.send(get);
    CHECK(other.readUntil("/a").find(" 200 ") != std::string::npos);
}

TEST_CASE("connections of a withdrawn key close: idle ones at once, the other after its answer")
{
    server_fixture fixture;
    raw_client idle(fixture.port);
    raw_client busy(fixture.port);
    raw_client other(fixture.port);
    idle.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto first = fixture.waitHeld(1);
    busy.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto second = fixture.waitHeld(2);
    other.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto third = fixture.waitHeld(3);
    fixture.thread.call([&] {
        fixture.server->tagConnection(first, "k1");
        fixture.server->tagConnection(second, "k1");
        fixture.server->tagConnection(third, "k2");
        fixture.server->reply(first, {});
        fixture.server->reply(third, {});
    });
    idle.readUntil("\r\n\r\n");
    other.readUntil("\r\n\r\n");
    fixture.thread.call([&] { fixture.server->closeTagged("k1"); });
    CHECK(idle.readAll().empty());
    fixture.thread.call([&] { fixture.server->reply(second, { 200, "text/plain", {}, "late" }); });
    CHECK(busy.readAll().find("late") != std::string::npos);
    other.send(get);
    CHECK(other.readUntil("/a").find(" 200 ") != std::string::npos);
}

TEST_CASE("a graceful shutdown cuts off no request")
{
    http_server_settings settings;
    settings.drainIdleTime = std::chrono::milliseconds(200);
    server_fixture fixture(settings);
    raw_client streaming(fixture.port);
    raw_client idle(fixture.port);
    raw_client unused(fixture.port);
    streaming.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto exchange = fixture.waitHeld(1);
    idle.send(get);
    idle.readUntil("/a");
    REQUIRE(fixture.thread.waitFor([&] { return fixture.server->counts().connections == 3; }));
    fixture.thread.call([&] {
        fixture.server->beginStream(exchange, {});
        fixture.server->closeListener();
    });
    idle.send(get); // was on its way when the shutdown began
    const auto answer = idle.readAll();
    CHECK(answer.find(" 200 ") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(unused.readAll().empty());
    fixture.thread.call([&] {
        fixture.server->streamEvent(exchange, "last");
        fixture.server->endStream(exchange);
    });
    CHECK(streaming.readAll().find("data: last\n\n\r\n0\r\n\r\n") != std::string::npos);
    CHECK_THROWS(raw_client(fixture.port));
}

namespace {

/// Sends on a connection whose idle timeout passes before the server can read, as on a busy VM.
void sendAsIdleTimeoutPasses(server_fixture& fixture, raw_client& client, const std::string& request)
{
    REQUIRE(fixture.thread.waitFor([&] { return fixture.server->counts().connections == 1; }));
    fixture.thread.call([&] { fixture.server->closeListener(); });
    fixture.thread.call([&] {
        std::this_thread::sleep_for(2 * fixture.drainIdleTime);
        client.send(request);
    });
}

} // namespace

// Guards against closing behind an answer that said keep-alive: the caller's next request was read and dropped.
TEST_CASE("a connection that an answer called open takes the next request, also when closing was announced meanwhile")
{
    server_fixture fixture;
    raw_client client(fixture.port);
    client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto exchange = fixture.waitHeld(1);
    fixture.thread.call([&] {
        fixture.server->tagConnection(exchange, "key");
        fixture.server->beginStream(exchange, {});
    });
    SECTION("by a shutdown")
    {
        fixture.thread.call([&] { fixture.server->announceClosing(); });
    }
    SECTION("by the end of the listener")
    {
        fixture.thread.call([&] { fixture.server->closeListener(); });
    }
    SECTION("for the connections of a key")
    {
        fixture.thread.call([&] { fixture.server->closeTagged("key"); });
    }
    fixture.thread.call([&] { fixture.server->endStream(exchange); });
    client.readUntil("\r\n0\r\n\r\n");
    client.send(get);
    const auto answer = client.readAll();
    CHECK(answer.find(" 200 ") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
}

// Guards against an idle timeout that ends the request which was read in the same turn of the event loop.
TEST_CASE("a request that is read as the idle timeout passes is answered")
{
    server_fixture fixture(server_fixture::shortDrain());
    raw_client client(fixture.port);
    sendAsIdleTimeoutPasses(fixture, client, "GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto exchange = fixture.waitHeld(1);
    fixture.thread.call([&] { fixture.server->reply(exchange, { 200, "text/plain", {}, "late" }); });
    CHECK(client.readAll().find("late") != std::string::npos);
    CHECK(fixture.thread.call([&] { return fixture.gone.size(); }) == 0);
}

// Guards against an idle timeout that closes a connection whose request is not read yet.
TEST_CASE("an idle timeout looks for a request that has arrived")
{
    server_fixture fixture(server_fixture::shortDrain());
    std::vector<std::unique_ptr<raw_client>> clients;
    constexpr std::size_t count = 40;
    for (std::size_t i = 0; i < count; ++i) {
        clients.push_back(std::make_unique<raw_client>(fixture.port));
    }
    REQUIRE(fixture.thread.waitFor([&] { return fixture.server->counts().connections == count; }));
    fixture.thread.call([&] {
        fixture.server->closeListener();
        // All timeouts pass while this handler runs. The requests come after the event loop has collected them.
        std::this_thread::sleep_for(2 * fixture.drainIdleTime);
        for (std::size_t i = 0; i < count; ++i) {
            boost::asio::post(fixture.thread.context(), [&, i] { clients[i]->send(get); });
        }
    });
    for (const auto& client : clients) {
        const auto answer = client->readAll();
        // A connection closed before its request was sent is an ordinary idle close.
        CHECK((answer.empty() || answer.find(" 200 ") != std::string::npos));
    }
    CHECK(fixture.thread.call([&] { return fixture.server->counts().cutUnread; }) == 0);
}

// Guards against a reset of connections that the kernel has accepted before the listener closes.
TEST_CASE("a listener that closes first takes the connections in its backlog")
{
    server_fixture fixture;
    std::vector<std::unique_ptr<raw_client>> clients;
    fixture.thread.call([&] {
        for (int i = 0; i < 20; ++i) {
            clients.push_back(std::make_unique<raw_client>(fixture.port));
            clients.back()->send(get);
        }
        fixture.server->closeListener();
    });
    for (const auto& client : clients) {
        CHECK(client->readAll().find(" 200 ") != std::string::npos);
    }
    CHECK_THROWS(raw_client(fixture.port));
}

TEST_CASE("half a request does not hold its connection for ever")
{
    http_server_settings settings;
    settings.readTimeout = std::chrono::milliseconds(50);
    server_fixture fixture(settings);
    raw_client client(fixture.port);
    client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
    CHECK(client.readAll().empty());
    CHECK(fixture.thread.call([&] { return fixture.server->counts().timeouts; }) == 1);
}

TEST_CASE("connections over the limit are refused")
{
    http_server_settings settings;
    settings.maxConnections = 1;
    server_fixture fixture(settings);
    raw_client first(fixture.port);
    first.send(get);
    first.readUntil("/a");
    raw_client second(fixture.port);
    CHECK(second.readAll().empty());
    CHECK(fixture.thread.call([&] { return fixture.server->counts().refusedConnections; }) == 1);
}

TEST_CASE("an address in use is an error that names it")
{
    server_fixture fixture;
    boost::asio::io_context context;
    http_server second(context, { .address = "127.0.0.1:" + std::to_string(fixture.port) }, {});
    const auto port = second.listen();
    REQUIRE_FALSE(port);
    CHECK(port.error().code == error_code::Unavailable);
    http_server wrong(context, { .address = "localhost" }, {});
    CHECK(wrong.listen().error().code == error_code::InvalidArgument);
}
