#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// Takes a caller's request: checks it, finds out whose it is, and starts its call, or refuses it.
void onCallerRequest(context& c, const caller_request& request);

/// The account, route and home of the call's program are known now, so that its checks can go on.
void onProgramKnown(context& c, call& subject, const known_program& program);

} // namespace cuminledge::core::gateway
