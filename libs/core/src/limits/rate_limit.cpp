#include <core/limits/rate_limit.hpp>

#include <algorithm>
#include <cmath>

namespace cuminledge::core::limits {

token_bucket makeBucket(const rate_limit& limit, time_point now)
{
    return { limit, limit.burst, now };
}

void refill(token_bucket& bucket, time_point now)
{
    if (now <= bucket.updated) {
        return;
    }
    const std::chrono::duration<double> passed = now - bucket.updated;
    bucket.tokens = std::min(bucket.limit.burst, bucket.tokens + passed.count() * bucket.limit.ratePerSecond);
    bucket.updated = now;
}

bool takeTokens(token_bucket& bucket, std::int64_t tokens, time_point now)
{
    refill(bucket, now);
    if (bucket.tokens < static_cast<double>(tokens)) {
        return false;
    }
    bucket.tokens -= static_cast<double>(tokens);
    return true;
}

std::chrono::milliseconds timeUntilTokens(const token_bucket& bucket, std::int64_t tokens)
{
    constexpr std::chrono::milliseconds maxWait = std::chrono::hours(1);
    const double missing = static_cast<double>(tokens) - bucket.tokens;
    if (missing <= 0) {
        return std::chrono::milliseconds { 0 };
    }
    const double seconds = missing / std::max(bucket.limit.ratePerSecond, 1e-9);
    if (seconds >= std::chrono::duration<double>(maxWait).count()) {
        return maxWait;
    }
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000)));
}

} // namespace cuminledge::core::limits
