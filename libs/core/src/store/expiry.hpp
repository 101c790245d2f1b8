#pragma once

#include <chrono>

#include <core/store/shard_state.hpp>

namespace cuminledge::core::store {

/// Returns the expiry time for a retention that starts now. The clock only advances once per interval, so it may lag by
/// one interval; a second interval covers the time until an advance is committed.
inline std::chrono::milliseconds expiryOf(const shard_state& state, std::chrono::milliseconds retention)
{
    return state.clock + retention + 2 * clockInterval;
}

} // namespace cuminledge::core::store
