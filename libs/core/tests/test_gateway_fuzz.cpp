#include "call_path_world.hpp"

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core;
using core::testing::call_path_world;
using std::chrono::milliseconds;

namespace {

using header = std::pair<std::string, std::string>;

struct fuzzed_request {
    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;
    std::string key;
};

std::string pick(std::mt19937_64& random, const std::vector<std::string>& from)
{
    return from[random() % from.size()];
}

std::string randomBytes(std::mt19937_64& random, std::size_t limit)
{
    std::string bytes(random() % limit, '\0');
    for (auto& each : bytes) {
        each = static_cast<char>(random());
    }
    return bytes;
}

/// Changes, removes, doubles or inserts a few bytes.
std::string mutate(std::mt19937_64& random, std::string text)
{
    for (auto count = random() % 4; count > 0 && !text.empty(); --count) {
        const auto at = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1 + random() % 5);
            break;
        case 2:
            text.insert(at, text.substr(at, random() % 20));
            break;
        default:
            text.insert(at, pick(random, { "{", "}", "[", "null", "\"", "-1", "1e99", "\\u0000", ",", "%2f" }));
            break;
        }
    }
    return text;
}

fuzzed_request fuzz(std::mt19937_64& random)
{
    fuzzed_request r;
    r.method = pick(random, { "GET", "POST", "DELETE", "PUT", "PATCH", "", "get" });
    r.target = pick(random,
        { "/v1/programs", "/v1/programs/p1", "/v1/programs/p1/history", "/v1/chat/completions",
            "/v1/services/ledger/pay", "/v1/services/ledger/read", "/v1/services/none/pay", "/v1/calls/c1", "/", "" });
    r.body = pick(random,
        { R"({"route":"chat"})", R"({"route":"chat","budget_tokens":500,"idle_timeout_ms":1000})",
            R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5,"stream":true})",
            R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]})", R"({"amount":1})",
            "", "[]" });
    const std::vector<header> known { { "idempotency-key", "c" + std::to_string(random() % 50) },
        { "cuminledge-program", "p1" }, { "cuminledge-turn", std::to_string(random() % 3) },
        { "authorization", "Bearer" }, { "content-type", "application/json" } };
    for (auto count = random() % 4; count > 0; --count) {
        auto each = known[random() % known.size()];
        if (random() % 4 == 0) {
            each.second = mutate(random, each.second);
        }
        r.headers.push_back(each);
    }
    if (random() % 2 == 0) {
        r.target = mutate(random, r.target);
    }
    if (random() % 2 == 0) {
        r.body = random() % 4 == 0 ? randomBytes(random, 300) : mutate(random, r.body);
    }
    r.key = pick(random, { "ka", "kb", "", "kz" });
    return r;
}

} // namespace

TEST_CASE("whatever a caller sends gets exactly one reply and leaves nothing held")
{
    constexpr std::uint64_t seed = 20'261;
    constexpr unsigned count = 4'000;
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    call_path_world w(seed);
    w.addGateway("g1");
    w.addSidecar("s1", wire::backend_kind::Engine);
    w.addSidecar("s2", wire::backend_kind::Service);
    w.advance(milliseconds(1'500));
    std::vector<exchange_id> sent;
    std::map<std::uint32_t, unsigned> statuses;
    for (unsigned i = 0; i < count; ++i) {
        const auto r = fuzz(random);
        sent.push_back(w.request("g1", r.method, r.target, r.body, r.headers, r.key));
        if (i % 50 == 0) {
            w.advance(milliseconds(50));
        }
    }
    w.advance(milliseconds(60'000));
    for (const auto e : sent) {
        const auto& r = w.results.at(e);
        ++statuses[r.status];
        CHECK(r.replies == 1);
        const bool named = std::any_of(r.headers.begin(), r.headers.end(),
            [](const auto& each) { return each.first == "Cuminledge-Request-Id" && !each.second.empty(); });
        CHECK(named);
        if (r.status >= 400) {
            const auto problem = r.json();
            CHECK(r.contentType == "application/problem+json");
            CHECK_FALSE(problem["code"].asString().empty());
            CHECK_FALSE(problem["ran"].asString().empty());
            CHECK_FALSE(problem["detail"].asString().empty());
        }
    }
    CHECK(statuses[200] > 0);
    CHECK(statuses[201] > 0);
    CHECK_FALSE(w.isHeld("g1"));
    for (const auto& [call, times] : w.executions) {
        // The operation "read" may be repeated under an id; "pay" never is, and both use ids c0 to c49.
        CAPTURE(call);
        CHECK(times > 0);
    }
}
