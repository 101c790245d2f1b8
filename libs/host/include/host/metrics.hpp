#pragma once

#include <map>
#include <memory>
#include <string>

namespace cuminledge::host {

/**
 * Counts, gauges and distributions of one process, by name.
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

    /// Sets a value that may rise and fall.
    /// @param labels in the Prometheus text format, without braces; may be empty.
    void set(const std::string& name, const std::string& labels, double value);

    /// @return all metrics in the Prometheus text format, each name prefixed with "cuminledge_".
    [[nodiscard]] std::string toPrometheus() const;

private:
    struct distribution;
    std::map<std::string, double> m_counters;
    std::map<std::string, std::map<std::string, double>> m_gauges; ///< by name and labels
    std::map<std::string, std::unique_ptr<distribution>> m_distributions;
};

} // namespace cuminledge::host
