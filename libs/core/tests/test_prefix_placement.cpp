#include <catch2/catch.hpp>

#include <core/forward/prefix_placement.hpp>
#include <core/limits/prefix_demand.hpp>

using namespace cuminledge;
using namespace cuminledge::core::forward;
using namespace std::chrono_literals;

namespace {

constexpr time_point now { std::chrono::hours(1) };

std::vector<std::string> makeEngines(std::size_t count)
{
    std::vector<std::string> engines;
    for (std::size_t i = 0; i < count; ++i) {
        engines.push_back("e" + std::to_string(i));
    }
    return engines;
}

std::vector<wire::prefix_weight> makeWeights(const std::vector<double>& weights)
{
    std::vector<wire::prefix_weight> result;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        result.push_back({ "llm", "p" + std::to_string(i), weights[i] });
    }
    return result;
}

} // namespace

// Answers prefixes of uneven demand on engines whose memory does not hold all of them.
TEST_CASE("A prefix is kept at engines in proportion to its demand, and an engine keeps few prefixes", "[prefix]")
{
    const auto homes = placePrefixes(makeWeights({ 50, 20, 10, 10, 5, 5 }), makeEngines(40), {});
    REQUIRE(homes.size() == 6);
    CHECK(homes.at("p0").size() >= 20);
    CHECK(homes.at("p0").size() <= 21);
    CHECK(homes.at("p4").size() >= 2);
    CHECK(homes.at("p4").size() <= 3);
    std::map<std::string, int> prefixesOf;
    for (const auto& [prefix, engines] : homes) {
        for (const auto& engine : engines) {
            ++prefixesOf[engine];
        }
    }
    CHECK(prefixesOf.size() == 40);
    for (const auto& [engine, prefixes] : prefixesOf) {
        CHECK(prefixes <= 2);
    }
}

// Answers more prefixes than engines.
TEST_CASE("A prefix of little demand has one engine", "[prefix]")
{
    const auto homes = placePrefixes(makeWeights(std::vector<double>(30, 1.0)), makeEngines(4), {});
    REQUIRE(homes.size() == 30);
    for (const auto& [prefix, engines] : homes) {
        CHECK_FALSE(engines.empty());
        CHECK(engines.size() <= 2);
    }
}

// Answers the loss of an engine and small changes of the demand: most prefixes stay where they are.
TEST_CASE("A small change moves few prefixes", "[prefix]")
{
    const auto before = placePrefixes(makeWeights({ 10, 10, 10, 10 }), makeEngines(40), {});
    const auto after = placePrefixes(makeWeights({ 10, 10, 11, 10 }), makeEngines(40), {});
    int moved = 0;
    for (const auto& [prefix, engines] : after) {
        for (const auto& engine : engines) {
            moved += before.at(prefix).contains(engine) ? 0 : 1;
        }
    }
    CHECK(moved <= 5);
}

// Bad input: no engines, weights that can't be.
TEST_CASE("Weights that can't be are left out", "[prefix]")
{
    CHECK(placePrefixes({}, makeEngines(3), {}).empty());
    const auto homes = placePrefixes(makeWeights({ -1, 0, std::numeric_limits<double>::quiet_NaN(), 5 }), makeEngines(3), {});
    REQUIRE(homes.size() == 1);
    CHECK(homes.at("p3").size() == 3);
    CHECK(placePrefixes(makeWeights({ 5 }), {}, {}).at("p0").empty());
}

// Answers demand that moves from one prefix to another, and callers that send prefixes without end.
TEST_CASE("The demand of all gateways is summed, forgotten and bounded", "[prefix]")
{
    core::limits::prefix_demand demand;
    core::limits::recordPrefixes(demand, { { "llm", "a", 30 } }, now);
    core::limits::recordPrefixes(demand, { { "llm", "a", 10 }, { "llm", "b", 40 } }, now);
    const auto weights = core::limits::publishedWeights(demand, now);
    REQUIRE(weights.size() == 2);
    CHECK(weights[0].weight == Approx(weights[1].weight));

    core::limits::recordPrefixes(demand, { { "llm", "b", 40 } }, now + 30s);
    CHECK(core::limits::publishedWeights(demand, now + 30s).size() == 1);

    for (int i = 0; i < 10'000; ++i) {
        core::limits::recordPrefixes(demand, { { "llm", std::to_string(i), 1 } }, now + 30s);
    }
    CHECK(demand.services.at("llm").demand.size() == demand.settings.maxPrefixes);
}

// Guards against a placement that changes with each report.
TEST_CASE("Gateways are told the same weights for a while", "[prefix]")
{
    core::limits::prefix_demand demand;
    core::limits::recordPrefixes(demand, { { "llm", "a", 30 } }, now);
    REQUIRE(core::limits::publishedWeights(demand, now).front().weight == Approx(30));
    core::limits::recordPrefixes(demand, { { "llm", "a", 30 } }, now + 100ms);
    CHECK(core::limits::publishedWeights(demand, now + 100ms).front().weight == Approx(30));
    CHECK(core::limits::publishedWeights(demand, now + 3s).front().weight > 50);
}
