#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// Reports a change of the gateway's readiness to the load balancer.
void updateReadiness(gateway_context& context);

/// Resumes the calls that wait for a backend server, except those in their retry pause.
void resumeWaitingCalls(gateway_context& context);

/// Ends every request that uses the key, after its withdrawal.
void endCallsOfKey(gateway_context& context, const std::string& key);

/// Checks the deadlines of all calls, every few milliseconds.
void sweepCalls(gateway_context& context);

/**
 * Starts the shutdown on SIGTERM: reports not ready, then closes the listeners, then stops when no call is in progress.
 *
 * @param immediately refuses all waiting callers and stops the process at once.
 */
void beginShutdown(gateway_context& context, bool immediately);

/// Advances the shutdown to its next phase when that is due.
void continueShutdown(gateway_context& context);

} // namespace cuminledge::core::gateway
