#pragma once

#include <cstddef>
#include <cstdint>

#include <controller/internal.hpp>

/// What a controller's groups hold, in bytes: for the log, the metrics and the state dump.
namespace cuminledge::core::controller {

struct group_sizes {
    std::size_t turns = 0;
    std::size_t turnBytes = 0; ///< of the texts of retained turns
    std::size_t budgets = 0;
    std::size_t streams = 0;
    std::size_t logEntries = 0; ///< held in memory
    std::size_t logBytes = 0; ///< of their commands
    std::size_t unsyncedBytes = 0; ///< of the commands that the disk has not confirmed
    std::size_t outgoingBytes = 0; ///< of the snapshot that is being sent to followers
    std::size_t incomingBytes = 0; ///< of the snapshot that is being received
    std::size_t pieceBytes = 0; ///< of the texts in the snapshot's pieces on the disk, expired ones included
};

group_sizes sizesOf(const hosted_group& group);

/// Logs the sizes of every group and sets their gauges, once per interval.
void reportSizes(reduction& r);

Json::Value describeSizes(const group_sizes& sizes);

} // namespace cuminledge::core::controller
