#include "cost_bench.hpp"
#include "limits_bench.hpp"
#include "policy_run.hpp"
#include "report.hpp"
#include "scenario.hpp"
#include "statistics.hpp"

#include <base/error.hpp>

#include <fmt/format.h>

#include <array>
#include <atomic>
#include <functional>
#include <iostream>
#include <map>
#include <thread>

namespace cuminledge::bench {

namespace {

    struct job {
        const workload* w = nullptr;
        const condition* c = nullptr;
        const policy_variant* variant = nullptr;
        std::uint64_t seed = 0;
        run_figures figures;
    };

    /// Runs are independent of one another; three threads keep a small machine usable meanwhile.
    void runAll(std::vector<job>& jobs)
    {
        constexpr std::size_t threads = 3;
        std::atomic<std::size_t> next { 0 };
        std::array<std::thread, threads> workers;
        for (auto& worker : workers) {
            worker = std::thread([&jobs, &next] {
                for (std::size_t position = next++; position < jobs.size(); position = next++) {
                    auto& j = jobs[position];
                    j.figures = runPolicy(*j.w, *j.c, *j.variant, j.seed);
                }
            });
        }
        for (auto& worker : workers) {
            worker.join();
        }
    }

    struct metric {
        std::string name;
        std::string unit;
        std::function<double(const run_figures&)> read;
    };

    const std::vector<metric>& metrics()
    {
        static const std::vector<metric> all { { "program_latency_p50", "s",
                                                   [](const run_figures& f) { return quantile(f.latencies, 0.5); } },
            { "program_latency_p95", "s", [](const run_figures& f) { return quantile(f.latencies, 0.95); } },
            { "program_latency_p99", "s", [](const run_figures& f) { return quantile(f.latencies, 0.99); } },
            { "worst_account_slowdown", "times ideal", [](const run_figures& f) { return f.worstSlowdown; } },
            { "jain_index", "", [](const run_figures& f) { return f.jain; } },
            { "gone_cache", "token-seconds", [](const run_figures& f) { return f.goneTokenSeconds; } },
            { "gone_cache_after_5s", "tokens", [](const run_figures& f) { return f.goneAfter5s; } },
            { "idle_cache", "token-seconds", [](const run_figures& f) { return f.idleTokenSeconds; } },
            { "prefill_saved", "share of history", [](const run_figures& f) { return f.prefillSavedShare; } },
            { "left_own_domain", "share of attempts", [](const run_figures& f) { return f.crossDomainShare; } },
            { "longest_queue_wait", "s", [](const run_figures& f) { return f.longestWait; } },
            { "refused_not_run", "attempts",
                [](const run_figures& f) { return static_cast<double>(f.refusedAttempts); } },
            { "met_dead_engine", "attempts",
                [](const run_figures& f) { return static_cast<double>(f.failedAttempts); } },
            { "unfinished", "programs", [](const run_figures& f) { return static_cast<double>(f.unfinished); } },
            { "invariant_breaks", "", [](const run_figures& f) { return static_cast<double>(f.invariantBreaks); } } };
        return all;
    }

    /// Figures by "workload/condition", variant and metric.
    using figure_table = std::map<std::string, std::map<std::string, std::map<std::string, figure>>>;

    std::string nameOf(const job& j)
    {
        return fmt::format("{}/{}", j.w->name, j.c->name);
    }

    figure_table tabulate(const std::vector<job>& jobs)
    {
        std::map<std::string, std::map<std::string, std::vector<const run_figures*>>> runs;
        for (const auto& j : jobs) {
            runs[nameOf(j)][j.variant->name].push_back(&j.figures);
        }
        figure_table table;
        for (const auto& [name, variants] : runs) {
            for (const auto& [variant, results] : variants) {
                for (const auto& m : metrics()) {
                    std::vector<double> values;
                    for (const auto* result : results) {
                        values.push_back(m.read(*result));
                    }
                    figure f;
                    f.scenario = "policy";
                    f.workload = fmt::format("{}/{}", name, variant);
                    f.metric = m.name;
                    f.unit = m.unit;
                    setSpread(f, values);
                    table[name][variant][m.name] = f;
                }
            }
        }
        return table;
    }

    void setTarget(figure& f, const std::string& target, bool met)
    {
        f.hasTarget = true;
        f.target = target;
        f.met = met;
    }

    void setBaselines(figure_table& table)
    {
        for (auto& [name, variants] : table) {
            for (auto& [variant, byMetric] : variants) {
                const bool isAblation = variant.rfind("with", 0) == 0;
                const std::string baseline = isAblation ? "ours" : "fcfs_round_robin";
                for (auto& [metricName, f] : byMetric) {
                    f.hasBaseline = true;
                    f.baselineName = baseline;
                    f.baseline = variants.at(baseline).at(metricName).value;
                }
            }
        }
    }

    /// The stated targets; figures that none names have none.
    void setTargets(figure_table& table)
    {
        for (auto& [name, variants] : table) {
            auto& ours = variants.at("ours");
            const auto& naive = variants.at("fcfs_round_robin");
            setTarget(ours.at("gone_cache_after_5s"), "0", ours.at("gone_cache_after_5s").high <= 0);
            setTarget(ours.at("invariant_breaks"), "0", ours.at("invariant_breaks").high <= 0);
            if (name.ends_with("/load_0.9")) {
                auto& f = ours.at("program_latency_p95");
                setTarget(f, "ratio <= 0.6", f.value <= 0.6 * naive.at("program_latency_p95").value);
            }
            if (name.ends_with("/flood_5x")) {
                auto& f = ours.at("worst_account_slowdown");
                setTarget(f, "ratio <= 0.3", f.value <= 0.3 * naive.at("worst_account_slowdown").value);
            }
        }
    }

    /// The flooded run against the calm one.
    std::vector<figure> floodFigures(const figure_table& table)
    {
        std::vector<figure> figures;
        for (const auto& [name, variants] : table) {
            const auto user = name.substr(0, name.find('/'));
            if (!name.ends_with("/flood_5x") || table.count(user + "/calm") == 0) {
                continue;
            }
            figure f = variants.at("ours").at("worst_account_slowdown");
            f.metric = "worst_account_slowdown_against_calm";
            f.baselineName = "ours, calm";
            f.baseline = table.at(user + "/calm").at("ours").at("worst_account_slowdown").value;
            setTarget(f, "ratio <= 1.2", f.value <= 1.2 * f.baseline);
            figures.push_back(f);
        }
        return figures;
    }

    std::vector<job> makeJobs(const scenario_options& options, const std::vector<workload>& workloads,
        const std::vector<policy_variant>& variants)
    {
        std::vector<job> jobs;
        for (const auto& w : workloads) {
            for (const auto& c : w.conditions) {
                for (const auto& variant : variants) {
                    for (std::uint32_t run = 0; run < options.seeds; ++run) {
                        jobs.push_back({ &w, &c, &variant, options.seed + run, {} });
                    }
                }
            }
        }
        return jobs;
    }

    std::vector<latency_series> seriesOf(const std::vector<job>& jobs)
    {
        std::map<std::pair<std::string, std::string>, std::vector<double>> latencies;
        for (const auto& j : jobs) {
            if (j.variant->name.rfind("with", 0) != 0) {
                auto& all = latencies[{ nameOf(j), j.variant->name }];
                all.insert(all.end(), j.figures.latencies.begin(), j.figures.latencies.end());
            }
        }
        std::vector<latency_series> series;
        series.reserve(latencies.size());
        for (auto& [key, values] : latencies) {
            series.push_back({ key.first, key.second, std::move(values) });
        }
        return series;
    }

    /// Prints which targets were met and which were missed. Missing one is a result, not a fault of the run.
    void printTargets(const std::vector<figure>& figures)
    {
        for (const auto& f : figures) {
            if (f.hasTarget) {
                std::cerr << (f.met ? "met     " : "MISSED  ") << f.workload << ' ' << f.metric << " = " << f.value
                          << ' ' << f.unit << ", target " << f.target << '\n';
            }
        }
    }

} // namespace

int runPolicyScenario(const scenario_options& options)
{
    std::vector<workload> workloads;
    for (const auto* file : { "franchise_office.json", "cooperative.json" }) {
        auto w = readWorkload(options.workloads + '/' + file);
        if (!w) {
            std::cerr << describe(w.error()) << '\n';
            return 1;
        }
        workloads.push_back(std::move(*w));
    }
    const auto variants = policyVariants();
    // Decision costs first, while no other thread of this program runs.
    auto figures = measureDecisionCosts(options);
    const auto limitFigures = measureLimits(options);
    figures.insert(figures.end(), limitFigures.begin(), limitFigures.end());
    auto jobs = makeJobs(options, workloads, variants);
    runAll(jobs);
    auto table = tabulate(jobs);
    setBaselines(table);
    setTargets(table);
    for (const auto& [name, byVariant] : table) {
        for (const auto& [variant, byMetric] : byVariant) {
            for (const auto& [metricName, f] : byMetric) {
                figures.push_back(f);
            }
        }
    }
    const auto flood = floodFigures(table);
    figures.insert(figures.end(), flood.begin(), flood.end());
    writeFigures(options, figures);
    printTargets(figures);
    if (!options.report.empty()) {
        writeReport(options.report, figures, seriesOf(jobs));
    }
    return 0;
}

} // namespace cuminledge::bench
