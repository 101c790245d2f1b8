#pragma once

#include <map>
#include <memory>
#include <string>

namespace cuminledge::host {

/**
 * Counts and distributions of one process, by name.
 *
 *     metrics registry;
 *     registry.add("calls_total", 1, false);
 *     registry.add("call_seconds", 0.012, true);
 *     auto text = registry.toPrometheus();
 */
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// @param isDistribution whether quantiles are kept; a name stays what it was first.
    void add(const std::string& name, double value, bool isDistribution);

    /// @return all metrics in the Prometheus text format, each name prefixed with "cuminledge_".
    [[nodiscard]] std::string toPrometheus() const;

private:
    struct distribution;
    std::map<std::string, double> m_counters;
    std::map<std::string, std::unique_ptr<distribution>> m_distributions;
};

} // namespace cuminledge::host
