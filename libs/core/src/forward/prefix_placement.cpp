#include <core/forward/prefix_placement.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

#include <core/routing/rendezvous.hpp>

namespace cuminledge::core::forward {

namespace {

    constexpr const char* layout = "prefix placement";

    /// @return the engines in the order in which all gateways lay them out.
    std::vector<std::string> layOut(const std::vector<std::string>& engines)
    {
        std::vector<std::pair<std::uint64_t, std::string>> scored;
        scored.reserve(engines.size());
        for (const auto& engine : engines) {
            scored.emplace_back(routing::rendezvousScore(layout, engine), engine);
        }
        std::sort(scored.begin(), scored.end());
        std::vector<std::string> ordered;
        ordered.reserve(engines.size());
        for (auto& [score, engine] : scored) {
            ordered.push_back(std::move(engine));
        }
        return ordered;
    }

    /// @return the engines from one position to another, which may lie within an engine.
    std::set<std::string> section(const std::vector<std::string>& engines, double from, double to, double minPart)
    {
        std::set<std::string> homes;
        std::size_t most = 0;
        double mostPart = -1;
        const auto last = std::min(static_cast<std::size_t>(std::ceil(to)), engines.size());
        for (auto i = static_cast<std::size_t>(from); i < last; ++i) {
            const auto position = static_cast<double>(i);
            const double part = std::min(to, position + 1) - std::max(from, position);
            if (part >= minPart) {
                homes.insert(engines[i]);
            }
            if (part > mostPart) {
                mostPart = part;
                most = i;
            }
        }
        if (homes.empty() && mostPart >= 0) {
            homes.insert(engines[most]);
        }
        return homes;
    }

} // namespace

prefix_homes placePrefixes(
    const std::vector<wire::prefix_weight>& weights, const std::vector<std::string>& engines, const prefix_settings& settings)
{
    std::map<std::pair<std::uint64_t, std::string>, double> ordered;
    double total = 0;
    for (const auto& entry : weights) {
        if (std::isfinite(entry.weight) && entry.weight > 0) {
            ordered[{ routing::rendezvousScore(layout, entry.prefix), entry.prefix }] = entry.weight;
            total += entry.weight;
        }
    }
    prefix_homes homes;
    const auto row = layOut(engines);
    double from = 0;
    for (const auto& [key, weight] : ordered) {
        const double to = std::min(from + weight / total * static_cast<double>(row.size()), static_cast<double>(row.size()));
        homes[key.second] = section(row, from, to, settings.minPart);
        from = to;
    }
    return homes;
}

} // namespace cuminledge::core::forward
