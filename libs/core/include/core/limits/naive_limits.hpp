#pragma once

#include <cstdint>

#include <core/limits/rate_limit.hpp>

/// Simpler rate limiters, for differential tests and benches. token_bucket itself serves as the central bucket with no
/// delay.
namespace cuminledge::core::limits {

/// @return a bucket with an equal share of the rate and the burst for each gateway. It never admits too much, but
/// refuses wrongly if demand is uneven.
token_bucket makeStaticShare(const rate_limit& limit, std::uint32_t gateways, time_point now);

/// Each gateway runs the whole bucket and learns later what the others spent. It admits too much in the meantime.
struct gossip_bucket {
    token_bucket bucket;
    std::int64_t unreported = 0; ///< spent here and not reported to the other gateways yet
};

/// Spends one token according to the local state of this gateway.
bool trySpend(gossip_bucket& gossip, time_point now);

/// @return the spending to report to the other gateways, and resets it.
std::int64_t takeUnreported(gossip_bucket& gossip);

/// Subtracts the tokens that another gateway has spent.
void onGossip(gossip_bucket& gossip, std::int64_t spentElsewhere, time_point now);

} // namespace cuminledge::core::limits
