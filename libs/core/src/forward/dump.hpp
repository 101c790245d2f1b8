#pragma once

#include <string>

#include "context.hpp"

namespace cuminledge::core::forward {

/// @return the state as a JSON object.
std::string dumpState(const context& c);

} // namespace cuminledge::core::forward
