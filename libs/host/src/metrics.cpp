// Boost 1.74's quantiles use std::ostringstream without including this.
#include <sstream>

#include <host/metrics.hpp>

#include <array>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

namespace cuminledge::host {

namespace accumulators = boost::accumulators;

namespace {

    constexpr std::array<double, 3> quantiles { 0.5, 0.95, 0.99 };

    /// The extended P-square estimator keeps two markers for each quantile and three more, and is defined once it has
    /// seen as many samples (Raatikainen, 1987).
    constexpr std::size_t minSamples = 2 * quantiles.size() + 3;

    using estimator = accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::sum, accumulators::tag::extended_p_square>>;

} // namespace

struct metrics::distribution {
    estimator samples { accumulators::extended_p_square_probabilities = quantiles };
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::add(const std::string& name, double value, bool isDistribution)
{
    if (!isDistribution) {
        m_counters[name] += value;
        return;
    }
    auto& slot = m_distributions[name];
    if (!slot) {
        slot = std::make_unique<distribution>();
    }
    slot->samples(value);
}

void metrics::set(const std::string& name, const std::string& labels, double value)
{
    m_gauges[name][labels] = value;
}

std::string metrics::toPrometheus() const
{
    std::string text;
    for (const auto& [name, value] : m_counters) {
        text += fmt::format("# TYPE cuminledge_{0} counter\ncuminledge_{0} {1}\n", name, value);
    }
    for (const auto& [name, values] : m_gauges) {
        text += fmt::format("# TYPE cuminledge_{} gauge\n", name);
        for (const auto& [labels, value] : values) {
            const auto shown = labels.empty() ? std::string() : "{" + labels + "}";
            text += fmt::format("cuminledge_{}{} {}\n", name, shown, value);
        }
    }
    for (const auto& [name, slot] : m_distributions) {
        const auto& samples = slot->samples;
        text += fmt::format("# TYPE cuminledge_{} summary\n", name);
        if (accumulators::count(samples) > minSamples) {
            for (std::size_t i = 0; i < quantiles.size(); ++i) {
                const double estimate = accumulators::extended_p_square(samples)[static_cast<std::ptrdiff_t>(i)];
                text += fmt::format("cuminledge_{}{{quantile=\"{}\"}} {}\n", name, quantiles[i], estimate);
            }
        }
        text += fmt::format("cuminledge_{}_sum {}\n", name, accumulators::sum(samples));
        text += fmt::format("cuminledge_{}_count {}\n", name, accumulators::count(samples));
    }
    return text;
}

} // namespace cuminledge::host
