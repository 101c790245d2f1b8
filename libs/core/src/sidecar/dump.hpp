#pragma once

#include <string>

#include "context.hpp"

namespace cuminledge::core::sidecar {

/// @return the sidecar's state as a JSON object, without callers' texts.
std::string dumpState(const context& c);

} // namespace cuminledge::core::sidecar
