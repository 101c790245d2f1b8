#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <base/clock.hpp>
#include <wire/control_messages.hpp>

/**
 * Divides the request limits that backend servers state among the gateways.
 *
 * A server limits the requests of all gateways together, but each gateway sees only the answers that it receives itself.
 * Gateways therefore report the limits and their demand with each poll of the configuration, and the leader of group 0
 * answers with an upper bound of requests for each of them. A token bucket for each server backs the bounds, so that their
 * sum stays within the limit however the demand is spread.
 *
 * A server that has just started may take fewer requests for a while; it says so when it announces itself, and its limit is
 * divided in the same way.
 *
 * The state is in the leader's memory. A new leader starts with empty buckets and learns the limits from the polls.
 */
namespace cuminledge::core::limits {

/// A gateway's part of a server's limit.
struct gateway_share {
    std::uint64_t sent = 0; ///< as last reported
    std::uint64_t maxSent = 0; ///< bound that was granted last
    double wanted = 0; ///< requests until its next poll
    time_point polledAt {};
};

/// A backend server that limits the requests it takes.
struct limited_server {
    std::uint64_t incarnation = 0;
    double requestsPerSecond = 0; ///< as stated in an answer
    double coldRequestsPerSecond = 0; ///< while the server is cold; 0: it is not
    bool isLimited = false; ///< false: kept for a while, so that older reports do not bring the limit back
    time_point observedAt {}; ///< time of the answer that stated the limit, or no limit any more
    time_point reportedAt {}; ///< time of the last report by any gateway
    double tokens = 0; ///< requests that are not granted yet
    time_point refilledAt {};
    std::map<std::string, gateway_share> shares; ///< by gateway
};

struct server_limit_settings {
    /// Rate granted for a server that takes less, in requests a second over all gateways. Without any request, no answer
    /// could tell that the limit has changed.
    double minRequestsPerSecond = 0.25;
    std::chrono::milliseconds burst { 750 }; ///< time whose requests a bucket holds at most
    double minBurstRequests = 2; ///< but at least so many
    std::chrono::milliseconds gatewayTimeout { 1'500 }; ///< a gateway that has not polled for so long is not counted
    std::chrono::milliseconds serverTimeout { 10'000 }; ///< a server that no gateway has reported for so long is removed
    std::chrono::milliseconds warmUpTime { 1'500 }; ///< of a new leader, until all gateways have polled it
};

struct server_limit_authority {
    server_limit_settings settings;
    time_point startedAt {};
    std::map<std::string, limited_server> servers; ///< by id
    std::map<std::string, time_point> gateways; ///< time of their last poll
};

/// Takes a gateway's reports and grants it a part of each limit.
/// @return an allowance for each limited server, also for those that the gateway has not reported.
std::vector<wire::server_allowance> grantAllowances(server_limit_authority& authority, const std::string& gateway,
    const std::vector<wire::server_limit_report>& reports, time_point now, std::mt19937_64& random);

/// Limits the requests to a server that is cold, whatever its answers state.
/// @param requestsPerSecond over all gateways; 0: the server is not cold any more.
void setColdLimit(server_limit_authority& authority, const std::string& server, std::uint64_t incarnation,
    double requestsPerSecond, time_point now);

/// @return the number of gateways that poll; 0 while a new leader does not know all of them.
std::uint32_t countGateways(const server_limit_authority& authority, time_point now);

} // namespace cuminledge::core::limits
