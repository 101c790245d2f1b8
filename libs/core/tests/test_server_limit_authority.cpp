#include <catch2/catch.hpp>

#include <core/limits/server_limit_authority.hpp>

using namespace cuminledge;
using namespace cuminledge::core::limits;
using namespace std::chrono_literals;

namespace {

constexpr time_point start { std::chrono::hours(1) };

wire::server_limit_report makeReport(double limit, std::uint64_t sent, double wanted, std::chrono::milliseconds age = 0ms)
{
    return { "s", 1, true, limit, age, sent, wanted };
}

struct authority_fixture {
    server_limit_authority authority;
    std::mt19937_64 random { 3 };
    time_point now = start;

    /// @return the bound that the gateway is granted, or none if the server is not limited.
    std::optional<std::uint64_t> poll(const std::string& gateway, const std::vector<wire::server_limit_report>& reports)
    {
        const auto allowances = grantAllowances(authority, gateway, reports, now, random);
        return allowances.empty() ? std::nullopt : std::optional(allowances.front().maxSent);
    }
};

} // namespace

TEST_CASE("A gateway that has not seen the limit is told of it", "[limits]")
{
    authority_fixture fixture;
    CHECK_FALSE(fixture.poll("g2", {}));
    fixture.poll("g1", { makeReport(5, 0, 1) });
    CHECK(fixture.poll("g2", {}) == 0);
}

// Guards against bounds whose sum is over the limit, whatever the gateways use of them.
TEST_CASE("What is granted stays within the limit", "[limits]")
{
    const auto limit = GENERATE(0.5, 3.0, 20.0, 500.0);
    const auto usedShare = GENERATE(0.0, 0.5, 1.0);
    authority_fixture fixture;
    constexpr int gateways = 8;
    constexpr int rounds = 200;
    std::vector<std::uint64_t> sent(gateways, 0);
    std::vector<std::uint64_t> bound(gateways, 0);
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < gateways; ++i) {
            fixture.now += 37ms;
            sent[i] += static_cast<std::uint64_t>(static_cast<double>(bound[i] - sent[i]) * usedShare);
            bound[i] = *fixture.poll("g" + std::to_string(i), { makeReport(limit, sent[i], 100) });
            CHECK(bound[i] >= sent[i]);
        }
    }
    const auto seconds = std::chrono::duration<double>(fixture.now - start).count();
    std::uint64_t total = 0;
    for (const auto one : bound) {
        total += one;
    }
    INFO("limit " << limit << ", used share " << usedShare);
    CHECK(static_cast<double>(total) <= limit * seconds + std::max(limit, 2.0) + 1);
    if (usedShare == 1.0) {
        constexpr double owedShare = 0.9;
        CHECK(static_cast<double>(total) >= owedShare * limit * seconds - 2);
    }
}

// Guards against a late report of an earlier answer that brings a limit back, or takes it away.
TEST_CASE("The latest answer of the server holds, in whichever order gateways report", "[limits]")
{
    authority_fixture fixture;
    fixture.poll("g1", { makeReport(5, 0, 1) });
    fixture.now += 1'000ms;
    wire::server_limit_report end = makeReport(0, 0, 1, 100ms);
    end.isLimited = false;
    CHECK_FALSE(fixture.poll("g2", { end }));
    CHECK_FALSE(fixture.poll("g1", { makeReport(5, 0, 1, 500ms) }));
    CHECK(fixture.poll("g1", { makeReport(5, 0, 1, 10ms) }));
}

TEST_CASE("A later start of the server has its own limit", "[limits]")
{
    authority_fixture fixture;
    fixture.poll("g1", { makeReport(5, 0, 1) });
    auto later = makeReport(0, 0, 1, 900ms);
    later.incarnation = 2;
    later.isLimited = false;
    CHECK_FALSE(fixture.poll("g2", { later }));
    CHECK_FALSE(fixture.poll("g1", { makeReport(5, 0, 1) }));
}

// Guards against numbers on the wire that break the accounting.
TEST_CASE("Limits and demands of any size leave the bounds sound", "[limits]")
{
    authority_fixture fixture;
    for (const double limit : { 0.0, 1e-300, 1e308 }) {
        for (const double wanted : { 0.0, -1.0, 1e9, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN() }) {
            fixture.now += 300ms;
            const auto bound = fixture.poll("g", { makeReport(limit, 10, wanted) });
            REQUIRE(bound);
            CHECK(*bound >= 10);
            CHECK(*bound <= 10 + 1'000'000'000);
        }
    }
}

TEST_CASE("Gateways are counted once the leader has led for a while", "[limits]")
{
    authority_fixture fixture;
    fixture.authority.startedAt = start;
    fixture.poll("g1", {});
    CHECK(countGateways(fixture.authority, fixture.now) == 0);
    fixture.now += 2'000ms;
    fixture.poll("g2", {});
    CHECK(countGateways(fixture.authority, fixture.now) == 1);
    fixture.poll("g1", {});
    CHECK(countGateways(fixture.authority, fixture.now) == 2);
}
