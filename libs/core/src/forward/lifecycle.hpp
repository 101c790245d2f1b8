#pragma once

#include "context.hpp"

namespace cuminledge::core::forward {

/// Tells the balancer when the gateway's readiness has changed.
void updateReadiness(context& c);

/// Ends the calls whose time is over.
void expireCalls(context& c);

/// SIGTERM: not ready first, then no new connections, then the end once nothing is under way.
void beginShutdown(context& c, bool immediately);
void continueShutdown(context& c);

} // namespace cuminledge::core::forward
