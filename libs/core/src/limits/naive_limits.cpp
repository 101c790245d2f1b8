#include <core/limits/naive_limits.hpp>

namespace cuminledge::core::limits {

token_bucket makeStaticShare(const rate_limit& limit, std::uint32_t gateways, time_point now)
{
    return makeBucket({ limit.ratePerSecond / gateways, limit.burst / gateways }, now);
}

bool trySpend(gossip_bucket& gossip, time_point now)
{
    if (!takeTokens(gossip.bucket, 1, now)) {
        return false;
    }
    ++gossip.unreported;
    return true;
}

std::int64_t takeUnreported(gossip_bucket& gossip)
{
    const auto unreported = gossip.unreported;
    gossip.unreported = 0;
    return unreported;
}

void onGossip(gossip_bucket& gossip, std::int64_t spentElsewhere, time_point now)
{
    refill(gossip.bucket, now);
    gossip.bucket.tokens -= static_cast<double>(spentElsewhere);
}

} // namespace cuminledge::core::limits
