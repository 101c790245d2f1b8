#include "policy_state.hpp"

#include <algorithm>
#include <cmath>

namespace cuminledge::bench::policy {

namespace {

    wire::load_report reportOf(const bench_sidecar& sidecar)
    {
        wire::load_report report;
        report.running = static_cast<std::uint32_t>(sidecar.engine.running.size());
        report.waiting = static_cast<std::uint32_t>(sidecar.engine.waiting.size() + sidecar.queue.queuedCount);
        report.waitingPrefillTokens = waitingPrefill(sidecar.engine);
        for (const auto& [counter, account] : sidecar.queue.order) {
            for (const auto& attempt : sidecar.queue.accounts.at(account).queued) {
                report.waitingPrefillTokens += attempt.prefillTokens;
            }
        }
        report.prefillTokensPerSecond = static_cast<std::int64_t>(sidecar.engine.lastPrefillRate);
        report.decodeTokensPerSecond = static_cast<std::int64_t>(sidecar.engine.lastDecodeRate);
        return report;
    }

    wire::backend_record recordOf(const run_state& run, const bench_sidecar& sidecar)
    {
        wire::backend_record record;
        record.backend = sidecar.name;
        record.incarnation = sidecar.incarnation;
        record.region = run.w.region;
        record.failureDomain = sidecar.domain;
        record.models = { model };
        record.batchLimit = run.w.engine.batchLimit;
        record.cacheTokens = run.w.engine.cacheTokens;
        return record;
    }

    void killEngine(run_state& run, std::size_t engine)
    {
        auto& sidecar = run.sidecars[engine];
        kill(sidecar.engine);
        std::vector<std::string> lost;
        for (const auto& [attempt, live] : run.attempts) {
            if (live.engine == engine) {
                lost.push_back(attempt);
            }
        }
        std::sort(lost.begin(), lost.end());
        sidecar.queue = {};
        sidecar.queue.settings = run.variant.queue;
        sidecar.pins = cache::makePinTable(run.w.engine.cacheTokens, run.variant.pins);
        ++sidecar.incarnation;
        for (const auto& attempt : lost) {
            after(run, connectFailure, [&run, attempt] { failConnect(run, attempt); });
        }
    }

} // namespace

void sendReports(run_state& run)
{
    for (const auto& sidecar : run.sidecars) {
        if (!sidecar.engine.alive) {
            continue;
        }
        after(run, run.c.reportDelay, [&run, name = sidecar.name, report = reportOf(sidecar)] {
            for (auto& gateway : run.gateways) {
                routing::onLoadReport(gateway.table, name, report, run.now, run.c.reportDelay);
            }
        });
    }
    after(run, run.c.reportInterval, [&run] { sendReports(run); });
}

void announce(run_state& run, const bench_sidecar& sidecar, bool withdrawn)
{
    auto record = recordOf(run, sidecar);
    record.withdrawn = withdrawn;
    for (auto& gateway : run.gateways) {
        routing::applyMembership(gateway.table, { record }, false, run.now);
    }
}

void loseDomain(run_state& run)
{
    const auto& domain = run.w.failureDomains.front();
    for (std::size_t i = 0; i < run.sidecars.size(); ++i) {
        if (run.sidecars[i].domain != domain) {
            continue;
        }
        killEngine(run, i);
        after(run, announceLease, [&run, i] { announce(run, run.sidecars[i], true); });
        after(run, domainOutage, [&run, i] {
            run.sidecars[i].engine.alive = true;
            announce(run, run.sidecars[i], false);
        });
    }
    for (auto& gateway : run.gateways) {
        gateway.alive = gateway.alive && gateway.domain != domain;
    }
    after(run, domainOutage, [&run] {
        for (auto& gateway : run.gateways) {
            gateway.alive = true;
        }
    });
}

} // namespace cuminledge::bench::policy
