#pragma once

#include <cstdint>
#include <vector>

#include <core/limits/rate_limit.hpp>

namespace cuminledge::core::limits {

/// A time in which the bucket was full and what came in was lost.
struct overflow_span {
    time_point from {};
    time_point until {};
};

/**
 * A token bucket whose spending is reported late, with the time at which it was done.
 *
 * Its level is what a bucket with no delay would hold: spending reported for time t takes back the overflow that would
 * not have happened had it been subtracted at t. Subtracting later than the spending was done is always on the safe
 * side: the level is then lower or equal.
 */
struct spend_ledger {
    token_bucket bucket;
    std::vector<overflow_span> overflow; ///< oldest first; bounded, the oldest is forgotten
};

/// Brings the ledger up to the time. Time that goes back changes nothing.
void advance(spend_ledger& ledger, time_point now);

/// Subtracts tokens that were spent at that time or before. Call advance() first.
void subtractSpent(spend_ledger& ledger, std::int64_t tokens, time_point at);

} // namespace cuminledge::core::limits
