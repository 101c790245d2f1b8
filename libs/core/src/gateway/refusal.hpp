#pragma once

#include <chrono>
#include <string>

#include "context.hpp"

namespace cuminledge::core::gateway {

/// Whether the requested work has run, as reported in a refusal.
enum class ran_state : std::uint8_t {
    NotRun, ///< proved: it has not run and will not run
    Ran,
    Unknown
};

/// Why a caller's request is not answered.
struct refusal {
    error_code code = error_code::Internal;
    std::string message;
    std::string step;
    std::string peer;
    ran_state ran = ran_state::NotRun;
    std::chrono::milliseconds retryAfter { 0 }; ///< 0: a retry does not help, or may be sent at once
};

/// @return the conventional HTTP status for the error code.
std::uint32_t httpStatus(error_code code);

/// @return the application/problem+json document.
std::string renderProblem(const refusal& cause, const std::string& requestId);

/// @param ran whether the requested work has run, as far as known.
/// @return the refusal for an error of the gateway, or for a controller's refusal in the second overload.
refusal makeRefusal(const error& e, ran_state ran);
refusal makeRefusal(const wire::refused& refused, ran_state ran, const std::string& peer);

/// Refuses an exchange, without any change to calls.
void refuseExchange(gateway_context& context, exchange_id exchange, const std::string& requestId, const refusal& cause);

/// Refuses the caller, if one is waiting. A stream that has started receives the refusal as its last event and is then
/// aborted, so that it cannot be mistaken for a complete answer. The call continues without a caller.
void refuseCaller(gateway_context& context, gateway_call& call, const refusal& cause);

/// Refuses the caller and removes the call. The reference is dangling afterwards.
void refuseAndFinish(gateway_context& context, gateway_call& call, const refusal& cause);

} // namespace cuminledge::core::gateway
