#pragma once

#include "context.hpp"

/// Bounds what the gateway keeps of all answers together, as a bound for each call does not bound the process.
namespace cuminledge::core::forward {

/// Updates the total after the call's part of the answer has changed.
void recordHeldBytes(context& c, forward_call& call);

/// Takes the call out of the total.
void releaseHeldBytes(context& c, const forward_call& call);

/// Ends the calls that hold most until the total is within its limit. References to calls are dangling afterwards.
void limitHeldBytes(context& c);

} // namespace cuminledge::core::forward
