#include <core/routing/retry.hpp>

#include <algorithm>

namespace cuminledge::core::routing {

void onFirstAttempt(retry_budget& budget)
{
    budget.credit = std::min(budget.limit, budget.credit + budget.ratio);
}

bool takeRetry(retry_budget& account, retry_budget& backend)
{
    // Credits are sums of a ratio such as 0.1, so the credit of a whole retry may fall short by a rounding error.
    constexpr double wholeRetry = 1 - 1e-9;
    if (account.credit < wholeRetry || backend.credit < wholeRetry) {
        ++account.refused;
        ++backend.refused;
        return false;
    }
    account.credit = std::max(0.0, account.credit - 1);
    backend.credit = std::max(0.0, backend.credit - 1);
    ++account.granted;
    ++backend.granted;
    return true;
}

std::chrono::milliseconds backoffDelay(
    const backoff_settings& settings, std::uint32_t retry, std::mt19937_64& random)
{
    constexpr std::uint32_t maxDoublings = 20;
    const auto grown = settings.base * (std::int64_t { 1 } << std::min(retry, maxDoublings));
    const auto ceiling = std::min<std::chrono::milliseconds>(settings.limit, grown);
    std::uniform_int_distribution<std::int64_t> draw(0, ceiling.count());
    return std::chrono::milliseconds(draw(random));
}

} // namespace cuminledge::core::routing
