#pragma once

#include <string>

#include "context.hpp"

namespace cuminledge::core::gateway {

/// @return the gateway's state as a JSON object, without key hashes and caller content.
std::string dumpState(const gateway_context& context);

} // namespace cuminledge::core::gateway
