#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <core/store/shard_state.hpp>

/**
 * A snapshot of a shard that is encoded part by part while it is sent, so that the state is not held a second time.
 *
 * Everything but the texts of turns is fixed when the snapshot is made; each text is read from the state when its part is
 * asked for. A turn that has expired or changed by then is encoded with a blank text of the same size. Its place in the log is
 * behind the snapshot, so a replica that installs the snapshot applies that change before it answers for the group.
 */
namespace cuminledge::core::store {

struct streamed_snapshot {
    struct turn_slot {
        call_key key;
        std::string previous;
        std::size_t textBytes = 0;
        std::chrono::milliseconds expires { 0 };
        std::uint64_t end = 0; ///< offset behind the turn's record
    };

    std::string head; ///< the records of everything but turns
    std::vector<turn_slot> turns; ///< in the order of their records
    std::uint64_t totalBytes = 0;
};

/// Fixes the snapshot of the state as it is now. The same bytes as encodeSnapshot(), if the state does not change.
streamed_snapshot makeStreamedSnapshot(const shard_state& state);

/// @return the size of what the snapshot itself holds.
std::size_t heldBytes(const streamed_snapshot& snapshot);

/// @return up to `bytes` bytes of the encoded snapshot from `offset` on; fewer only at its end.
std::string readSnapshot(
    const streamed_snapshot& snapshot, const shard_state& state, std::uint64_t offset, std::size_t bytes);

} // namespace cuminledge::core::store
