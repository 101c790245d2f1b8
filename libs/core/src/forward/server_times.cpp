#include <core/forward/server_times.hpp>

#include <algorithm>
#include <cmath>

namespace cuminledge::core::forward {

void addSample(measured_time& time, double milliseconds, double weight, time_point now)
{
    constexpr std::uint32_t maxSamples = 1'000'000;
    time.samples = std::min(time.samples + 1, maxSamples);
    // The first samples count alike.
    const double share = std::max(weight, 1.0 / time.samples);
    time.milliseconds += share * (milliseconds - time.milliseconds);
    time.at = now;
}

double expectedMs(const measured_time& time, double serviceMean, const time_settings& settings, time_point now)
{
    if (time.samples < settings.minSamples) {
        return serviceMean;
    }
    const auto age = std::chrono::duration<double>(now - time.at) / std::chrono::duration<double>(settings.halfLife);
    return serviceMean + (time.milliseconds - serviceMean) * std::exp2(-age);
}

double streamMs(service_times& service, time_point first, time_point last, std::int64_t events, const time_settings& settings)
{
    addSample(service.events, static_cast<double>(events), settings.serviceWeight, last);
    if (events < 2) {
        return 0;
    }
    const auto span = std::chrono::duration<double, std::milli>(last - first).count();
    return span / static_cast<double>(events - 1) * service.events.milliseconds;
}

} // namespace cuminledge::core::forward
