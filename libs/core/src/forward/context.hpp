#pragma once

#include <random>
#include <string>
#include <utility>
#include <vector>

#include <core/forward/forwarder.hpp>

namespace cuminledge::core::forward {

/// Passed to every function of the module: state, current time, random generator and output of effects.
struct context {
    forwarder_state& state;
    time_point now;
    std::mt19937_64& random;
    effects& out;
};

/// Logs a decision about a request, with the fields that identify the request.
void logCall(context& c, log_level level, const char* name, const forward_call& call,
    std::vector<std::pair<std::string, std::string>> fields);

/// Increments a counter metric, e.g. "forward_refused_total".
void count(context& c, const char* name);

/// @return the time since the request arrived.
std::chrono::milliseconds age(const context& c, const forward_call& call);

/// @return the time until the call's deadline.
std::chrono::milliseconds timeLeft(const context& c, const forward_call& call);

/// @return whether the status is a 2xx.
bool isSuccess(std::uint32_t status);

/// @return the replication group that holds the state of the call's account.
std::uint32_t accountGroup(const context& c, const forward_call& call);

/// @return the longest time to wait for the controllers on behalf of the call.
std::chrono::milliseconds controllerTimeout(const context& c, const forward_call& call);

} // namespace cuminledge::core::forward
