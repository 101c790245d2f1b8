#pragma once

#include <chrono>
#include <cstdint>

#include <base/clock.hpp>

/// Rate and burst of client accounts across all gateways: the authority's and the gateways' part.
namespace cuminledge::core::limits {

/// What an account may use: in any interval at most ratePerSecond * its length + burst calls.
struct rate_limit {
    double ratePerSecond = 0;
    double burst = 0;
};

/// Times that the authority and the gateways must agree on.
struct lease_settings {
    std::chrono::milliseconds leaseDuration { 2'000 }; ///< counts from when the request was sent
    std::chrono::milliseconds reservationValidity { 3'000 }; ///< a leader grants only so long after a reservation
    double clockDrift = 0.01; ///< most by which two monotonic clocks differ, as a share of the time passed
    std::chrono::milliseconds recallTimeout { 250 }; ///< a gateway that does not answer a recall is passed over
    std::chrono::milliseconds shortHold { 50 }; ///< a request is held so long for a token before it is refused
    std::chrono::milliseconds unsureHold { 1'000 }; ///< the same while tokens of an earlier leader are outstanding
    std::chrono::milliseconds commitTimeout { 1'000 }; ///< a reservation not committed by then is proposed again
    std::chrono::milliseconds requestTimeout { 200 }; ///< an unanswered request is given up and sent anew
    std::chrono::milliseconds idleReturn { 500 }; ///< a gateway gives back tokens it has not used for so long
    std::chrono::milliseconds leaseAhead { 500 }; ///< demand that a gateway wants to hold tokens for
    std::chrono::milliseconds maxRefusalMemory { 500 }; ///< a gateway refuses so long by itself after a refusal
    std::chrono::milliseconds exhaustionPeriod { 700 }; ///< after a refusal the account's rate is taken as used up so long
    std::size_t maxWaitingPerAccount = 4'096; ///< calls that one gateway holds for an answer
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

/// Adds what has come in since the last call. Time that goes back adds nothing.
void refill(token_bucket& bucket, time_point now);

/// Takes all of them or none. @return whether they were there.
bool takeTokens(token_bucket& bucket, std::int64_t tokens, time_point now);

/// @return when so many tokens will be there if none is taken meanwhile; at most an hour.
std::chrono::milliseconds timeUntilTokens(const token_bucket& bucket, std::int64_t tokens);

} // namespace cuminledge::core::limits
