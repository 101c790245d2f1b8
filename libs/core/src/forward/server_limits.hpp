#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "context.hpp"

/// Keeps to the request limits that backend servers state, together with the other gateways (see
/// core/limits/server_limit_authority.hpp).
namespace cuminledge::core::forward {

/// Takes what the answer of the call's server states.
void noteStatedLimit(context& c, const forward_call& call, const upstream_head& head);

/// Counts a request that needs a server of the service.
void recordDemand(context& c, const std::string& service);

/// Counts a request that is sent to the server.
void recordSendToServer(context& c, const std::string& server);

/// @return the reports for the next poll.
std::vector<wire::server_limit_report> makeLimitReports(context& c);

/// Applies the grants in the answer to a poll.
void applyAllowances(context& c, const wire::config_update& update, time_point pollSentAt);

/// @return when a server of the service is expected to take the next request of this gateway, as its servers' limits say;
///         the default advice if no server of the service limits its requests.
std::chrono::milliseconds retryAfterLimits(context& c, const std::string& service);

} // namespace cuminledge::core::forward
