#pragma once

#include <random>
#include <string>
#include <utility>
#include <vector>

#include <core/forward/forwarder.hpp>

namespace cuminledge::core::forward {

/// What every function of the module needs: the state, the time, and where effects go.
struct context {
    forwarder_state& state;
    time_point now;
    std::mt19937_64& random;
    effects& out;
};

/// Logs a decision about a request, with what identifies it.
void logCall(context& c, log_level level, const char* name, const forward_call& subject,
    std::vector<std::pair<std::string, std::string>> fields);

/// Counts one event of a metric, e.g. "forward_refusals_total".
void count(context& c, const char* name);

/// @return the time since the request arrived.
std::chrono::milliseconds age(const context& c, const forward_call& subject);

} // namespace cuminledge::core::forward
