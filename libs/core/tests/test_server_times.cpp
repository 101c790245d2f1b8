#include <catch2/catch.hpp>

#include <core/forward/server_times.hpp>

using namespace cuminledge;
using namespace cuminledge::core::forward;
using namespace std::chrono_literals;

namespace {

constexpr time_point now { std::chrono::hours(1) };

} // namespace

// Answers servers that are lastingly slower than the others.
TEST_CASE("A server that is slow again and again is expected to be slow", "[times]")
{
    const time_settings settings;
    moving_average time;
    for (int i = 0; i < 10; ++i) {
        addSample(time, 360, settings.newestWeight, now);
    }
    CHECK(expectedMs(time, 165, settings, now) == Approx(360));
}

// Answers a server that is slow for a moment.
TEST_CASE("One slow answer makes little difference", "[times]")
{
    const time_settings settings;
    moving_average time;
    CHECK(expectedMs(time, 165, settings, now) == Approx(165));
    addSample(time, 400, settings.newestWeight, now);
    CHECK(expectedMs(time, 165, settings, now) == Approx(165)); // too few samples
    for (int i = 0; i < 20; ++i) {
        addSample(time, 165, settings.newestWeight, now);
    }
    addSample(time, 400, settings.newestWeight, now);
    CHECK(expectedMs(time, 165, settings, now) < 165 + (400 - 165) / 3.0);
}

// Guards against a server that is never tried again because it once was slow.
TEST_CASE("What is known of a server is forgotten as it ages", "[times]")
{
    const time_settings settings;
    moving_average time;
    for (int i = 0; i < 10; ++i) {
        addSample(time, 365, settings.newestWeight, now);
    }
    CHECK(expectedMs(time, 165, settings, now + settings.halfLife) == Approx(265));
    CHECK(expectedMs(time, 165, settings, now + 10 * settings.halfLife) < 166);
}

TEST_CASE("A stream's time is that of a typical number of events", "[times]")
{
    const time_settings settings;
    service_times service;
    CHECK(streamMs(service, now, now, 1, settings) == 0);
    for (int i = 0; i < 200; ++i) {
        streamMs(service, now, now + 180ms, 7, settings);
    }
    CHECK(service.events.value == Approx(7).margin(0.05));
    CHECK(streamMs(service, now, now + 300ms, 11, settings) == Approx(30 * 7).margin(5));
}
