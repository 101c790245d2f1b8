#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <base/clock.hpp>
#include <wire/control_messages.hpp>

/// The demand of all gateways for the shared prefixes of prompts.
namespace cuminledge::core::limits {

struct prefix_demand_settings {
    std::chrono::milliseconds halfLife { 3'000 }; ///< of the demand
    std::chrono::milliseconds publishInterval { 2'000 }; ///< between changes of the weights that gateways are told
    std::size_t maxPrefixes = 256; ///< of a service whose demand is measured
};

struct service_prefixes {
    std::map<std::string, double> demand; ///< requests of late, by prefix
    std::vector<wire::prefix_weight> published;
};

struct prefix_demand {
    prefix_demand_settings settings;
    std::map<std::string, service_prefixes> services;
    time_point decayedAt {};
    time_point publishedAt {};
};

/// Counts the requests of a gateway since its last report.
void recordPrefixes(prefix_demand& demand, const std::vector<wire::prefix_weight>& requests, time_point now);

/// @return the weight of each prefix of each service, as all gateways are told at the time.
std::vector<wire::prefix_weight> publishedWeights(prefix_demand& demand, time_point now);

} // namespace cuminledge::core::limits
