#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// Authenticates and checks a caller's request, then starts its call or refuses it.
void onCallerRequest(gateway_context& context, const caller_request& request);

/// Continues the checks of a call whose program's account and route have been resolved.
void onProgramKnown(gateway_context& context, gateway_call& call, const known_program& program);

} // namespace cuminledge::core::gateway
