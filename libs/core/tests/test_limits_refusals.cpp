#include <catch2/catch.hpp>

#include <core/limits/lease_holder.hpp>
#include <core/limits/rate_authority.hpp>

using namespace cuminledge;
using namespace cuminledge::core::limits;
using namespace std::chrono_literals;

namespace {

const time_point start { std::chrono::hours(1) };

wire::rate_lease_request makeRequest()
{
    wire::rate_lease_request request;
    request.request = 1;
    request.account = "alice";
    request.session = 1;
    request.wanted = 1;
    request.waiting = 1;
    return request;
}

} // namespace

TEST_CASE("A leader that knows an account's reservations but not its limit refuses no call", "[limits]")
{
    // After a restart of all controllers a group may elect a leader before the configuration is applied there.
    rate_authority authority;
    authority_output output;
    onReservationApplied(authority, { "alice", 1, 5, 1, 50, 5 }, start, output);
    startLeading(authority, 2, start);
    onRateRequest(authority, "g1", makeRequest(), start, output);
    CHECK(output.grants.empty());

    setAccountLimit(authority, "alice", { 59, 59 }, start);
    onRateRequest(authority, "g1", makeRequest(), start, output);
    for (const auto& reservation : output.reservations) {
        authority_output applied;
        onReservationApplied(authority, reservation, start, applied);
        output.grants.insert(output.grants.end(), applied.grants.begin(), applied.grants.end());
    }
    REQUIRE(output.grants.size() == 1);
    CHECK(output.grants[0].second.tokens >= 1);
}

TEST_CASE("A gateway stops refusing locally within a second, although the authority's retry time is an hour", "[limits]")
{
    auto holder = makeLeaseHolder(1);
    CHECK(trySpend(holder, "alice", start).decision == spend_decision::Waiting);
    const auto requests = collectRequests(holder, start);
    REQUIRE(requests.size() == 1);
    wire::rate_lease_grant refusal;
    refusal.request = requests[0].request;
    refusal.account = "alice";
    refusal.session = requests[0].session;
    refusal.epoch = 1;
    refusal.lease = 1;
    refusal.duration = 2s;
    refusal.retryAfter = std::chrono::hours(1);
    const auto outcome = onRateGrant(holder, refusal, start);
    CHECK(outcome.refused == 1);
    CHECK(outcome.retryAfter == std::chrono::hours(1));
    CHECK(trySpend(holder, "alice", start + 100ms).decision == spend_decision::Refused);
    CHECK(trySpend(holder, "alice", start + 1s).decision == spend_decision::Waiting);
}
