#include <standin_engine/engine.hpp>

#include <array>
#include <optional>

#include <catch2/catch.hpp>

#include <base/json.hpp>

#include "loopback.hpp"

using namespace cuminledge;
using namespace cuminledge::standin;
using namespace cuminledge::net::test;

namespace {

constexpr std::size_t answerBytes = 96; ///< 24 tokens

struct engine_fixture {
    context_thread thread;
    monotonic_clock clock;
    std::optional<engine> server;
    std::uint16_t port = 0;

    explicit engine_fixture(engine_settings settings = {})
    {
        thread.call([&] {
            server.emplace(thread.context(), clock, std::move(settings), 5);
            port = server->listen().value();
        });
    }

    ~engine_fixture()
    {
        thread.call([this] { server.reset(); });
    }

    static std::string text(const std::string& method, const std::string& target, const std::string& body, bool close)
    {
        return method + " " + target + " HTTP/1.1\r\nHost: x\r\nCuminledge-Attempt: a1\r\nContent-Length: "
            + std::to_string(body.size()) + (close ? "\r\nConnection: close" : "") + "\r\n\r\n" + body;
    }

    /// @return the answer's body.
    Json::Value ask(const std::string& method, const std::string& target, const std::string& body = "")
    {
        raw_client client(port);
        client.send(text(method, target, body, true));
        const auto answer = client.readAll();
        const auto start = answer.find("\r\n\r\n");
        REQUIRE(start != std::string::npos);
        return parseJson(answer.substr(start + 4), "test").value();
    }

    Json::Value chat(const std::string& content, const std::string& more = "")
    {
        return ask("POST", "/v1/chat/completions",
            R"({"model":"small","messages":[{"role":"user","content":")" + content + "\"}]" + more + "}");
    }

    bool waitFor(const std::string& target, const std::function<bool(const Json::Value&)>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!condition(ask("GET", target))) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
        }
        return true;
    }
};

std::string contentOf(const Json::Value& answer)
{
    return answer["choices"][0]["message"]["content"].asString();
}

} // namespace

TEST_CASE("answers obey max_tokens, resume where they were cut, and are whole as a stream")
{
    engine_fixture fixture;
    const auto whole = fixture.chat("hello");
    CHECK(contentOf(whole).size() == answerBytes);
    CHECK(whole["usage"]["completion_tokens"] == 24);
    CHECK(whole["choices"][0]["finish_reason"] == "stop");

    const auto cut = fixture.chat("hello", R"(,"max_tokens":7)");
    CHECK(contentOf(cut).size() == 28);
    CHECK(cut["choices"][0]["finish_reason"] == "length");
    const auto start = contentOf(cut).substr(0, 26); // ends within a token
    const auto rest = fixture.chat("hello", R"(,"resume_text":")" + start + "\"");
    CHECK(start + contentOf(rest) == contentOf(whole));
    CHECK(fixture.chat("other", R"(,"resume_text":")" + start + "\"")["code"] == "invalid_argument");

    raw_client client(fixture.port);
    client.send(engine_fixture::text("POST", "/v1/chat/completions",
        R"({"model":"small","stream":true,"messages":[{"role":"user","content":"hello"}]})", true));
    const auto stream = client.readAll();
    std::string text;
    for (auto at = stream.find("\"content\":\""); at != std::string::npos; at = stream.find("\"content\":\"", at + 1)) {
        text += stream.substr(at + 11, 4);
    }
    CHECK(text == contentOf(whole));
    CHECK(stream.find("data: [DONE]") != std::string::npos);
    CHECK(stream.find("\"completion_tokens\":24") != std::string::npos);
}

TEST_CASE("a closed connection cancels its request; a hung one stays until then")
{
    engine_fixture fixture;
    raw_client client(fixture.port);
    client.send(engine_fixture::text("POST", "/v1/chat/completions",
        R"({"model":"small","messages":[{"role":"user","content":"HANG-ENGINE"}]})", false));
    REQUIRE(fixture.waitFor("/stats", [](const auto& stats) { return stats["running"] == 1; }));
    CHECK(contentOf(fixture.chat("a neighbour")).size() == answerBytes);
    CHECK(fixture.ask("GET", "/attempts")["a1"]["finished"] == 1);
    client.close();
    REQUIRE(fixture.waitFor("/stats", [](const auto& stats) { return stats["running"] == 0; }));
    CHECK(fixture.ask("GET", "/attempts")["a1"]["cancelled"] == 1);
    CHECK(fixture.ask("GET", "/stats")["running_tokens"] == 0);
}

TEST_CASE("a silent connection gets no more bytes while the request runs to its end")
{
    engine_fixture fixture;
    raw_client client(fixture.port);
    client.send(engine_fixture::text("POST", "/v1/chat/completions",
        R"({"model":"small","stream":true,"messages":[{"role":"user","content":"SILENT-CONNECTION"}]})", false));
    client.readUntil("\n\n");
    REQUIRE(fixture.waitFor("/attempts", [](const auto& attempts) { return attempts["a1"]["finished"] == 1; }));
    client.socket().non_blocking(true);
    std::array<char, 100> bytes {};
    boost::system::error_code problem;
    client.socket().read_some(boost::asio::buffer(bytes), problem);
    CHECK(problem == boost::asio::error::would_block);
}

TEST_CASE("the cache of a program shows, goes to another engine, and is released")
{
    engine_fixture fixture;
    engine_fixture other;
    fixture.chat("hello", R"(,"cuminledge_program":"p1")");
    const auto held = fixture.ask("GET", "/cache")["programs"]["p1"].asInt();
    CHECK(held > 24);
    const auto kv = writeJson(fixture.ask("GET", "/kv/p1"));
    CHECK(other.ask("PUT", "/kv/p1", kv)["programs"]["p1"].asInt() == held);
    CHECK(other.chat("hello", R"(,"cuminledge_program":"p1")")["usage"]["cached_tokens"].asInt() > 0);
    CHECK(fixture.ask("DELETE", "/cache/p1")["released_tokens"].asInt() == held);
    CHECK(fixture.ask("GET", "/stats")["cached_tokens"] == 0);
    REQUIRE(fixture.waitFor("/cache/events?after=1", [](const auto& list) { return list["events"].size() == 1; }));
    CHECK(fixture.ask("GET", "/cache/events?after=1")["events"][0]["kind"] == "released");
    CHECK(other.ask("PUT", "/kv/p2", R"({"prefixes":[[5,1],[4,2]]})")["code"] == "invalid_argument");
}

TEST_CASE("orders with an old fencing number are refused by an engine that checks them, and obeyed by one that does not")
{
    engine_settings settings;
    settings.checkFencing = false;
    engine_fixture checking;
    engine_fixture ignoring(settings);
    const std::string later = R"({"fencing_number":7,"order":"load_model","name":"large@2"})";
    const std::string earlier = R"({"fencing_number":6,"order":"unload_model","name":"large@2"})";
    checking.ask("POST", "/orders", later);
    ignoring.ask("POST", "/orders", later);
    CHECK(checking.ask("POST", "/orders", earlier)["code"] == "stale_fencing_number");
    CHECK(checking.ask("GET", "/orders")["models"].size() == 2);
    CHECK(checking.ask("GET", "/orders")["refused"] == 1);
    CHECK(ignoring.ask("POST", "/orders", earlier)["models"].size() == 1);
    CHECK(ignoring.ask("GET", "/orders")["obeyed"]["6"] == 1);
}

TEST_CASE("every fault of the settings is listed")
{
    const auto settings = readEngineSettings(R"({"batch_limit":0,"slow_factor":"x","unknown":1})");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().message.find("$.batch_limit") != std::string::npos);
    CHECK(settings.error().message.find("$.slow_factor") != std::string::npos);
    CHECK(settings.error().message.find("$.unknown") != std::string::npos);
}
