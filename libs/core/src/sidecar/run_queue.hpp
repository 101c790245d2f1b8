#pragma once

#include "context.hpp"

namespace cuminledge::core::sidecar {

/// Puts an attempt whose history is here into the queue, or refuses it where the queue is full.
void enqueue(context& c, attempt_entry& entry);

/// Takes an attempt that ends out of whatever it waits or runs in.
void removeFromQueue(context& c, const attempt_entry& entry);

/// Hands the backend server as many attempts as it has room for. A suspect runs alone.
void startNext(context& c);

} // namespace cuminledge::core::sidecar
