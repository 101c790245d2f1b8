#include <net/http_client.hpp>

#include <map>
#include <optional>

#include <catch2/catch.hpp>

#include <net/http_server.hpp>

#include "loopback.hpp"
#include "sse_parser.hpp"

using namespace cuminledge;
using namespace cuminledge::net;
using namespace cuminledge::net::test;

namespace {

constexpr std::chrono::milliseconds shortTimeout { 20 };

/// What became of one request.
struct outcome {
    std::uint32_t status = 0;
    std::vector<std::string> data;
    bool finished = false;
    std::optional<request_phase> failed;
    std::string message;

    [[nodiscard]] bool ended() const { return finished || failed; }
    [[nodiscard]] std::string body() const
    {
        std::string all;
        for (const auto& piece : data) {
            all += piece;
        }
        return all;
    }
};

struct client_fixture {
    context_thread thread;
    std::map<std::string, outcome> outcomes;
    std::function<void(const std::string& id)> whenFinished; ///< called on the context's thread
    std::optional<http_client> client;

    explicit client_fixture(http_client_settings settings = {})
    {
        thread.call([&] {
            client.emplace(thread.context(), settings,
                http_client_handlers {
                    [this](const std::string& id, response_head&& head) { outcomes[id].status = head.status; },
                    [this](const std::string& id, std::string&& data) { outcomes[id].data.push_back(std::move(data)); },
                    [this](const std::string& id) {
                        outcomes[id].finished = true;
                        if (whenFinished) {
                            whenFinished(id);
                        }
                    },
                    [this](const std::string& id, request_phase phase, const std::string& message) {
                        outcomes[id].failed = phase;
                        outcomes[id].message = message;
                    },
                });
        });
    }

    ~client_fixture()
    {
        thread.call([this] { client.reset(); });
    }

    void start(client_request request)
    {
        thread.call([&] { client->start(std::move(request)); });
    }

    outcome wait(const std::string& id)
    {
        REQUIRE(thread.waitFor([&] { return outcomes[id].ended(); }));
        return thread.call([&] { return outcomes[id]; });
    }

    http_client_counts counts()
    {
        return thread.call([&] { return client->counts(); });
    }
};

/// A server that the test plays byte by byte.
struct raw_server {
    boost::asio::io_context context;
    tcp::acceptor acceptor { context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    /// Accepts a connection and reads one request head.
    tcp::socket accept()
    {
        tcp::socket socket = acceptor.accept();
        read(socket);
        return socket;
    }

    static std::string read(tcp::socket& socket)
    {
        std::string text;
        boost::system::error_code problem;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", problem);
        return text;
    }

    static void write(tcp::socket& socket, const std::string& bytes)
    {
        boost::asio::write(socket, boost::asio::buffer(bytes));
    }
};

client_request makeRequest(const std::string& id, const std::string& address)
{
    client_request request;
    request.request = id;
    request.address = address;
    request.target = "/x";
    return request;
}

} // namespace

TEST_CASE("answers by length, by chunks and until the close come whole; a kept connection is used again")
{
    client_fixture fixture;
    raw_server server;
    fixture.start(makeRequest("a", server.address()));
    auto socket = server.accept();
    raw_server::write(socket, "HTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\nhello");
    CHECK(fixture.wait("a").body() == "hello");
    CHECK(fixture.outcomes["a"].status == 201);

    fixture.start(makeRequest("b", server.address()));
    raw_server::read(socket);
    raw_server::write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(fixture.wait("b").body() == "abcde");
    CHECK(fixture.counts().reused == 1);

    auto fresh = makeRequest("c", server.address());
    fresh.freshConnection = true;
    fixture.start(fresh);
    auto second = server.accept();
    raw_server::write(second, "HTTP/1.1 200 OK\r\n\r\nuntil the end");
    second.close();
    CHECK(fixture.wait("c").body() == "until the end");
    CHECK(fixture.counts().dialled == 2);
}

TEST_CASE("server-sent events come one by one, the last one too")
{
    client_fixture fixture;
    raw_server server;
    auto request = makeRequest("s", server.address());
    request.eventStream = true;
    fixture.start(request);
    auto socket = server.accept();
    raw_server::write(socket,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        "9\r\ndata: {\"a\r\n6\r\n\":1}\n\n\r\nE\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
    CHECK(fixture.wait("s").data == std::vector<std::string> { "{\"a\":1}", "[DONE]" });
}

TEST_CASE("a request that fails says how far it got")
{
    client_fixture fixture;
    std::string unused;
    {
        raw_server gone;
        unused = gone.address();
    }
    fixture.start(makeRequest("refused", unused));
    CHECK(fixture.wait("refused").failed == request_phase::NotSent);
    fixture.start(makeRequest("address", "nowhere"));
    CHECK(fixture.wait("address").failed == request_phase::NotSent);
    auto injected = makeRequest("injected", unused);
    injected.headers = { { "A", "b\r\nC: d" } };
    fixture.start(injected);
    CHECK(fixture.wait("injected").failed == request_phase::NotSent);

    raw_server server;
    fixture.start(makeRequest("closed", server.address()));
    server.accept().close();
    CHECK(fixture.wait("closed").failed == request_phase::Sent);

    for (const std::string answer : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe", "HTTP/1.1 2", "nonsense\r\n\r\n" }) {
        fixture.start(makeRequest(answer, server.address()));
        auto socket = server.accept();
        raw_server::write(socket, answer);
        socket.close();
        CHECK(fixture.wait(answer).failed == request_phase::Answering);
    }

    auto silent = makeRequest("silent", server.address());
    silent.silenceTimeout = std::chrono::milliseconds(50);
    fixture.start(silent);
    auto socket = server.accept();
    CHECK(fixture.wait("silent").failed == request_phase::Sent);
    CHECK(fixture.outcomes["silent"].message == "silent past its timeout");
    CHECK(fixture.counts().underWay == 0);
    CHECK(fixture.counts().pooled == 0);
}

TEST_CASE("a connection that its server has closed is not used again, and no request is sent twice")
{
    client_fixture fixture;
    raw_server server;
    fixture.start(makeRequest("a", server.address()));
    auto socket = server.accept();
    raw_server::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(fixture.wait("a").finished);
    socket.close();
    fixture.start(makeRequest("b", server.address()));
    auto next = server.accept();
    raw_server::write(next, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(fixture.wait("b").finished);

    fixture.start(makeRequest("c", server.address()));
    raw_server::read(next);
    next.close(); // after the request came: it may have run, so it is not sent again
    CHECK(fixture.wait("c").failed == request_phase::Sent);
    server.acceptor.non_blocking(true);
    boost::system::error_code problem;
    server.acceptor.accept(problem);
    CHECK(problem == boost::asio::error::would_block);
}

// Guards against failing a request by the expired "unused" deadline of the pooled connection that it was sent on.
TEST_CASE("a pooled connection is kept if a request takes it in the turn in which its unused time runs out")
{
    client_fixture fixture({ .pooledIdleTimeout = shortTimeout });
    raw_server server;
    boost::asio::steady_timer earlier(fixture.thread.context());
    fixture.whenFinished = [&](const std::string& id) {
        if (id != "a") {
            return;
        }
        // Both timers have expired once the reactor runs again; it queues the handler of the earlier one first.
        earlier.expires_after(std::chrono::milliseconds(0));
        earlier.async_wait([&](auto) { fixture.client->start(makeRequest("b", server.address())); });
        std::this_thread::sleep_for(2 * shortTimeout);
    };
    fixture.start(makeRequest("a", server.address()));
    auto socket = server.accept();
    raw_server::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    raw_server::read(socket);
    raw_server::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    const auto taken = fixture.wait("b");
    INFO("failed: " << taken.message);
    CHECK(taken.finished);
    CHECK(fixture.counts().reused == 1);
}

// Guards against failing a request by the expired connect deadline although its connection is up.
TEST_CASE("a connection that comes up in the turn in which the connect timeout runs out serves its request")
{
    client_fixture fixture({ .connectTimeout = shortTimeout });
    raw_server server;
    fixture.thread.call([&] {
        fixture.client->start(makeRequest("a", server.address()));
        std::this_thread::sleep_for(2 * shortTimeout);
    });
    auto socket = server.accept();
    raw_server::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    const auto connected = fixture.wait("a");
    INFO("failed: " << connected.message);
    CHECK(connected.finished);
}

TEST_CASE("cancel closes the connection and calls no handler")
{
    client_fixture fixture;
    raw_server server;
    fixture.start(makeRequest("a", server.address()));
    auto socket = server.accept();
    fixture.thread.call([&] { fixture.client->cancel("a"); });
    CHECK(raw_server::read(socket).empty());
    CHECK_FALSE(fixture.thread.call([&] { return fixture.outcomes["a"].ended(); }));
    CHECK(fixture.counts().underWay == 0);
    fixture.thread.call([&] { fixture.client->cancel("unknown"); });
}

TEST_CASE("large bodies go both ways between the project's own client and server")
{
    client_fixture fixture;
    std::optional<http_server> server;
    std::uint16_t port = 0;
    fixture.thread.call([&] {
        server.emplace(fixture.thread.context(), http_server_settings { .address = "127.0.0.1:0" },
            http_server_handlers { [&](http_request&& request) {
                                      server->reply(request.exchange, { 200, "text/plain", {}, request.body + request.body });
                                  },
                [](std::uint64_t, const std::string&) {} });
        port = server->listen().value();
    });
    auto request = makeRequest("big", "127.0.0.1:" + std::to_string(port));
    request.body = std::string(3'000'000, 'b');
    fixture.start(request);
    CHECK(fixture.wait("big").body().size() == 6'000'000);
    fixture.thread.call([&] { server.reset(); });
}

TEST_CASE("the event parser takes all line ends, joins data lines and bounds an event")
{
    std::vector<std::string> events;
    const auto keep = [&](std::string&& data) { events.push_back(std::move(data)); };
    const std::string text = "data: a\r\ndata:b\r\n\r\n: comment\nid: 3\ndata: c\rdata\n\n\n";
    for (std::size_t step = 1; step < text.size(); ++step) {
        events.clear();
        sse_parser parser(100);
        for (std::size_t at = 0; at < text.size(); at += step) {
            REQUIRE(parser.feed(std::string_view(text).substr(at, step), keep));
        }
        CHECK(events == std::vector<std::string> { "a\nb", "c" });
    }
    sse_parser bounded(100);
    CHECK_FALSE(bounded.feed("data: " + std::string(200, 'x'), keep));
}
