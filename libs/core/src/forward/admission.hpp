#pragma once

#include "context.hpp"

namespace cuminledge::core::forward {

/// Admits a caller's request: finds its route and account, then asks for a token of the account's rate.
void admit(context& c, const forward_request& request);

/// Admits the calls that wait for the configuration to be confirmed.
/// @param confirmedAt when the poll was sent that has now been answered; calls that came later wait on.
void admitConfirmed(context& c, time_point confirmedAt);

} // namespace cuminledge::core::forward
