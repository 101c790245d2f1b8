#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <base/error.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>

namespace cuminledge::storage {
class file_system;
}

namespace cuminledge::host {

/**
 * Carries out persist_log effects, on one thread for each group: a file system merges the syncs of several files that
 * are under way together, but can't merge what one thread issues one after the other. While one batch of a group is
 * being synced the next one gathers, so that under load many writes share a sync (group commit).
 *
 * While the disk is full, writes are tried again and nothing is reported: a full disk never counts as a failure.
 */
class disk {
public:
    /// @param onEvent called on a thread of the disk's with log_persisted or storage_failed.
    disk(std::string folder, std::uint32_t groupCount, std::function<void(core::event)> onEvent);

    /// Finishes the writes under way and drops those that wait: nobody was told that they are durable.
    ~disk();

    disk(const disk&) = delete;
    disk& operator=(const disk&) = delete;

    /// Opens the storage of groups 0 to groupCount. @return what each replica found.
    result<std::vector<core::replica_loaded>> open();

    /// Queues a write.
    void write(core::persist_log request);

    /// @return the bytes of all writes that the disk has not confirmed.
    [[nodiscard]] std::size_t waitingBytes() const;

private:
    class group_writer;

    std::string m_folder;
    std::uint32_t m_groupCount;
    std::function<void(core::event)> m_onEvent;
    std::unique_ptr<storage::file_system> m_files;
    std::vector<std::unique_ptr<group_writer>> m_writers;
};

} // namespace cuminledge::host
