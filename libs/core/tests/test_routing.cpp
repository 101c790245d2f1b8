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
const time_point afterSlowStart = start + 1min;
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

route_request makeRequest(const std::string& cacheBackend = "", std::int64_t history = 0)
{
    return { "model", cacheBackend, history, 300, 100, {} };
}

std::string choose(backend_table& table, const route_request& request, time_point now, std::mt19937_64& random)
{
    const auto choice = chooseBackend(table, request, now, random);
    return choice.index == noBackend ? "" : table.details[choice.index].backend;
}

/// Sends 100 attempts to 10 servers between two load reports.
/// @return the largest number that one server received.
int maxAttemptsOnOneServer(bool useOwnInFlight)
{
    routing_settings settings;
    settings.useOwnInFlight = useOwnInFlight;
    settings.randomCandidates = 0;
    auto table = makeTable(10, settings);
    std::mt19937_64 random(seed);
    std::map<std::string, int> sent;
    for (int i = 0; i < 100; ++i) {
        const auto backend = choose(table, makeRequest(), afterSlowStart, random);
        onAttemptStarted(table, backend, 300, afterSlowStart);
        ++sent[backend];
    }
    int most = 0;
    for (const auto& [backend, count] : sent) {
        most = std::max(most, count);
    }
    return most;
}

/// Restarts one server, which is idle while the others are busy.
/// @return how many of the next 100 attempts it receives.
int attemptsToReturnedServer(bool useSlowStart)
{
    routing_settings settings;
    settings.useSlowStart = useSlowStart;
    settings.useOwnInFlight = false; // models 100 gateways that send one attempt each
    auto table = makeTable(10, settings);
    for (int i = 0; i < 10; ++i) {
        onLoadReport(table, "engine-" + std::to_string(i), makeReport(9, 4), afterSlowStart);
    }
    auto back = makeRecord(3);
    back.incarnation = 2;
    applyMembership(table, { back }, false, afterSlowStart);
    std::mt19937_64 random(seed);
    int count = 0;
    for (int i = 0; i < 100; ++i) {
        count += choose(table, makeRequest(), afterSlowStart + 500ms, random) == "engine-3" ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("The server that holds the cache is chosen for a long history unless it is overloaded", "[routing]")
{
    auto table = makeTable(10);
    std::mt19937_64 random(seed);
    CHECK(choose(table, makeRequest("engine-4", 40'000), afterSlowStart, random) == "engine-4");
    onLoadReport(table, "engine-4", makeReport(8, 200), afterSlowStart);
    CHECK(choose(table, makeRequest("engine-4", 4'000), afterSlowStart, random) != "engine-4");
}

TEST_CASE("The KV cache is copied if that is cheaper than a new prefill", "[routing]")
{
    routing_settings settings;
    settings.transferTokensPerSecond = 100'000;
    auto table = makeTable(2, settings);
    const auto elsewhere = predictAt(table, makeRequest("engine-0", 10'000), 1, afterSlowStart);
    CHECK(elsewhere.transferCache);
    CHECK(elsewhere.prefillTokens == 300);
    table.settings.transferTokensPerSecond = 1'000;
    CHECK_FALSE(predictAt(table, makeRequest("engine-0", 10'000), 1, afterSlowStart).transferCache);
    CHECK(predictAt(table, makeRequest("engine-0", 10'000), 1, afterSlowStart).prefillTokens == 10'300);
}

TEST_CASE("Attempts sent since the last load report count as load, so that a stale report causes no herding", "[routing]")
{
    CHECK(maxAttemptsOnOneServer(true) <= 15);
    CHECK(maxAttemptsOnOneServer(false) == 100);
}

TEST_CASE("An attempt sent after a delayed load report was made stays unreported", "[routing]")
{
    auto table = makeTable(1);
    onAttemptStarted(table, "engine-0", 300, afterSlowStart);
    onAttemptStarted(table, "engine-0", 300, afterSlowStart + 900ms);
    onLoadReport(table, "engine-0", makeReport(1), afterSlowStart + 1s, 500ms);
    CHECK(table.rows[0].ownSinceReport == 1);
    onLoadReport(table, "engine-0", makeReport(2), afterSlowStart + 2s);
    CHECK(table.rows[0].ownSinceReport == 0);
    CHECK(table.rows[0].ownInFlight == 2);
}

TEST_CASE("A restarted server receives its load gradually", "[routing]")
{
    CHECK(attemptsToReturnedServer(true) < 10);
    CHECK(attemptsToReturnedServer(false) > 10);
}

TEST_CASE("A failing server is ejected temporarily, and the ejected share is limited", "[routing]")
{
    auto table = makeTable(6);
    std::mt19937_64 random(seed);
    const auto ejectByFailures = [&table](const std::string& backend) {
        for (int i = 0; i < 3; ++i) {
            onAttemptStarted(table, backend, 300, afterSlowStart);
            onAttemptFailed(table, backend, afterSlowStart);
        }
    };
    ejectByFailures("engine-0");
    for (int i = 0; i < 50; ++i) {
        CHECK(choose(table, makeRequest("engine-0", 40'000), afterSlowStart, random) != "engine-0");
    }
    for (int i = 1; i < 6; ++i) {
        ejectByFailures("engine-" + std::to_string(i));
    }
    CHECK(table.ejectionCount == 2); // a third of six
    CHECK(table.rows[0].ejectedUntil <= afterSlowStart + 5s);
    CHECK(choose(table, makeRequest("engine-0", 40'000), afterSlowStart + 30s, random) == "engine-0");
}

TEST_CASE("Servers of the own failure domain are preferred, then of the own region, then any", "[routing]")
{
    auto table = makeBackendTable("r", "a");
    std::mt19937_64 random(seed);
    applyMembership(table, { makeRecord(0, "a"), makeRecord(1, "b"), makeRecord(2, "c", "far") }, true, start);
    CHECK(choose(table, makeRequest(), afterSlowStart, random) == "engine-0");
    onLoadReport(table, "engine-0", makeReport(8, 50), afterSlowStart);
    CHECK(choose(table, makeRequest(), afterSlowStart, random) == "engine-1"); // the queue in the own domain widens the search to the region
    applyMembership(table, { makeRecord(1, "b"), makeRecord(2, "c", "far") }, true, afterSlowStart);
    CHECK(choose(table, makeRequest(), afterSlowStart + 1min, random) == "engine-1");
    applyMembership(table, { makeRecord(2, "c", "far") }, true, afterSlowStart);
    CHECK(choose(table, makeRequest(), afterSlowStart + 2min, random) == "engine-2");
    applyMembership(table, {}, true, afterSlowStart);
    CHECK(choose(table, makeRequest(), afterSlowStart, random).empty());
}

TEST_CASE("Only usable servers are chosen for any membership", "[routing]")
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
            // The baseline policies find a server exactly when chooseBackend() does.
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

TEST_CASE("A backend row fits into 64 bytes", "[routing]")
{
    CHECK(sizeof(backend_row) <= 64);
}

TEST_CASE("Retries are limited by the credit of first attempts, per account and per server", "[routing]")
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

TEST_CASE("Back-off grows with random jitter up to its limit", "[routing]")
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
