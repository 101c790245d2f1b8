#include <core/forward/hedging.hpp>

#include <algorithm>

namespace cuminledge::core::forward {

void addSample(quantile_estimate& estimate, double sample, double quantile)
{
    constexpr std::uint32_t maxSamples = 1'000'000;
    constexpr double relativeStep = 0.05;
    estimate.samples = std::min(estimate.samples + 1, maxSamples);
    if (estimate.samples == 1) {
        estimate.value = sample;
        return;
    }
    // Samples above the estimate raise it in proportion to the quantile, so that it rests where that share lies below.
    const double step = std::max(estimate.value, 1.0) * relativeStep;
    estimate.value += sample > estimate.value ? step * quantile : -step * (1 - quantile);
}

void earn(hedge_budget& budget, const hedge_settings& settings)
{
    budget.tokens = std::min(budget.tokens + settings.share, settings.maxSaved);
}

bool spend(hedge_budget& budget)
{
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

} // namespace cuminledge::core::forward
