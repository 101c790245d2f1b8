#include <core/forward/server_times.hpp>

#include <algorithm>
#include <cmath>

namespace cuminledge::core::forward {

void addSample(moving_average& average, double sample, double weight, time_point now)
{
    constexpr std::uint32_t maxSamples = 1'000'000;
    average.samples = std::min(average.samples + 1, maxSamples);
    // The first samples count alike.
    const double share = std::max(weight, 1.0 / average.samples);
    average.value += share * (sample - average.value);
    average.at = now;
}

double expectedMs(const moving_average& time, double serviceMean, const time_settings& settings, time_point now)
{
    if (time.samples < settings.minSamples) {
        return serviceMean;
    }
    const auto age = std::chrono::duration<double>(now - time.at) / std::chrono::duration<double>(settings.halfLife);
    return serviceMean + (time.value - serviceMean) * std::exp2(-age);
}

double streamMs(service_times& service, time_point first, time_point last, std::int64_t events, const time_settings& settings)
{
    addSample(service.events, static_cast<double>(events), settings.serviceWeight, last);
    if (events < 2) {
        return 0;
    }
    const auto span = std::chrono::duration<double, std::milli>(last - first).count();
    return span / static_cast<double>(events - 1) * service.events.value;
}

} // namespace cuminledge::core::forward
