#pragma once

#include <chrono>
#include <cstdint>

#include <base/clock.hpp>

/// Limits the rate and burst of client accounts across all gateways.
namespace cuminledge::core::limits {

/// Limit of an account: at most ratePerSecond * length + burst calls in any interval of that length in seconds.
struct rate_limit {
    double ratePerSecond = 0;
    double burst = 0;
};

/// Settings on which the authority and the gateways must agree.
struct lease_settings {
    std::chrono::milliseconds leaseDuration { 2'000 }; ///< measured from the time the request was sent
    std::chrono::milliseconds reservationValidity { 3'000 }; ///< a leader grants tokens only for this long after a reservation
    double clockDrift = 0.01; ///< largest rate difference of two monotonic clocks, as a share of the elapsed time
    std::chrono::milliseconds recallTimeout { 250 }; ///< a gateway that has not answered a recall by then is no longer waited for
    std::chrono::milliseconds refusalHold { 50 }; ///< how long a request waits for a token before it is refused
    std::chrono::milliseconds smallBurstRefusalHold { 1'000 }; ///< the same for a burst smaller than what accrues during grantDelay
    std::chrono::milliseconds grantDelay { 20 }; ///< from the request for a token until the report of its use
    std::chrono::milliseconds failoverRefusalHold { 1'000 }; ///< the same while tokens of an earlier leader may be outstanding
    std::chrono::milliseconds commitTimeout { 1'000 }; ///< a reservation that is not committed by then is proposed again
    std::chrono::milliseconds requestTimeout { 200 }; ///< an unanswered request is abandoned and sent again
    std::chrono::milliseconds idleReturnTimeout { 500 }; ///< a gateway returns tokens after it has not used any for this long
    std::chrono::milliseconds prefetchPeriod { 500 }; ///< a gateway requests tokens for the expected demand of this period
    std::chrono::milliseconds maxLocalRefusalPeriod { 500 }; ///< longest time a gateway refuses locally after a refusal
    std::chrono::milliseconds exhaustionPeriod { 700 }; ///< how long the account's rate counts as used up after a refusal
    std::size_t maxWaitingPerAccount = 4'096; ///< calls that one gateway holds until the authority answers
};

/**
 * A token bucket.
 *
 *     token_bucket bucket = makeBucket({ 50, 100 }, now);
 *     bool admitted = takeTokens(bucket, 1, now);
 */
struct token_bucket {
    rate_limit limit;
    double tokens = 0;
    time_point updated {};
};

/// @return a full bucket.
token_bucket makeBucket(const rate_limit& limit, time_point now);

/// Adds the tokens accrued since the last call. A time before the last call adds nothing.
void refill(token_bucket& bucket, time_point now);

/// Takes all of the tokens or none. @return whether the bucket held enough.
bool takeTokens(token_bucket& bucket, std::int64_t tokens, time_point now);

/// @return time until the bucket holds this many tokens if none is taken in the meantime; at most one hour.
std::chrono::milliseconds timeUntilTokens(const token_bucket& bucket, std::int64_t tokens);

} // namespace cuminledge::core::limits
