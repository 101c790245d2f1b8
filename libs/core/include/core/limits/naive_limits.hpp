#pragma once

#include <cstdint>

#include <core/limits/rate_limit.hpp>

/// Plainer ways to keep an account within its rate and burst, for differential tests and benches. The central bucket
/// with no delay is token_bucket itself.
namespace cuminledge::core::limits {

/// Each gateway has an equal part of the rate and the burst: never too much, but refuses wrongly where demand is uneven.
token_bucket makeStaticShare(const rate_limit& limit, std::uint32_t gateways, time_point now);

/// Each gateway runs the whole bucket and hears later what the others spent: admits too much meanwhile.
struct gossip_bucket {
    token_bucket bucket;
    std::int64_t untold = 0; ///< spent here and not told to the others yet
};

/// Spends one token by what this gateway knows.
bool trySpend(gossip_bucket& gossip, time_point now);

/// @return what to tell the other gateways.
std::int64_t takeUnreported(gossip_bucket& gossip);

/// Another gateway has spent so many.
void onGossip(gossip_bucket& gossip, std::int64_t spentThere, time_point now);

} // namespace cuminledge::core::limits
