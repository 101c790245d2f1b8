#include "policy_state.hpp"

#include <algorithm>
#include <cmath>

namespace cuminledge::bench::policy {

namespace {

    double percentile(std::vector<double> values, double share)
    {
        if (values.empty()) {
            return 0;
        }
        std::sort(values.begin(), values.end());
        const auto position = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
        return values[position];
    }

} // namespace

void sample(run_state& run)
{
    constexpr milliseconds allowed { 5'000 };
    const double held = toSeconds(sampleInterval);
    for (const auto& sidecar : run.sidecars) {
        for (const auto& [id, entry] : sidecar.engine.cache) {
            const auto& program = run.programs[run.byId.at(id)];
            const auto tokens = static_cast<double>(entry.tokens);
            if (program.gone) {
                run.figures.goneTokenSeconds += tokens * held;
                if (run.now - program.goneAt > allowed) {
                    run.figures.goneAfter5s = std::max(run.figures.goneAfter5s, tokens);
                }
            } else if (!program.turnUnderWay) {
                run.figures.idleTokenSeconds += tokens * held;
            }
        }
    }
    after(run, sampleInterval, [&run] { sample(run); });
}

void collect(run_state& run, const std::vector<double>& ends)
{
    auto& f = run.figures;
    std::vector<std::vector<double>> slowdowns(run.w.accountShares.size());
    for (std::size_t i = 0; i < run.programs.size(); ++i) {
        const auto& program = run.programs[i];
        if (program.parent >= 0 || program.plan->arrival < run.w.warmUp) {
            continue;
        }
        ++f.programs;
        f.unfinished += program.done ? 0 : 1;
        const double latency = ends[i] > 0 ? ends[i] : toSeconds(run.now - program.started);
        f.latencies.push_back(latency);
        slowdowns[program.plan->account].push_back(latency / idealSeconds(run.w, *program.plan));
    }
    double sum = 0;
    double squares = 0;
    double accounts = 0;
    for (std::size_t account = 0; account < slowdowns.size(); ++account) {
        const auto& values = slowdowns[account];
        if (values.empty()) {
            f.accountSlowdowns.push_back(0);
            continue;
        }
        double mean = 0;
        for (const double value : values) {
            mean += value / static_cast<double>(values.size());
        }
        f.accountSlowdowns.push_back(mean);
        const bool floods = run.c.floodFactor > 1 && account == run.w.floodingAccount;
        if (floods) {
            continue;
        }
        f.worstSlowdown = std::max(f.worstSlowdown, mean);
        f.worstSlowdownP95 = std::max(f.worstSlowdownP95, percentile(values, 0.95));
        sum += 1 / mean;
        squares += 1 / mean / mean;
        accounts += 1;
    }
    f.jain = accounts > 0 ? sum * sum / (accounts * squares) : 0;
    f.prefillSavedShare = run.historyTokens > 0 ? run.savedTokens / run.historyTokens : 0;
    f.crossDomainShare = run.sent > 0 ? static_cast<double>(run.crossed) / static_cast<double>(run.sent) : 0;
    for (const auto& sidecar : run.sidecars) {
        f.utilisation += sidecar.engine.busySeconds / toSeconds(run.w.length) / run.w.engines;
    }
}

} // namespace cuminledge::bench::policy
