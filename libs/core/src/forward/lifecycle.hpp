#pragma once

#include "context.hpp"

namespace cuminledge::core::forward {

/// Reports a change of the gateway's readiness to the load balancer.
void updateReadiness(context& c);

/// Ends the calls whose deadline has passed.
void expireCalls(context& c);

/// Begins the shutdown on SIGTERM: first reports not ready, then closes the listeners, then stops the process once no call
/// is under way.
/// @param immediately stops the process at once.
void beginShutdown(context& c, bool immediately);
/// Takes the next step of a shutdown when it is due.
void continueShutdown(context& c);

} // namespace cuminledge::core::forward
