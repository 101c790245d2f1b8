#pragma once

#include <string>

#include "context.hpp"

namespace cuminledge::core::gateway {

/// @return the gateway's state as a JSON object, without keys' hashes and callers' texts.
std::string dumpState(const context& c);

} // namespace cuminledge::core::gateway
