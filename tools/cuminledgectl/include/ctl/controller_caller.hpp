#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <json/value.h>

#include <net/rpc_client.hpp>

namespace cuminledge::ctl {

enum class call_outcome {
    Done,
    Refused, ///< not done
    Unknown ///< it may have been done; every method may be sent again
};

struct call_answer {
    call_outcome outcome = call_outcome::Unknown;
    Json::Value body; ///< Done: the result. Otherwise an object with "code" and "message"
};

/// How calls leave the program; tests put their own functions here.
struct call_environment {
    /// Calls one method of one controller and waits.
    std::function<net::rpc_answer(const std::string& address, const std::string& method, const std::string& parameters)> call;
    std::function<void(std::chrono::milliseconds)> sleep;
};

/// @return an environment that calls by JSON-RPC, at most `timeout` for one call.
call_environment makeEnvironment(std::chrono::milliseconds timeout);

/**
 * Calls a method of whichever controller leads: follows `not_leader`, tries every controller, sends again where an
 * answer was lost. All methods are idempotent, so sending again is safe, and the last answer tells the truth.
 *
 * @param addresses "IP:PORT" of the controllers' operators' listeners; at least one.
 * @param rounds how often every controller is tried, with a pause in between.
 */
call_answer callLeader(const call_environment& environment, const std::vector<std::string>& addresses,
    const std::string& method, const Json::Value& parameters, int rounds = 20);

} // namespace cuminledge::ctl
