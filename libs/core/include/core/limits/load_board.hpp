#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <base/clock.hpp>
#include <core/limits/prefix_demand.hpp>
#include <wire/control_messages.hpp>

/**
 * What all gateways together have under way at each engine.
 *
 * An engine runs a few requests at once and takes further ones in the order in which they arrive. A gateway that knows
 * only its own requests can't tell a free engine from a full one. Each gateway therefore reports its requests with each
 * poll of the configuration, and learns those of the others from the answer.
 *
 * The state is in the memory of the leader of group 0. A new leader knows everything again once each gateway has polled.
 */
namespace cuminledge::core::limits {

struct load_board_settings {
    std::chrono::milliseconds gatewayTimeout { 2'000 }; ///< the reports of a gateway that has not polled for so long do not count
    double timeWeight = 0.3; ///< of a newer report of how long requests last at an engine
    double unusualFactor = 1.25; ///< engines that are slower or faster than the others by it are reported to all gateways
};

/// An engine that takes new work.
struct shared_engine {
    std::string service;
    std::uint32_t places = 0; ///< requests that it runs at once
    std::uint32_t requests = 0; ///< under way, of all gateways
    double requestMs = 0; ///< how long a typical request of the service lasts there; 0: not known
};

/// The last report of a gateway.
struct gateway_report {
    time_point polledAt {};
    std::map<std::string, std::uint32_t> requests; ///< under way, by engine
    std::map<std::string, std::uint32_t> waiting; ///< for a place, by service
};

struct load_board {
    load_board_settings settings;
    std::map<std::string, shared_engine> engines; ///< by id
    std::map<std::string, gateway_report> gateways; ///< by name
    prefix_demand prefixes;
};

/// Replaces the engines; what is known of those that stay is kept.
void setEngines(load_board& board, const std::map<std::string, shared_engine>& engines);

/// Takes a gateway's report.
void recordReport(load_board& board, const std::string& gateway, const wire::config_poll& poll, time_point now);

/// @return the requests of the other gateways at each engine that has any.
std::vector<wire::server_requests> requestsOfOthers(const load_board& board, const std::string& gateway);

/// @return the load of each service.
std::vector<wire::service_load> measureLoads(const load_board& board);

/// @return the engines at which requests last much longer or shorter than at the others of their service.
std::vector<wire::server_time> unusualTimes(const load_board& board);

} // namespace cuminledge::core::limits
