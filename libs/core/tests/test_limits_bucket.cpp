#include <core/limits/spend_ledger.hpp>

#include <algorithm>
#include <random>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace cuminledge;
using namespace cuminledge::core::limits;
using namespace std::chrono_literals;

namespace {

const time_point start { 1h };

} // namespace

TEST_CASE("A token bucket fills up to its burst", "[limits]")
{
    auto bucket = makeBucket({ 10, 5 }, start);
    CHECK(takeTokens(bucket, 5, start));
    CHECK_FALSE(takeTokens(bucket, 1, start));
    CHECK(timeUntilTokens(bucket, 1) == 100ms);
    CHECK(takeTokens(bucket, 1, start + 100ms));
    CHECK(takeTokens(bucket, 5, start + 1h));
    CHECK_FALSE(takeTokens(bucket, 1, start + 1h));
}

TEST_CASE("A refill at an earlier time adds no tokens", "[limits]")
{
    auto bucket = makeBucket({ 10, 5 }, start);
    CHECK(takeTokens(bucket, 5, start));
    refill(bucket, start - 10s);
    CHECK_FALSE(takeTokens(bucket, 1, start));
}

TEST_CASE("Spending reported late leaves the same level as in a bucket with no delay", "[limits]")
{
    spend_ledger ledger { makeBucket({ 10, 5 }, start), {} };
    auto prompt = makeBucket({ 10, 5 }, start);
    REQUIRE(takeTokens(prompt, 3, start + 100ms));
    refill(prompt, start + 400ms);
    advance(ledger, start + 400ms);
    subtractSpent(ledger, 3, start + 100ms);
    CHECK(ledger.bucket.tokens == Approx(prompt.tokens));
}

TEST_CASE("The ledger agrees with a bucket with no delay for any order of reports", "[limits]")
{
    const bool held = rc::check("level after all reports equals the prompt bucket's", [] {
        const rate_limit limit { static_cast<double>(*rc::gen::inRange(1, 50)), 20.0 };
        const auto times = *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 3000));
        auto prompt = makeBucket(limit, start);
        std::vector<int> spent;
        for (const auto time : [&times] { auto sorted = times; std::sort(sorted.begin(), sorted.end()); return sorted; }()) {
            if (takeTokens(prompt, 1, start + std::chrono::milliseconds(time))) {
                spent.push_back(time);
            }
        }
        const auto end = start + 3s;
        refill(prompt, end);
        spend_ledger ledger { makeBucket(limit, start), {} };
        advance(ledger, end);
        auto order = spent;
        std::shuffle(order.begin(), order.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
        for (const auto time : order) {
            subtractSpent(ledger, 1, start + std::chrono::milliseconds(time));
        }
        RC_ASSERT(ledger.bucket.tokens <= prompt.tokens + 1e-6);
        RC_ASSERT(ledger.bucket.tokens >= prompt.tokens - 1e-3);
    });
    CHECK(held);
}
