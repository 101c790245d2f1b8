#pragma once

#include <chrono>
#include <string>

#include "context.hpp"

namespace cuminledge::core::gateway {

/// What a refusal says of the work that was asked for.
enum class ran_state : std::uint8_t {
    NotRun, ///< proved; it has not run and will not
    Ran,
    Unknown
};

/// Why a caller's request has no answer.
struct refusal {
    error_code code = error_code::Internal;
    std::string message;
    std::string step;
    std::string peer;
    ran_state ran = ran_state::NotRun;
    std::chrono::milliseconds retryAfter { 0 }; ///< 0: sending it again is no use, or at once
};

/// @return the HTTP status that fits the code by convention.
std::uint32_t statusOf(error_code code);

/// @return the application/problem+json document.
std::string renderProblem(const refusal& r, const std::string& requestId);

/// @return a refusal made from a controller's error. @param ran what is known of the work.
refusal refusalOf(const error& e, ran_state ran);
refusal refusalOf(const wire::refused& r, ran_state ran, const std::string& peer);

/// Refuses an exchange that has not become a call.
void refuseExchange(context& c, exchange_id exchange, const std::string& requestId, const refusal& r);

/// Answers the waiting caller, if any, with a refusal; a stream that has begun gets it as its last event and is cut
/// off, so that it can't be taken for a whole answer. The call goes on without a caller.
void refuseCaller(context& c, call& subject, const refusal& r);

/// Refuses the caller and forgets the call. The reference is dangling afterwards.
void refuseAndFinish(context& c, call& subject, const refusal& r);

} // namespace cuminledge::core::gateway
