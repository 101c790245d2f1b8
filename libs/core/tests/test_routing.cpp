#include <core/routing/choose_backend.hpp>
#include <core/routing/retry.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace cuminledge;
using namespace cuminledge::core::routing;
using namespace std::chrono_literals;

namespace {

const time_point start { 1h };
const time_point settled = start + 1min; // after slow start
constexpr std::uint64_t seed = 7;

wire::backend_record makeRecord(int number, const std::string& domain = "a", const std::string& region = "r")
{
    wire::backend_record record;
    record.backend = "engine-" + std::to_string(number);
    record.incarnation = 1;
    record.region = region;
    record.failureDomain = domain;
    record.models = { "model" };
    record.batchLimit = 8;
    return record;
}

backend_table makeTable(int servers, const routing_settings& settings = {})
{
    auto table = makeBackendTable("r", "a", settings);
    std::vector<wire::backend_record> records;
    records.reserve(static_cast<std::size_t>(servers));
    for (int i = 0; i < servers; ++i) {
        records.push_back(makeRecord(i));
    }
    applyMembership(table, records, true, start);
    return table;
}

wire::load_report makeReport(std::uint32_t running, std::uint32_t waiting = 0)
{
    wire::load_report report;
    report.running = running;
    report.waiting = waiting;
    report.prefillTokensPerSecond = 8'000;
    report.decodeTokensPerSecond = 40;
    return report;
}

route_request makeRequest(const std::string& home = "", std::int64_t history = 0)
{
    return { "model", home, history, 300, 100, {} };
}

std::string choose(backend_table& table, const route_request& request, time_point now, std::mt19937_64& random)
{
    const auto choice = chooseBackend(table, request, now, random);
    return choice.index == noBackend ? "" : table.details[choice.index].backend;
}

/// Many attempts are sent between two load reports. @return the most that one server got.
int largestHerd(bool useOwnInFlight)
{
    routing_settings settings;
    settings.useOwnInFlight = useOwnInFlight;
    settings.randomCandidates = 0;
    auto table = makeTable(10, settings);
    std::mt19937_64 random(seed);
    std::map<std::string, int> sent;
    for (int i = 0; i < 100; ++i) {
        const auto backend = choose(table, makeRequest(), settled, random);
        onAttemptStarted(table, backend, 300, settled);
        ++sent[backend];
    }
    int most = 0;
    for (const auto& [backend, count] : sent) {
        most = std::max(most, count);
    }
    return most;
}

/// A server has just come back idle, the others are busy. @return how many of 100 attempts it gets at once.
int sentToReturned(bool useSlowStart)
{
    routing_settings settings;
    settings.useSlowStart = useSlowStart;
    settings.useOwnInFlight = false; // as if a hundred gateways sent one attempt each
    auto table = makeTable(10, settings);
    for (int i = 0; i < 10; ++i) {
        onLoadReport(table, "engine-" + std::to_string(i), makeReport(9, 4), settled);
    }
    auto back = makeRecord(3);
    back.incarnation = 2;
    applyMembership(table, { back }, false, settled);
    std::mt19937_64 random(seed);
    int count = 0;
    for (int i = 0; i < 100; ++i) {
        count += choose(table, makeRequest(), settled + 500ms, random) == "engine-3" ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("The home is kept for a long history and left when it is overloaded", "[routing]")
{
    auto table = makeTable(10);
    std::mt19937_64 random(seed);
    CHECK(choose(table, makeRequest("engine-4", 40'000), settled, random) == "engine-4");
    onLoadReport(table, "engine-4", makeReport(8, 200), settled);
    CHECK(choose(table, makeRequest("engine-4", 4'000), settled, random) != "engine-4");
}

TEST_CASE("The cache is copied where that is cheaper than a new prefill", "[routing]")
{
    routing_settings settings;
    settings.transferTokensPerSecond = 100'000;
    auto table = makeTable(2, settings);
    const auto elsewhere = predictAt(table, makeRequest("engine-0", 10'000), 1, settled);
    CHECK(elsewhere.transferCache);
    CHECK(elsewhere.prefillTokens == 300);
    table.settings.transferTokensPerSecond = 1'000;
    CHECK_FALSE(predictAt(table, makeRequest("engine-0", 10'000), 1, settled).transferCache);
    CHECK(predictAt(table, makeRequest("engine-0", 10'000), 1, settled).prefillTokens == 10'300);
}

TEST_CASE("Attempts sent since the last report count, so that a stale report draws no herd", "[routing]")
{
    CHECK(largestHerd(true) <= 15);
    CHECK(largestHerd(false) == 100);
}

TEST_CASE("An attempt sent after an old report was made is not taken for reported", "[routing]")
{
    auto table = makeTable(1);
    onAttemptStarted(table, "engine-0", 300, settled);
    onAttemptStarted(table, "engine-0", 300, settled + 900ms);
    onLoadReport(table, "engine-0", makeReport(1), settled + 1s, 500ms);
    CHECK(table.rows[0].ownSinceReport == 1);
    onLoadReport(table, "engine-0", makeReport(2), settled + 2s);
    CHECK(table.rows[0].ownSinceReport == 0);
    CHECK(table.rows[0].ownInFlight == 2);
}

TEST_CASE("A server that has just come back gets its load little by little", "[routing]")
{
    CHECK(sentToReturned(true) < 10);
    CHECK(sentToReturned(false) > 10);
}

TEST_CASE("A server that fails is ejected for a while, but never too many of them", "[routing]")
{
    auto table = makeTable(6);
    std::mt19937_64 random(seed);
    const auto failAll = [&table](const std::string& backend) {
        for (int i = 0; i < 3; ++i) {
            onAttemptStarted(table, backend, 300, settled);
            onAttemptFailed(table, backend, settled);
        }
    };
    failAll("engine-0");
    for (int i = 0; i < 50; ++i) {
        CHECK(choose(table, makeRequest("engine-0", 40'000), settled, random) != "engine-0");
    }
    for (int i = 1; i < 6; ++i) {
        failAll("engine-" + std::to_string(i));
    }
    CHECK(table.ejectionCount == 2); // a third of six
    CHECK(table.rows[0].ejectedUntil <= settled + 5s);
    CHECK(choose(table, makeRequest("engine-0", 40'000), settled + 30s, random) == "engine-0");
}

TEST_CASE("The own failure domain comes first, then the own region, then any", "[routing]")
{
    auto table = makeBackendTable("r", "a");
    std::mt19937_64 random(seed);
    applyMembership(table, { makeRecord(0, "a"), makeRecord(1, "b"), makeRecord(2, "c", "far") }, true, start);
    CHECK(choose(table, makeRequest(), settled, random) == "engine-0");
    onLoadReport(table, "engine-0", makeReport(8, 50), settled);
    CHECK(choose(table, makeRequest(), settled, random) == "engine-1"); // a queue at home lets the region in
    applyMembership(table, { makeRecord(1, "b"), makeRecord(2, "c", "far") }, true, settled);
    CHECK(choose(table, makeRequest(), settled + 1min, random) == "engine-1");
    applyMembership(table, { makeRecord(2, "c", "far") }, true, settled);
    CHECK(choose(table, makeRequest(), settled + 2min, random) == "engine-2");
    applyMembership(table, {}, true, settled);
    CHECK(choose(table, makeRequest(), settled, random).empty());
}

TEST_CASE("Whatever the membership, only usable servers are chosen", "[routing]")
{
    const bool held = rc::check("chosen: in use, of the model, not draining, not excluded", [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        auto table = makeBackendTable("r", "a");
        std::map<std::string, wire::backend_record> truth;
        auto now = start;
        for (int step = 0; step < 200; ++step) {
            now += std::chrono::milliseconds(random() % 2'000);
            const int number = static_cast<int>(random() % 12);
            auto record = makeRecord(number, std::string(1, static_cast<char>('a' + number % 3)));
            record.incarnation = 1 + static_cast<std::uint64_t>(step);
            record.draining = random() % 4 == 0;
            record.withdrawn = random() % 4 == 0;
            record.models = { number % 2 == 0 ? "model" : "other" };
            applyMembership(table, { record }, false, now);
            truth[record.backend] = record;
            if (random() % 3 == 0) {
                onAttemptFailed(table, record.backend, now);
            }
            auto request = makeRequest("engine-" + std::to_string(random() % 12), 1'000);
            request.exclude = { "engine-" + std::to_string(random() % 12) };
            std::uint64_t turn = random();
            const auto isUsable = [&](const std::string& backend) {
                const auto found = truth.find(backend);
                return found != truth.end() && !found->second.draining && !found->second.withdrawn
                    && found->second.models.front() == "model" && backend != request.exclude.front();
            };
            bool any = false;
            for (const auto& [backend, r] : truth) {
                any = any || isUsable(backend);
            }
            // The naive ways choose somebody exactly where ours does.
            for (const auto& choice : { chooseBackend(table, request, now, random),
                     chooseRoundRobin(table, request, turn), chooseByCacheAffinity(table, request, turn),
                     chooseLeastLoaded(table, request) }) {
                const bool found = choice.index != noBackend;
                RC_ASSERT(found == any);
                const bool right = !found || isUsable(table.details[choice.index].backend);
                RC_ASSERT(right);
            }
        }
    });
    CHECK(held);
}

TEST_CASE("A row is a few tens of bytes", "[routing]")
{
    CHECK(sizeof(backend_row) <= 64);
}

TEST_CASE("Retries are bounded by what first attempts earn, for the account and the server", "[routing]")
{
    retry_budget account;
    retry_budget backend;
    int retries = 0;
    for (int i = 0; i < 1'000; ++i) {
        onFirstAttempt(account);
        onFirstAttempt(backend);
        retries += takeRetry(account, backend) ? 1 : 0;
    }
    CHECK(retries <= 10 + 100);
    CHECK(retries >= 100);
    backend.credit = 0;
    account.credit = 5;
    CHECK_FALSE(takeRetry(account, backend));
    CHECK(account.credit == 5);
}

TEST_CASE("Back-off grows, is spread and is bounded", "[routing]")
{
    std::mt19937_64 random(seed);
    const backoff_settings settings;
    for (std::uint32_t retry = 0; retry < 70; ++retry) {
        const auto delay = backoffDelay(settings, retry, random);
        CHECK(delay >= 0ms);
        CHECK(delay <= settings.limit);
    }
    CHECK(backoffDelay(settings, 0, random) <= settings.base);
}
