#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include <base/clock.hpp>

/// Retry budgets and back-off: how often a failed attempt may be made again, and when.
namespace cuminledge::core::routing {

/**
 * Allows retries in proportion to first attempts, so that an outage is not multiplied by retrying.
 * One budget for each client account and one for each backend server; a retry takes from both.
 */
struct retry_budget {
    double credit = 10; ///< retries that may be made now
    double ratio = 0.1; ///< retries earned by each first attempt
    double limit = 10; ///< most credit that is kept
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
};

/// Call for each first attempt.
void onFirstAttempt(retry_budget& budget);

/// Takes one retry from both budgets. @return false, with nothing taken, where either has none left.
bool takeRetry(retry_budget& account, retry_budget& backend);

struct backoff_settings {
    std::chrono::milliseconds base { 20 };
    std::chrono::milliseconds limit { 2000 };
};

/// @param retry counts from 0. @return a delay drawn evenly from [0, min(limit, base * 2^retry)] ("full jitter").
std::chrono::milliseconds backoffDelay(
    const backoff_settings& settings, std::uint32_t retry, std::mt19937_64& random);

} // namespace cuminledge::core::routing
