#include "test_disk.hpp"

namespace cuminledge::core::consensus::test {

/// Returns the number of steps of a write: the hard state, the truncation, each entry and the snapshot, in this order.
/// A crash can interrupt the write between two steps.
static std::size_t stepsOf(const persist_log& write)
{
    return write.entries.size() + 3;
}

/// Applies the first steps of a write to the durable content. @param steps the number of steps that reach the disk.
static void applyToImage(replica_loaded& image, const persist_log& write, std::size_t steps)
{
    if (write.hasHardState && steps > 0) {
        image.term = write.term;
        image.votedFor = write.votedFor;
    }
    const auto truncateEntries = [&image](std::uint64_t index) {
        while (!image.entries.empty() && image.entries.back().index >= index) {
            image.entries.pop_back();
        }
    };
    if (write.truncateFrom != 0 && steps > 1) {
        truncateEntries(write.truncateFrom);
    }
    for (std::size_t i = 0; i < write.entries.size() && i + 2 < steps; ++i) {
        truncateEntries(write.entries[i].index);
        image.entries.push_back(write.entries[i]);
    }
    if (!write.hasSnapshot || steps < write.entries.size() + 3) {
        return;
    }
    image.snapshotIndex = write.snapshotIndex;
    image.snapshotTerm = write.snapshotTerm;
    image.snapshotConfiguration = write.snapshotConfiguration;
    image.snapshot = write.snapshot;
    while (!image.entries.empty() && image.entries.front().index <= image.snapshotIndex) {
        image.entries.erase(image.entries.begin());
    }
}

void syncAll(test_disk& disk)
{
    for (const auto& write : disk.unsynced) {
        applyToImage(disk.image, write, stepsOf(write));
    }
    disk.unsynced.clear();
}

void crashDisk(test_disk& disk, std::mt19937_64& random)
{
    const std::size_t whole = std::uniform_int_distribution<std::size_t>(0, disk.unsynced.size())(random);
    for (std::size_t w = 0; w < whole; ++w) {
        applyToImage(disk.image, disk.unsynced[w], stepsOf(disk.unsynced[w]));
    }
    if (whole < disk.unsynced.size()) {
        const auto& torn = disk.unsynced[whole];
        const auto steps = std::uniform_int_distribution<std::size_t>(0, stepsOf(torn) - 1)(random);
        applyToImage(disk.image, torn, steps);
    }
    disk.unsynced.clear();
    disk.image.isNew = false;
}

} // namespace cuminledge::core::consensus::test
