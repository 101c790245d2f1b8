#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include <base/clock.hpp>

/// Retry budgets and back-off: limits how often a failed attempt is retried, and spaces the retries.
namespace cuminledge::core::routing {

/**
 * Allows retries in proportion to first attempts, so that retries do not multiply the load in an outage.
 * Each client account and each backend server has a budget; a retry takes from both.
 */
struct retry_budget {
    double credit = 10; ///< retries available now
    double ratio = 0.1; ///< retries earned by each first attempt
    double limit = 10; ///< maximum credit
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
};

/// Adds the credit that a first attempt earns.
void onFirstAttempt(retry_budget& budget);

/// Takes one retry from both budgets.
/// @return false, with nothing taken, if either has none left.
bool takeRetry(retry_budget& account, retry_budget& backend);

struct backoff_settings {
    std::chrono::milliseconds base { 20 };
    std::chrono::milliseconds limit { 2000 };
};

/// @param retry number of the retry, from 0.
/// @return a random delay, uniform in [0, min(limit, base * 2^retry)] ("full jitter").
std::chrono::milliseconds backoffDelay(
    const backoff_settings& settings, std::uint32_t retry, std::mt19937_64& random);

} // namespace cuminledge::core::routing
