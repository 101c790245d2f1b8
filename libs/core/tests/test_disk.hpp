#pragma once

#include <cstddef>
#include <random>
#include <vector>

#include <base/clock.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>

namespace cuminledge::core::consensus::test {

/// What is durable, and the writes that are not synced yet.
struct test_disk {
    replica_loaded image;
    std::vector<persist_log> unsynced;
    time_point syncedAt {};
};

/// Makes all waiting writes durable.
void syncAll(test_disk& disk);

/// Ends the process: of the waiting writes a random number reaches the disk, the last one perhaps in part.
void tear(test_disk& disk, std::mt19937_64& random);

} // namespace cuminledge::core::consensus::test
