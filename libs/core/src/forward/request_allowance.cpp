#include <core/forward/request_allowance.hpp>

#include <algorithm>

namespace cuminledge::core::forward {

namespace {

    bool holdsGrant(const request_allowance& allowance, time_point now)
    {
        return now < allowance.grantEndsAt;
    }

    /// Gateways that begin with their equal shares at the same time must not send at the same time.
    time_point firstSendAt(const request_allowance& allowance, time_point from, const limit_division& division)
    {
        const auto interval = equalShareInterval(allowance.requestsPerSecond, division);
        std::uniform_int_distribution<std::int64_t> phase(1, interval.count());
        return from + std::chrono::milliseconds(phase(division.random));
    }

} // namespace

std::chrono::milliseconds equalShareInterval(double requestsPerSecond, const limit_division& division)
{
    constexpr double msPerSecond = 1'000;
    const auto rate = std::max(requestsPerSecond, division.settings.minRequestsPerSecond);
    const auto gateways = division.gateways == 0 ? division.settings.defaultGateways : division.gateways;
    return std::chrono::milliseconds(static_cast<std::int64_t>(msPerSecond * gateways / rate) + 1);
}

void observeLimit(request_allowance& allowance, double requestsPerSecond, time_point now, const limit_division& division)
{
    const bool isNew = !allowance.isLimited;
    allowance.isLimited = true;
    allowance.hasBeenLimited = true;
    allowance.requestsPerSecond = requestsPerSecond;
    allowance.isObserved = true;
    allowance.observedAt = now;
    if (isNew) {
        // Nothing is granted yet.
        allowance.grantEndsAt = now;
        allowance.nextSendAt = firstSendAt(allowance, now, division);
    }
}

void observeNoLimit(request_allowance& allowance, time_point now)
{
    allowance.isLimited = false;
    allowance.isObserved = true;
    allowance.observedAt = now;
}

void applyGrant(request_allowance& allowance, const wire::server_allowance& grant, time_point pollSentAt, time_point now,
    const limit_division& division)
{
    const bool isOvertaken = allowance.isObserved && allowance.observedAt > pollSentAt;
    if (isOvertaken && !allowance.isLimited) {
        return;
    }
    if (!isOvertaken) {
        allowance.isLimited = true;
        allowance.hasBeenLimited = true;
        allowance.requestsPerSecond = grant.requestsPerSecond;
        allowance.isObserved = true;
        allowance.observedAt = now - grant.observedAge;
    }
    allowance.maxSent = grant.maxSent;
    allowance.grantEndsAt = now + division.settings.grantDuration;
    allowance.nextSendAt = firstSendAt(allowance, allowance.grantEndsAt, division);
}

bool maySend(const request_allowance& allowance, time_point now)
{
    if (!allowance.isLimited) {
        return true;
    }
    return holdsGrant(allowance, now) ? allowance.sent < allowance.maxSent : now >= allowance.nextSendAt;
}

void recordSend(request_allowance& allowance, time_point now, const limit_division& division)
{
    ++allowance.sent;
    if (allowance.isLimited && !holdsGrant(allowance, now)) {
        allowance.nextSendAt = now + equalShareInterval(allowance.requestsPerSecond, division);
    }
}

} // namespace cuminledge::core::forward
