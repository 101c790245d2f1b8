#pragma once

#include "context.hpp"

namespace cuminledge::core::forward {

/// A caller's request has come: finds its route and account, then asks for a token of the account's rate.
void admit(context& c, const forward_request& request);

} // namespace cuminledge::core::forward
