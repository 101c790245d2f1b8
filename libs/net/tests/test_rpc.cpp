#include <net/rpc_client.hpp>
#include <net/rpc_connector.hpp>

#include <optional>

#include <catch2/catch.hpp>

#include "loopback.hpp"

using namespace cuminledge;
using namespace cuminledge::net;
using namespace cuminledge::net::test;

namespace {

struct rpc_fixture {
    context_thread thread;
    std::optional<rpc_connector> connector;
    std::vector<std::uint64_t> held;
    std::vector<std::uint64_t> gone;
    std::uint16_t port = 0;

    rpc_fixture()
    {
        thread.call([&] {
            connector.emplace(thread.context(), http_server_settings { .address = "127.0.0.1:0" },
                std::vector<std::string> { "echo", "refuse", "hold" },
                rpc_connector_handlers {
                    [this](std::uint64_t exchange, const std::string& method, const std::string& parameters) {
                        onCall(exchange, method, parameters);
                    },
                    [this](std::uint64_t exchange) { gone.push_back(exchange); },
                });
            port = connector->listen().value();
        });
    }

    ~rpc_fixture()
    {
        thread.call([this] { connector.reset(); });
    }

    void onCall(std::uint64_t exchange, const std::string& method, const std::string& parameters)
    {
        if (method == "echo") {
            boost::asio::post(
                thread.context(), [this, exchange, parameters] { connector->reply(exchange, parameters); });
        } else if (method == "refuse") {
            connector->replyError(exchange, error_code::Conflict, R"({"code":"conflict","holds":"abc"})");
        } else {
            held.push_back(exchange);
        }
    }

    rpc_answer call(const std::string& method, const std::string& parameters)
    {
        return callRpc("127.0.0.1:" + std::to_string(port), method, parameters, patience);
    }

    std::string post(const std::string& body)
    {
        raw_client client(port);
        client.send("POST /rpc HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body);
        return client.readAll();
    }
};

} // namespace

TEST_CASE("a call is answered later with its result, or with its error and details")
{
    rpc_fixture fixture;
    const auto echo = fixture.call("echo", R"({"a":[1,"zwei"],"b":{"c":null}})");
    CHECK(echo.status == rpc_status::Ok);
    CHECK(echo.body == R"({"a":[1,"zwei"],"b":{"c":null}})");
    CHECK(fixture.call("echo", "{}").status == rpc_status::Ok);
    const auto refused = fixture.call("refuse", "{}");
    CHECK(refused.status == rpc_status::Refused);
    CHECK(refused.message == "conflict");
    CHECK(refused.body == R"({"code":"conflict","holds":"abc"})");
    CHECK(fixture.call("unknown", "{}").status == rpc_status::Refused);
}

TEST_CASE("requests that are no valid call are answered with an error and reach nobody")
{
    rpc_fixture fixture;
    const std::vector<std::pair<std::string, std::string>> cases {
        { "{", "-32700" },
        { R"({"jsonrpc":"2.0","method":"echo","id":1,"id":2})", "-32700" },
        { std::string(100'000, '['), "-32700" },
        { "[]", "-32600" },
        { R"([{"jsonrpc":"2.0","method":"hold","id":1}])", "-32600" },
        { R"({"jsonrpc":"2.0","method":"hold"})", "-32600" },
        { R"({"jsonrpc":"1.0","method":"hold","id":1})", "-32600" },
        { R"({"jsonrpc":"2.0","method":5,"id":1})", "-32600" },
        { R"({"jsonrpc":"2.0","method":"hold","id":1,"params":[1]})", "-32602" },
        { R"({"jsonrpc":"2.0","method":"no","id":1})", "-32601" },
    };
    for (const auto& [body, code] : cases) {
        INFO(body.substr(0, 80));
        CHECK(fixture.post(body).find("\"code\":" + code) != std::string::npos);
    }
    CHECK(fixture.held.empty());
    raw_client client(fixture.port);
    client.send("GET /rpc HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CHECK(client.readAll().find(" 405 ") != std::string::npos);
}

TEST_CASE("a call that nobody takes was not sent, one without an answer is unknown")
{
    rpc_fixture fixture;
    const auto shortTime = std::chrono::milliseconds(100);
    const std::string address = "127.0.0.1:" + std::to_string(fixture.port);
    const auto unanswered = callRpc(address, "hold", "{}", shortTime);
    CHECK(unanswered.status == rpc_status::Unknown);
    REQUIRE(fixture.thread.waitFor([&] { return fixture.gone.size() == 1; }));
    fixture.thread.call([&] { fixture.connector.reset(); });
    CHECK(callRpc(address, "hold", "{}", shortTime).status == rpc_status::NotSent);
}
