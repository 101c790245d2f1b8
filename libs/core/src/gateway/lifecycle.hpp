#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// Tells the balancer when the gateway's readiness has changed.
void updateReadiness(context& c);

/// Tries again the calls that wait for a backend server.
void resumeWaitingCalls(context& c);

/// Ends every request that came with the key: it has been withdrawn.
void endCallsOfKey(context& c, const std::string& key);

/// Looks at the deadlines of all calls, every few milliseconds.
void sweepCalls(context& c);

/// SIGTERM: not ready first, then no new connections, then the end once nothing is under way.
void beginShutdown(context& c, bool immediately);
void continueShutdown(context& c);

} // namespace cuminledge::core::gateway
