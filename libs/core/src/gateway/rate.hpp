#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// The call's checks have passed; asks for a token of its client account's rate, then goes on or refuses.
void requestRate(context& c, call& subject);

} // namespace cuminledge::core::gateway
