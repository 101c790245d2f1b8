#pragma once

#include <cstdint>

#include <base/clock.hpp>

namespace cuminledge::core::forward {

/// Measures the rate of requests for one service.
struct demand_meter {
    std::int64_t count = 0; ///< since the last measurement
    time_point since {};
    double perSecond = 0; ///< moving average over measurements
};

/// Ends a measurement and begins the next one. @return the rate in requests a second.
inline double measure(demand_meter& meter, time_point now)
{
    constexpr double weightOfNewest = 0.25;
    const auto elapsed = std::chrono::duration<double>(now - meter.since).count();
    if (elapsed > 0) {
        meter.perSecond += weightOfNewest * (static_cast<double>(meter.count) / elapsed - meter.perSecond);
        meter.count = 0;
        meter.since = now;
    }
    return meter.perSecond;
}

} // namespace cuminledge::core::forward
