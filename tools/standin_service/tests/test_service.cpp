#include <standin_service/service.hpp>

#include <cstdio>
#include <optional>

#include <catch2/catch.hpp>

#include <base/digest.hpp>

#include "loopback.hpp"

using namespace cuminledge;
using namespace cuminledge::standin;
using namespace cuminledge::net::test;

namespace {

struct service_fixture {
    context_thread thread;
    std::optional<service> server;
    std::uint16_t port = 0;

    explicit service_fixture(service_settings settings = {})
    {
        thread.call([&] {
            server.emplace(thread.context(), std::move(settings), 5);
            port = server->listen().value();
        });
    }

    ~service_fixture()
    {
        thread.call([this] { server.reset(); });
    }

    std::string ask(const std::string& method, const std::string& target, const std::string& body = "",
        const std::string& headers = "")
    {
        raw_client client(port);
        client.send(method + " " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        const auto answer = client.readAll();
        const auto start = answer.find("\r\n\r\n");
        return start == std::string::npos ? "" : answer.substr(start + 4);
    }

    std::string call(const std::string& key, const std::string& body, const std::string& account = "a")
    {
        return ask("POST", "/pay", body, "Idempotency-Key: " + key + "\r\nCuminledge-Account: " + account + "\r\n");
    }
};

} // namespace

TEST_CASE("every execution is counted, by call and by account, and answered alike")
{
    service_fixture fixture;
    const auto first = fixture.call("k1", "{}");
    CHECK(first.find("\"receipt\"") != std::string::npos);
    CHECK(fixture.call("k1", "{}") == first);
    CHECK(fixture.call("k2", "{}") != first);
    fixture.call("k1", "{}", "b");
    CHECK(fixture.ask("GET", "/executions") == R"({"k1":3,"k2":1})");
    CHECK(fixture.ask("GET", "/executions?by=account") == R"({"a":{"k1":2,"k2":1},"b":{"k1":1}})");
    CHECK(fixture.ask("POST", "/pay", "{}").find("Idempotency-Key") != std::string::npos);
}

TEST_CASE("faults execute or not as they say")
{
    service_settings settings;
    settings.lateAnswer = std::chrono::milliseconds(1);
    service_fixture fixture(settings);
    CHECK(fixture.call("lost", "LOST-ANSWER").empty());
    CHECK(fixture.call("late", "LATE-ANSWER").find("receipt") != std::string::npos);
    CHECK(fixture.call("delayed", "DELAY=5;").find("receipt") != std::string::npos);
    CHECK(fixture.call("failed", "FAIL-SERVICE").find("told to fail") != std::string::npos);
    CHECK(fixture.ask("GET", "/executions") == R"({"delayed":1,"late":1,"lost":1})");
}

TEST_CASE("counts survive a restart where a file is set")
{
    service_settings settings;
    settings.executionsFile = "test_executions_" + randomHex(8);
    {
        service_fixture fixture(settings);
        fixture.call("k\"1", "{}");
    }
    service_fixture fixture(settings);
    fixture.call("k\"1", "{}");
    CHECK(fixture.ask("GET", "/executions") == R"({"k\"1":2})");
    std::remove(settings.executionsFile.c_str());
}
