#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <base/clock.hpp>
#include <wire/control_messages.hpp>

/**
 * How long requests last at each server, measured from the answers.
 *
 * Servers of one service differ: some are lastingly slower, some for a while. A measurement counts less as it ages, so
 * that a server that was slow is tried again, and a single slow answer does not change where requests go.
 */
namespace cuminledge::core::forward {

/// Parameters of the measurement.
struct time_settings {
    double newestWeight = 0.25; ///< of the newest measurement at a server
    double serviceWeight = 0.02; ///< of the newest measurement in the mean of its service
    std::chrono::milliseconds halfLife { 8'000 }; ///< after it, half of a server's difference from the mean is believed
    double usualFactor = 1.25; ///< a server that is slower than the mean by less is not avoided
    std::uint32_t minSamples = 2; ///< before them, a server is taken to be like the others
};

/// A moving average.
struct moving_average {
    double value = 0;
    std::uint32_t samples = 0; ///< saturates
    time_point at {}; ///< of the newest sample
};

/// Adds a sample. @param weight of the newest one once there are many, from 0 to 1.
void addSample(moving_average& average, double sample, double weight, time_point now);

/// @return how long a request is expected to last at the server, in milliseconds.
/// @param serviceMean of all servers of the service.
double expectedMs(const moving_average& time, double serviceMean, const time_settings& settings, time_point now);

/// What a gateway learns of a service.
struct service_times {
    moving_average request; ///< milliseconds, as compared between servers: of a plain request, or of a stream of a typical number of events
    moving_average events; ///< number of events of a stream
    moving_average occupancy; ///< milliseconds from the send to the end of the answer
    std::map<std::string, moving_average> routes; ///< milliseconds of plain requests, by route
};

/// Estimates how long a stream of a typical number of events lasts at the server that sent this one.
/// @param first when the first event came.
/// @param last when the last one came.
/// @return milliseconds; 0: it had too few events to tell.
double streamMs(service_times& service, time_point first, time_point last, std::int64_t events, const time_settings& settings);

} // namespace cuminledge::core::forward
