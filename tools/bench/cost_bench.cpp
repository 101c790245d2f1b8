#include "cost_bench.hpp"

#include "statistics.hpp"

#include <core/limits/lease_holder.hpp>
#include <core/routing/choose_backend.hpp>
#include <core/scheduling/attempt_queue.hpp>

#include <chrono>
#include <functional>

namespace cuminledge::bench {

namespace {

    namespace limits = core::limits;
    namespace routing = core::routing;
    namespace scheduling = core::scheduling;

    constexpr int decisions = 20'000;
    const time_point start { std::chrono::hours(1) };

    /// @return nanoseconds for each call of the decision.
    double timeEach(const std::function<void(int)>& decide)
    {
        const monotonic_clock clock;
        const auto from = clock.now();
        for (int i = 0; i < decisions; ++i) {
            decide(i);
        }
        const std::chrono::duration<double, std::nano> passed = clock.now() - from;
        return passed.count() / decisions;
    }

    double timeRouting(std::uint32_t servers, std::uint64_t seed)
    {
        constexpr std::uint32_t domains = 9;
        constexpr std::uint32_t regions = 4;
        auto table = routing::makeBackendTable("region-0", "domain-0");
        std::vector<wire::backend_record> records;
        records.reserve(servers);
        for (std::uint32_t i = 0; i < servers; ++i) {
            wire::backend_record record;
            record.backend = "engine-" + std::to_string(i);
            record.incarnation = 1;
            record.region = "region-" + std::to_string(i % domains % regions);
            record.failureDomain = "domain-" + std::to_string(i % domains);
            record.models = { "model" };
            record.batchLimit = 16;
            records.push_back(std::move(record));
        }
        routing::applyMembership(table, records, true, start);
        std::mt19937_64 random(seed);
        for (std::uint32_t i = 0; i < servers; ++i) {
            wire::load_report report;
            report.running = static_cast<std::uint32_t>(random() % 20);
            report.prefillTokensPerSecond = 8'000;
            report.decodeTokensPerSecond = 40;
            routing::onLoadReport(table, records[i].backend, report, start);
        }
        const auto later = start + std::chrono::minutes(1);
        std::vector<routing::route_request> requests;
        requests.reserve(64);
        for (int i = 0; i < 64; ++i) {
            requests.push_back({ "model", "engine-" + std::to_string(random() % servers), 8'000, 300, 100, {} });
        }
        return timeEach([&](int i) { routing::chooseBackend(table, requests[static_cast<std::size_t>(i) % 64], later, random); });
    }

    double timeLimit(std::uint32_t accounts, std::uint64_t seed)
    {
        auto holder = limits::makeLeaseHolder(1);
        std::vector<std::string> names;
        names.reserve(accounts);
        for (std::uint32_t i = 0; i < accounts; ++i) {
            names.push_back("account-" + std::to_string(i));
            limits::trySpend(holder, names.back(), start);
        }
        for (const auto& request : limits::collectRequests(holder, start)) {
            wire::rate_lease_grant grant;
            grant.request = request.request;
            grant.account = request.account;
            grant.session = request.session;
            grant.epoch = 1;
            grant.lease = 1;
            grant.tokens = std::int64_t { 2 } * decisions;
            grant.duration = std::chrono::milliseconds(60'000);
            limits::onRateGrant(holder, grant, start);
        }
        std::mt19937_64 random(seed);
        std::vector<std::size_t> order;
        order.reserve(decisions);
        for (int i = 0; i < decisions; ++i) {
            order.push_back(random() % accounts);
        }
        return timeEach([&](int i) {
            limits::trySpend(holder, names[order[static_cast<std::size_t>(i)]], start + std::chrono::microseconds(100 * i));
        });
    }

    double timeScheduling(std::uint32_t accounts, std::uint64_t seed)
    {
        scheduling::attempt_queue queue;
        queue.settings.maxQueued = 8'192;
        std::mt19937_64 random(seed);
        int number = 0;
        const auto make = [&](time_point now) {
            scheduling::queued_attempt attempt;
            attempt.attempt = "attempt-" + std::to_string(number++);
            attempt.account = "account-" + std::to_string(random() % accounts);
            attempt.prefillTokens = 300;
            attempt.expectedTokens = 100;
            attempt.attainedTokens = static_cast<std::int64_t>(random() % 10'000);
            attempt.arrivedAt = now;
            attempt.latestStart = now + std::chrono::hours(10);
            return attempt;
        };
        for (std::uint32_t i = 0; i < std::max(64U, accounts); ++i) {
            scheduling::push(queue, make(start), start);
        }
        return timeEach([&](int i) {
            const auto now = start + std::chrono::milliseconds(i);
            scheduling::push(queue, make(now), now);
            for (const auto& taken : scheduling::next(queue, now, 1)) {
                scheduling::onServiceReceived(queue, taken.attempt, 300, 100, now);
                scheduling::onAttemptEnded(queue, taken.attempt);
            }
        });
    }

    figure makeFigure(const scenario_options& options, const std::string& metric, std::uint32_t size,
        const std::string& sizeName, double (*measure)(std::uint32_t, std::uint64_t))
    {
        std::vector<double> values;
        for (std::uint32_t run = 0; run < options.seeds; ++run) {
            values.push_back(measure(size, options.seed + run));
        }
        figure f;
        f.scenario = "policy";
        f.workload = "cost/" + std::to_string(size) + "_" + sizeName;
        f.metric = metric;
        f.unit = "ns";
        setSpread(f, values);
        return f;
    }

} // namespace

std::vector<figure> measureDecisionCosts(const scenario_options& options)
{
    std::vector<figure> figures;
    for (const std::uint32_t servers : { 10U, 100U, 1'000U, 6'100U }) {
        auto f = makeFigure(options, "routing_decision", servers, "servers", &timeRouting);
        f.hasTarget = servers == 6'100U;
        f.target = "< 5000";
        f.met = f.high < 5'000;
        figures.push_back(f);
    }
    for (const std::uint32_t accounts : { 8U, 5'200U }) {
        auto f = makeFigure(options, "limit_decision", accounts, "accounts", &timeLimit);
        f.hasTarget = true;
        f.target = "< 200";
        f.met = f.high < 200;
        figures.push_back(f);
        figures.push_back(makeFigure(options, "queue_push_next_end", accounts, "accounts", &timeScheduling));
    }
    return figures;
}

} // namespace cuminledge::bench
