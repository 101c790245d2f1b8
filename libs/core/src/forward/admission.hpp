#pragma once

#include "context.hpp"

namespace cuminledge::core::forward {

/// Admits a caller's request: finds its route and account, then asks for a token of the account's rate.
void admit(context& c, const forward_request& request);

} // namespace cuminledge::core::forward
