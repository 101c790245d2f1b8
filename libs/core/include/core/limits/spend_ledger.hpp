#pragma once

#include <cstdint>
#include <vector>

#include <core/limits/rate_limit.hpp>

namespace cuminledge::core::limits {

/// A time span in which the bucket was full and accruing tokens were lost.
struct overflow_span {
    time_point from {};
    time_point until {};
};

/**
 * A token bucket for spending that is reported late, together with the time at which it took place.
 *
 * Its level equals that of a bucket with no delay: spending reported for time t restores the overflow that would not
 * have occurred if it had been subtracted at t. Subtracting spending at a later time than it took place is always
 * safe, because the level is then lower or equal.
 */
struct spend_ledger {
    token_bucket bucket;
    std::vector<overflow_span> overflow; ///< oldest first; bounded, the oldest is dropped
};

/// Advances the ledger to the given time. An earlier time changes nothing.
void advance(spend_ledger& ledger, time_point now);

/// Subtracts tokens that were spent at the given time or before it. Call advance() first.
void subtractSpent(spend_ledger& ledger, std::int64_t tokens, time_point at);

} // namespace cuminledge::core::limits
