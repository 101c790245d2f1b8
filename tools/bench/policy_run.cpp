#include "policy_run.hpp"

#include "policy_state.hpp"

#include <algorithm>
#include <cmath>

namespace cuminledge::bench::policy {

namespace {

    void setUp(run_state& run)
    {
        for (std::uint32_t i = 0; i < run.w.engines; ++i) {
            bench_sidecar sidecar;
            sidecar.engine.parameters = run.w.engine;
            sidecar.engine.speed = i < run.c.slowShare * run.w.engines ? 0.5 : 1;
            sidecar.queue.settings = run.variant.queue;
            sidecar.pins = cache::makePinTable(run.w.engine.cacheTokens, run.variant.pins);
            sidecar.name = "engine-" + std::to_string(i);
            sidecar.domain = run.w.failureDomains[i % run.w.failureDomains.size()];
            run.sidecars.push_back(std::move(sidecar));
        }
        for (const double calls : usualCallsPerSecond(run.w, run.c)) {
            const bool floods = run.buckets.size() == run.w.floodingAccount;
            const double raised = floods && run.c.floodWithinRate ? run.c.floodFactor : 1;
            const double rate = run.w.rateHeadroom * calls * raised;
            run.buckets.push_back(core::limits::makeBucket({ rate, run.w.burstSeconds * rate }, run.now));
        }
        for (const auto& domain : run.w.failureDomains) {
            bench_gateway gateway;
            gateway.table = routing::makeBackendTable(run.w.region, domain, run.variant.routing);
            gateway.domain = domain;
            run.gateways.push_back(std::move(gateway));
        }
        for (const auto& sidecar : run.sidecars) {
            announce(run, sidecar, false);
        }
        for (const auto& plan : run.plans) {
            after(run, plan.arrival, [&run, &plan] { startTurn(run, addProgram(run, plan, -1)); });
        }
        after(run, run.c.reportInterval, [&run] { sendReports(run); });
        after(run, sampleInterval, [&run] { sample(run); });
        if (run.c.loseDomain) {
            after(run, run.w.length / 2, [&run] { loseDomain(run); });
        }
    }

    void runTimers(run_state& run, time_point until)
    {
        while (!run.timers.empty() && run.timers.begin()->first <= until) {
            run.now = run.timers.begin()->first;
            const auto what = std::move(run.timers.begin()->second);
            run.timers.erase(run.timers.begin());
            what();
        }
        run.now = until;
    }

} // namespace

void after(run_state& run, duration delay, std::function<void()> what)
{
    run.timers.emplace(run.now + delay, std::move(what));
}

} // namespace cuminledge::bench::policy

namespace cuminledge::bench {

using namespace policy;

run_figures runPolicy(const workload& w, const condition& c, const policy_variant& variant, std::uint64_t seed)
{
    run_state run { w, c, variant, std::mt19937_64(seed), {}, {}, drawPrograms(w, c, seed), {}, {}, {}, {}, {}, {}, {}, {}, 0,
        0, 0, 0 };
    run.start = time_point(std::chrono::hours(1));
    run.now = run.start;
    setUp(run);
    const auto end = run.start + 2 * w.length;
    std::vector<double> ends;
    std::uint64_t ticks = 0;
    while (run.now < end) {
        runTimers(run, run.now + tickLength);
        for (std::size_t i = 0; i < run.sidecars.size(); ++i) {
            if (variant.useQueue) {
                for (const auto& late : scheduling::expire(run.sidecars[i].queue, run.now)) {
                    onRefused(run, late.attempt, milliseconds { 100 });
                }
            }
            for (const auto& sequence : step(run.sidecars[i].engine, tickLength, run.now)) {
                onFinished(run, i, sequence);
            }
            pump(run, i);
            publishCacheEvents(run, i);
            constexpr std::uint64_t ticksPerSecond = 50;
            if (variant.usePins && ticks % ticksPerSecond == i % ticksPerSecond) {
                tendCache(run, i);
            }
        }
        ends.resize(run.programs.size(), 0);
        ++ticks;
        bool allDone = run.now > run.start + w.length;
        for (std::size_t i = 0; i < run.programs.size(); ++i) {
            if (run.programs[i].done && ends[i] <= 0) {
                ends[i] = toSeconds(run.now - run.programs[i].started);
            }
            allDone = allDone && run.programs[i].done;
        }
        if (allDone) {
            break;
        }
    }
    collect(run, ends);
    return run.figures;
}

} // namespace cuminledge::bench
