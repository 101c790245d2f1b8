#include <core/limits/spend_ledger.hpp>

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core::limits;
using namespace std::chrono_literals;

namespace {

const time_point start { 1h };

} // namespace

TEST_CASE("A token bucket fills to its burst and no further", "[limits]")
{
    auto bucket = makeBucket({ 10, 5 }, start);
    CHECK(takeTokens(bucket, 5, start));
    CHECK_FALSE(takeTokens(bucket, 1, start));
    CHECK(waitForTokens(bucket, 1) == 100ms);
    CHECK(takeTokens(bucket, 1, start + 100ms));
    CHECK(takeTokens(bucket, 5, start + 1h));
    CHECK_FALSE(takeTokens(bucket, 1, start + 1h));
}

TEST_CASE("Time that goes back adds no tokens", "[limits]")
{
    auto bucket = makeBucket({ 10, 5 }, start);
    CHECK(takeTokens(bucket, 5, start));
    refill(bucket, start - 10s);
    CHECK_FALSE(takeTokens(bucket, 1, start));
}

TEST_CASE("Spending reported late leaves the level that a bucket with no delay would hold", "[limits]")
{
    spend_ledger ledger { makeBucket({ 10, 5 }, start), {} };
    auto prompt = makeBucket({ 10, 5 }, start);
    REQUIRE(takeTokens(prompt, 3, start + 100ms));
    refill(prompt, start + 400ms);
    advance(ledger, start + 400ms);
    subtractSpent(ledger, 3, start + 100ms);
    CHECK(ledger.bucket.tokens == Approx(prompt.tokens));
}
