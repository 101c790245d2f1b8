#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// @return the backend server for the call's next attempt, or null where none can take it now.
backend_entry* chooseBackend(context& c, const call& subject);

/// @return whether some backend server could take the call now.
bool hasCandidate(const context& c, const call& subject);

} // namespace cuminledge::core::gateway
