#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// @return the backend server for the call's next attempt, or null if none is available now.
backend_entry* chooseBackend(gateway_context& context, const gateway_call& call);

/// @return whether a backend server is available for the call now.
bool hasCandidate(const gateway_context& context, const gateway_call& call);

} // namespace cuminledge::core::gateway
