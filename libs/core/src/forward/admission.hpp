#pragma once

#include "context.hpp"

namespace cuminledge::core::forward {

/// Admits a caller's request: finds its route and account, then asks for a token of the account's rate.
void admit(context& c, const forward_request& request);

/// Admits a request once more that waited for the configuration to be confirmed.
void admitAgain(context& c, forward_call& call);

} // namespace cuminledge::core::forward
