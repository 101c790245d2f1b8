#include "call_path_world.hpp"

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core;
using core::testing::call_path_simulation;
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
    for (auto& character : bytes) {
        character = static_cast<char>(random());
    }
    return bytes;
}

/// Changes, removes, duplicates or inserts a few bytes.
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
        auto chosen = known[random() % known.size()];
        if (random() % 4 == 0) {
            chosen.second = mutate(random, chosen.second);
        }
        r.headers.push_back(chosen);
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

TEST_CASE("every fuzzed request gets exactly one reply and leaves no state behind")
{
    constexpr std::uint64_t seed = 20'261;
    constexpr unsigned count = 4'000;
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    call_path_simulation simulation(seed);
    simulation.addGateway("g1");
    simulation.addSidecar("s1", wire::backend_kind::Engine);
    simulation.addSidecar("s2", wire::backend_kind::Service);
    simulation.advance(milliseconds(1'500));
    std::vector<exchange_id> sent;
    std::map<std::uint32_t, unsigned> statuses;
    for (unsigned i = 0; i < count; ++i) {
        const auto r = fuzz(random);
        sent.push_back(simulation.request("g1", r.method, r.target, r.body, r.headers, r.key));
        if (i % 50 == 0) {
            simulation.advance(milliseconds(50));
        }
    }
    simulation.advance(milliseconds(60'000));
    for (const auto exchange : sent) {
        const auto& r = simulation.results.at(exchange);
        ++statuses[r.status];
        CHECK(r.replies == 1);
        const bool hasRequestId = std::any_of(r.headers.begin(), r.headers.end(),
            [](const auto& header) { return header.first == "Cuminledge-Request-Id" && !header.second.empty(); });
        CHECK(hasRequestId);
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
    CHECK_FALSE(simulation.hasPendingState("g1"));
    for (const auto& [call, times] : simulation.executions) {
        // "read" may be executed repeatedly under one id and "pay" may not. Both use the ids c0 to c49, so only a lower
        // bound can be checked.
        CAPTURE(call);
        CHECK(times > 0);
    }
}
