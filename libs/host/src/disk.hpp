#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <base/error.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>

namespace cuminledge::host {

/**
 * Carries out persist_log effects on a thread of its own. While one batch is being synced the next one gathers, so
 * that under load many writes share a sync (group commit).
 */
class disk {
public:
    /// @param onEvent called on the disk's thread with log_persisted or storage_failed.
    disk(std::string folder, std::uint32_t groupCount, std::function<void(core::event)> onEvent);

    /// Finishes the write under way and drops those that wait: nobody was told that they are durable.
    ~disk();

    disk(const disk&) = delete;
    disk& operator=(const disk&) = delete;

    /// Opens the storage of groups 0 to groupCount. @return what each replica found.
    result<std::vector<core::replica_loaded>> open();

    /// Queues a write.
    void write(core::persist_log request);

private:
    struct group_stores;

    void runThread();
    void writeBatch(std::deque<core::persist_log>& batch);

    std::string m_folder;
    std::uint32_t m_groupCount;
    std::function<void(core::event)> m_onEvent;
    std::unique_ptr<group_stores> m_stores;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<core::persist_log> m_waiting;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace cuminledge::host
