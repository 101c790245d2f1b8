#pragma once

#include <wire/commands.hpp>

namespace cuminledge::wire {

/// @return the state as callers and operators see it: "recorded", "dispatched", "done", "not_run" or "unknown".
const char* toString(call_state state);

} // namespace cuminledge::wire
