#pragma once

#include <csignal>
#include <utility>

namespace cuminledge::host {

/**
 * Tells a graceful shutdown from an immediate one. Supervisors repeat SIGTERM, and planned stops that overlap send it
 * twice; only an operator's second Ctrl-C means that the work under way may be cut off.
 */
struct shutdown_signals {
    bool isInterrupted = false; ///< a SIGINT has arrived

    /// @param number of the signal that has arrived: SIGTERM or SIGINT.
    /// @return whether the process shall stop at once: from the second SIGINT on.
    bool isImmediate(int number) { return number == SIGINT && std::exchange(isInterrupted, true); }
};

} // namespace cuminledge::host
