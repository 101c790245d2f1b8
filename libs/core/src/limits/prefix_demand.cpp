#include <core/limits/prefix_demand.hpp>

#include <cmath>

namespace cuminledge::core::limits {

namespace {

    constexpr std::chrono::milliseconds decayInterval { 200 };
    constexpr double minDemand = 0.5;

    void decay(prefix_demand& demand, time_point now)
    {
        const auto elapsed = now - demand.decayedAt;
        if (elapsed < decayInterval) {
            return;
        }
        const auto halfLives = std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(demand.settings.halfLife);
        const double factor = std::exp2(-halfLives);
        for (auto& [name, service] : demand.services) {
            for (auto& [prefix, requests] : service.demand) {
                requests *= factor;
            }
            std::erase_if(service.demand, [](const auto& entry) { return entry.second < minDemand; });
        }
        demand.decayedAt = now;
    }

} // namespace

void recordPrefixes(prefix_demand& demand, const std::vector<wire::prefix_weight>& requests, time_point now)
{
    decay(demand, now);
    for (const auto& report : requests) {
        auto& service = demand.services[report.service].demand;
        const bool isCounted = service.size() < demand.settings.maxPrefixes || service.contains(report.prefix);
        if (isCounted && std::isfinite(report.weight) && report.weight > 0) {
            service[report.prefix] += report.weight;
        }
    }
}

std::vector<wire::prefix_weight> publishedWeights(prefix_demand& demand, time_point now)
{
    const bool isDue = now - demand.publishedAt >= demand.settings.publishInterval;
    std::vector<wire::prefix_weight> weights;
    for (auto& [name, service] : demand.services) {
        if (isDue) {
            service.published.clear();
            for (const auto& [prefix, requests] : service.demand) {
                service.published.push_back({ name, prefix, requests });
            }
        }
        weights.insert(weights.end(), service.published.begin(), service.published.end());
    }
    if (isDue) {
        demand.publishedAt = now;
    }
    return weights;
}

} // namespace cuminledge::core::limits
