#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <core/consensus/consensus.hpp>
#include <storage/log_store.hpp>
#include <storage/posix_files.hpp>

namespace cuminledge::bench {

/// A write that a disk thread has made durable.
struct finished_write {
    std::size_t node = 0;
    std::uint64_t ticket = 0;
};

/// Where the disk threads hand back what is durable.
struct finished_queue {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<finished_write> writes;
};

/// Writes a replica's log on a thread of its own: takes all that waits, writes it, syncs once.
class disk_thread {
public:
    disk_thread(std::size_t node, std::unique_ptr<storage::log_store> store, finished_queue& finished);
    disk_thread(const disk_thread&) = delete;
    disk_thread& operator=(const disk_thread&) = delete;
    ~disk_thread();

    void submit(core::persist_log write);

    /// @return syncs so far. Exact only while no write is under way.
    [[nodiscard]] std::uint64_t syncCount() const { return m_store->syncCount(); }

private:
    void run();
    void writeBatch(std::deque<core::persist_log> batch);

    std::size_t m_node;
    std::unique_ptr<storage::log_store> m_store;
    finished_queue& m_finished;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<core::persist_log> m_waiting;
    bool m_isEnding = false;
    std::thread m_thread;
};

struct replica_process {
    core::consensus::replica replica;
    std::unique_ptr<disk_thread> disk;
    std::uint64_t applied = 0;
    bool isAway = false; ///< neither gets nor sends anything
};

/// Several replicas in one process; messages between them take no time, files are real.
class replica_group {
public:
    replica_group(const std::string& folder, std::size_t size, const core::consensus::consensus_settings& settings);

    /// Gives everybody what has come since, and the time. Waits at most 1 ms if there is nothing.
    void step();

    /// @return the serving leader's index; the group's size if there is none.
    [[nodiscard]] std::size_t leader() const;

    replica_process& at(std::size_t node) { return *m_nodes.at(node); }
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }

    /// Proposes at the leader. @return the entry's index; 0 if it was refused.
    std::uint64_t propose(std::string payload);

    /// Called with the index of each entry that the leader commits.
    std::function<void(std::uint64_t)> onCommit;

    /// State that each snapshot carries.
    std::string snapshotState;

private:
    void carryOut(std::size_t node, core::consensus::replica_output out);
    void deliver();
    void takeFinishedWrites();

    storage::posix_files m_files;
    finished_queue m_finished;
    std::vector<std::unique_ptr<replica_process>> m_nodes;
    std::deque<wire::consensus_envelope> m_messages;
    std::mt19937_64 m_random { 1 };
    time_point m_lastTick {};
};

} // namespace cuminledge::bench
