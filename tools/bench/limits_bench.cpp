#include "limits_bench.hpp"

#include "statistics.hpp"

#include <core/limits/naive_limits.hpp>
#include <limits_fleet.hpp>

#include <algorithm>
#include <functional>

namespace cuminledge::bench {

namespace {

    namespace limits = core::limits;
    namespace fleet_test = core::limits::testing;
    using seconds = std::chrono::duration<double>;

    constexpr std::chrono::seconds runLength { 60 };
    constexpr std::size_t gatewayCount = 4;

    struct limit_call {
        time_point at {};
        std::size_t gateway = 0;
    };

    struct limit_workload {
        std::string name;
        limits::rate_limit limit;
        double load = 0.9; ///< of the rate; only calls that a bucket with no delay admits are offered, where below 1
        double firstGatewayShare = 0.25;
        bool failover = false;
    };

    std::vector<limit_workload> limitWorkloads()
    {
        return { { "even_0.9", { 100, 100 }, 0.9, 0.25, false }, { "skewed_0.9", { 100, 100 }, 0.9, 0.85, false },
            { "small_account_0.9", { 3, 10 }, 0.9, 0.25, false }, { "flood_5x", { 100, 100 }, 5, 0.25, false },
            { "failover_0.9", { 100, 100 }, 0.9, 0.25, true } };
    }

    std::vector<limit_call> drawCalls(const limit_workload& w, time_point start, std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::exponential_distribution<double> gap(w.load * w.limit.ratePerSecond);
        std::uniform_real_distribution<double> unit(0, 1);
        auto central = limits::makeBucket(w.limit, start);
        std::vector<limit_call> calls;
        auto when = start;
        while (true) {
            when += std::chrono::duration_cast<duration>(seconds(gap(random)));
            if (when > start + runLength) {
                return calls;
            }
            const double place = (unit(random) - w.firstGatewayShare) / (1 - w.firstGatewayShare);
            const auto other = static_cast<std::size_t>(std::max(0.0, place) * (gatewayCount - 1));
            const std::size_t gateway = place < 0 ? 0 : 1 + std::min(other, gatewayCount - 2);
            if (w.load > 1 || limits::takeTokens(central, 1, when)) {
                calls.push_back({ when, gateway });
            }
        }
    }

    struct limit_result {
        double wrongfulShare = 0; ///< of the offered calls
        double overAdmitted = 0;
        double meanWaitMs = 0; ///< added to admitted calls
        double messagesPerCall = 0;
    };

    limit_result runLeases(const limit_workload& w, std::uint64_t seed)
    {
        fleet_test::fleet_settings settings;
        settings.limit = w.limit;
        settings.gateways = gatewayCount;
        settings.seed = seed;
        fleet_test::rate_fleet fleet;
        fleet_test::startFleet(fleet, settings);
        for (const auto& call : drawCalls(w, fleet.start, seed)) {
            fleet_test::at(fleet, call.at, [&fleet, call] { fleet_test::offerCall(fleet, call.gateway); });
        }
        if (w.failover) {
            constexpr std::chrono::milliseconds withoutLeader { 700 };
            const auto middle = fleet.start + runLength / 2;
            fleet_test::at(fleet, middle, [&fleet] {
                limits::stopLeading(
                    fleet.replicas[0].authority, fleet_test::localTime(fleet, fleet.replicas[0].clock));
            });
            fleet_test::at(fleet, middle + withoutLeader,
                [&fleet] { fleet_test::failOver(fleet, 1, std::chrono::milliseconds { 0 }); });
        }
        fleet_test::runUntil(fleet, fleet.start + runLength + std::chrono::seconds(5));
        const auto& c = fleet.counts;
        limit_result result;
        result.wrongfulShare = static_cast<double>(c.wrongfulRefusals) / static_cast<double>(c.offered);
        result.overAdmitted = static_cast<double>(c.overAdmitted);
        result.meanWaitMs = 1000 * c.waitedSeconds / static_cast<double>(std::max<std::int64_t>(1, c.admitted));
        std::uint64_t messages = 0;
        for (const auto& gateway : fleet.gateways) {
            messages += 2 * gateway.holder.counters.requests;
        }
        for (const auto& replica : fleet.replicas) {
            messages += replica.authority.counters.recalls;
        }
        result.messagesPerCall = static_cast<double>(messages) / static_cast<double>(c.offered);
        return result;
    }

    /// Judges a way that decides at once: each call against a bucket with no delay that follows what was admitted.
    limit_result judge(const limit_workload& w, std::uint64_t seed,
        const std::function<bool(const limit_call&)>& admits)
    {
        constexpr double rounding = 1e-6;
        const time_point start { std::chrono::hours(100) };
        auto truth = limits::makeBucket(w.limit, start);
        limit_result result;
        const auto calls = drawCalls(w, start, seed);
        for (const auto& call : calls) {
            limits::refill(truth, call.at);
            if (admits(call)) {
                truth.tokens -= 1;
                result.overAdmitted += truth.tokens < -rounding ? 1 : 0;
            } else {
                result.wrongfulShare += truth.tokens >= 1 ? 1 / static_cast<double>(calls.size()) : 0;
            }
        }
        return result;
    }

    limit_result runStaticShares(const limit_workload& w, std::uint64_t seed)
    {
        const time_point start { std::chrono::hours(100) };
        std::vector<limits::token_bucket> shares(gatewayCount, limits::makeStaticShare(w.limit, gatewayCount, start));
        return judge(w, seed,
            [&shares](const limit_call& call) { return limits::takeTokens(shares[call.gateway], 1, call.at); });
    }

    limit_result runGossip(const limit_workload& w, std::uint64_t seed)
    {
        static constexpr std::chrono::milliseconds interval { 100 };
        const time_point start { std::chrono::hours(100) };
        std::vector<limits::gossip_bucket> gossip(gatewayCount, { limits::makeBucket(w.limit, start), 0 });
        auto told = start;
        auto result = judge(w, seed, [&gossip, &told](const limit_call& call) {
            if (call.at - told >= interval) {
                told = call.at;
                for (std::size_t from = 0; from < gatewayCount; ++from) {
                    const auto spent = limits::takeUnreported(gossip[from]);
                    for (std::size_t to = 0; to < gatewayCount; ++to) {
                        if (to != from) {
                            limits::onGossip(gossip[to], spent, call.at);
                        }
                    }
                }
            }
            return limits::trySpend(gossip[call.gateway], call.at);
        });
        const double perSecond = gatewayCount * (gatewayCount - 1) / seconds(interval).count();
        result.messagesPerCall = perSecond / (w.load * w.limit.ratePerSecond);
        return result;
    }

    /// Exact, at the price of a round trip for each call.
    limit_result runCentral(const limit_workload& w, std::uint64_t seed)
    {
        constexpr double roundTripMs = 3;
        const time_point start { std::chrono::hours(100) };
        auto bucket = limits::makeBucket(w.limit, start);
        auto result
            = judge(w, seed, [&bucket](const limit_call& call) { return limits::takeTokens(bucket, 1, call.at); });
        result.meanWaitMs = roundTripMs;
        result.messagesPerCall = 2;
        return result;
    }

    struct limit_way {
        std::string name;
        limit_result (*run)(const limit_workload&, std::uint64_t);
    };

    figure makeFigure(const limit_workload& w, const limit_way& way, const std::string& metric, const std::string& unit,
        const std::vector<double>& values)
    {
        figure f;
        f.scenario = "policy";
        f.workload = "limits/" + w.name + "/" + way.name;
        f.metric = metric;
        f.unit = unit;
        setSpread(f, values);
        return f;
    }

} // namespace

std::vector<figure> measureLimits(const scenario_options& options)
{
    const std::vector<limit_way> ways { { "leases", &runLeases }, { "central_round_trip", &runCentral },
        { "static_shares", &runStaticShares }, { "gossip", &runGossip } };
    std::vector<figure> figures;
    for (const auto& w : limitWorkloads()) {
        for (const auto& way : ways) {
            const bool isOurs = way.name == "leases";
            if (w.failover && !isOurs) {
                continue;
            }
            std::vector<double> wrongful;
            std::vector<double> over;
            std::vector<double> wait;
            std::vector<double> messages;
            for (std::uint32_t run = 0; run < options.seeds; ++run) {
                const auto result = way.run(w, options.seed + run);
                wrongful.push_back(result.wrongfulShare);
                over.push_back(result.overAdmitted);
                wait.push_back(result.meanWaitMs);
                messages.push_back(result.messagesPerCall);
            }
            auto refused = makeFigure(w, way, "wrongful_refusals", "share of calls", wrongful);
            auto admitted = makeFigure(w, way, "over_admission", "calls", over);
            if (isOurs) {
                refused.hasTarget = true;
                refused.target = w.failover ? "< 0.001" : "0";
                refused.met = w.failover ? refused.high < 0.001 : refused.high <= 0;
                admitted.hasTarget = true;
                admitted.target = "0";
                admitted.met = admitted.high <= 0;
            }
            figures.push_back(refused);
            figures.push_back(admitted);
            figures.push_back(makeFigure(w, way, "added_wait_mean", "ms", wait));
            figures.push_back(makeFigure(w, way, "messages_per_call", "messages", messages));
        }
    }
    return figures;
}

} // namespace cuminledge::bench
