#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <base/clock.hpp>
#include <core/event.hpp>

/**
 * Hedged requests: where an idempotent request has had no answer for longer than most of its route take, it is sent to one
 * more server, and the first answer counts. The other send is cancelled.
 *
 * The extra work is bounded by a share of the requests, so that servers that are all slow get no further load from it.
 */
namespace cuminledge::core::forward {

struct hedge_settings {
    double share = 0; ///< extra sends allowed for each request that may be hedged; 0: none are hedged
    double maxSaved = 5; ///< extra sends that a quiet time may save up
    double quantile = 0.95; ///< of a route's times, after which a request is hedged
    std::chrono::milliseconds minDelay { 20 };
    std::uint32_t minSamples = 20; ///< of a route, before its requests are hedged
    double maxUtilization = 0.7; ///< of the service's servers; above it no request is hedged
};

/// Estimates a quantile of a series that drifts, in constant memory.
struct quantile_estimate {
    double value = 0;
    std::uint32_t samples = 0; ///< saturates
};

/// @param quantile from 0 to 1.
void addSample(quantile_estimate& estimate, double sample, double quantile);

/// The extra sends that are allowed.
struct hedge_budget {
    double tokens = 0;
};

/// Counts a request that may be hedged.
void earn(hedge_budget& budget, const hedge_settings& settings);

/// @return whether one more send is allowed, which is then used up.
bool spend(hedge_budget& budget);

/// The second send of a call.
struct hedge {
    std::string upstream; ///< id of the upstream request; empty: there is none
    std::string server;
    std::string address;
    std::uint64_t incarnation = 0;
    time_point sentAt {};
};

struct hedge_counters {
    std::uint64_t sent = 0;
    std::uint64_t won = 0; ///< answered before the first send
    std::uint64_t withoutBudget = 0; ///< not sent, as the budget was used up
};

struct hedging {
    hedge_budget budget;
    std::map<std::string, quantile_estimate> times; ///< of answers in milliseconds, by route
    std::set<std::pair<time_point, exchange_id>> due; ///< when calls are to be hedged
    hedge_counters counters;
};

} // namespace cuminledge::core::forward
