#pragma once

#include <cstddef>
#include <random>
#include <vector>

#include <base/clock.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>

namespace cuminledge::core::consensus::test {

/// A simulated disk: its durable content and the writes that are not synced yet.
struct test_disk {
    replica_loaded image;
    std::vector<persist_log> unsynced;
    time_point syncedAt {};
};

/// Makes all unsynced writes durable.
void syncAll(test_disk& disk);

/// Simulates a crash of the process: a random number of the unsynced writes reaches the disk, the last of them possibly
/// in part.
void crashDisk(test_disk& disk, std::mt19937_64& random);

} // namespace cuminledge::core::consensus::test
