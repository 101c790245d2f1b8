#include <host/metrics.hpp>

#include <catch2/catch.hpp>

using namespace cuminledge;

TEST_CASE("counts add up and distributions show their quantiles")
{
    host::metrics registry;
    registry.add("calls_total", 1, false);
    registry.add("calls_total", 2, false);
    for (int i = 1; i <= 1000; ++i) {
        registry.add("call_seconds", i / 1000.0, true);
    }
    const auto text = registry.toPrometheus();
    CHECK(text.find("cuminledge_calls_total 3\n") != std::string::npos);
    CHECK(text.find("cuminledge_call_seconds_count 1000\n") != std::string::npos);
    CHECK(text.find("quantile=\"0.99\"") != std::string::npos);
}

TEST_CASE("a distribution with few samples shows no quantile")
{
    host::metrics registry;
    registry.add("call_seconds", 0.5, true);
    CHECK(registry.toPrometheus().find("quantile") == std::string::npos);
}
