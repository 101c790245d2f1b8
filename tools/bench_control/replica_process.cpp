#include "replica_process.hpp"

#include <stdexcept>
#include <utility>

#include <base/error.hpp>

namespace cuminledge::bench {

using namespace core::consensus;
using std::chrono::milliseconds;

//------------------------------------------------------------------------------------------------------------------
// Disk
//------------------------------------------------------------------------------------------------------------------

disk_thread::disk_thread(std::size_t node, std::unique_ptr<storage::log_store> store, finished_queue& finished)
    : m_node(node)
    , m_store(std::move(store))
    , m_finished(finished)
    , m_thread([this] { run(); })
{
}

disk_thread::~disk_thread()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isEnding = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void disk_thread::submit(core::persist_log write)
{
    {
        const std::lock_guard lock(m_mutex);
        m_waiting.push_back(std::move(write));
    }
    m_changed.notify_one();
}

void disk_thread::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_isEnding || !m_waiting.empty(); });
        if (m_isEnding) {
            return;
        }
        std::deque<core::persist_log> batch;
        batch.swap(m_waiting);
        lock.unlock();
        writeBatch(std::move(batch));
        lock.lock();
    }
}

static storage::write_request toRequest(core::persist_log write)
{
    storage::write_request request;
    request.hasHardState = write.hasHardState;
    request.term = write.term;
    request.votedFor = std::move(write.votedFor);
    request.truncateFrom = write.truncateFrom;
    request.entries = std::move(write.entries);
    request.hasSnapshot = write.hasSnapshot;
    request.snapshotIndex = write.snapshotIndex;
    request.snapshotTerm = write.snapshotTerm;
    request.snapshotConfiguration = std::move(write.snapshotConfiguration);
    request.snapshot = std::move(write.snapshot);
    for (auto& piece : write.newPieces) {
        request.newPieces.push_back({ piece.id, std::move(piece.data) });
    }
    request.pieces = std::move(write.pieces);
    return request;
}

void disk_thread::writeBatch(std::deque<core::persist_log> batch)
{
    const std::uint64_t ticket = batch.back().ticket;
    for (auto& write : batch) {
        m_store->write(toRequest(std::move(write))).value();
    }
    m_store->sync().value();
    {
        const std::lock_guard lock(m_finished.mutex);
        m_finished.writes.push_back({ m_node, ticket });
    }
    m_finished.changed.notify_one();
}

//------------------------------------------------------------------------------------------------------------------
// Group
//------------------------------------------------------------------------------------------------------------------

replica_group::replica_group(const std::string& folder, std::size_t size, const consensus_settings& settings)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < size; ++i) {
        names.push_back("c" + std::to_string(i + 1));
    }
    m_files.createFolder(folder).value();
    for (std::size_t i = 0; i < size; ++i) {
        auto opened = storage::openStore(m_files, folder + "/" + names[i], 0, m_random()).value();
        core::replica_loaded loaded;
        loaded.isNew = opened.loaded.isNew;
        loaded.diskIncarnation = opened.loaded.diskIncarnation;
        auto node = std::make_unique<replica_process>();
        node->replica = makeReplica(settings, 0, names[i], names, loaded, std::chrono::steady_clock::now());
        node->disk = std::make_unique<disk_thread>(i, std::move(opened.store), m_finished);
        m_nodes.push_back(std::move(node));
    }
}

std::size_t replica_group::leader() const
{
    const auto now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!m_nodes[i]->isAway && mayRead(m_nodes[i]->replica, now)) {
            return i;
        }
    }
    return m_nodes.size();
}

std::uint64_t replica_group::propose(std::string payload)
{
    const std::size_t node = leader();
    if (node == m_nodes.size()) {
        return 0;
    }
    replica_output out;
    const auto index
        = core::consensus::propose(m_nodes[node]->replica, std::move(payload), std::chrono::steady_clock::now(), out);
    carryOut(node, std::move(out));
    return index.value_or(0);
}

void replica_group::carryOut(std::size_t node, replica_output out)
{
    auto& process = *m_nodes[node];
    if (out.installed) {
        process.applied = out.installed->index;
        attachImage(out, { std::move(out.installed->state), {}, {} });
    }
    for (const auto& entry : out.committed) {
        process.applied = entry.index;
        if (onCommit && isLeader(process.replica)) {
            onCommit(entry.index);
        }
    }
    for (auto& write : out.writes) {
        process.disk->submit(std::move(write));
    }
    for (auto& envelope : out.messages) {
        m_messages.push_back(std::move(envelope));
    }
    for (const auto& chunk : out.chunks) {
        m_messages.push_back(fillChunk(process.replica, chunk, snapshotState.substr(chunk.chunk.offset, chunk.bytes)));
    }
    if (snapshotDue(process.replica)) {
        replica_output next;
        takeSnapshot(process.replica, { snapshotState, {}, {} }, next);
        carryOut(node, std::move(next));
    }
    if (needsOutgoingSnapshot(process.replica)) {
        replica_output next;
        provideOutgoingSnapshot(process.replica, snapshotState.size(), std::chrono::steady_clock::now(), next);
        carryOut(node, std::move(next));
    }
}

void replica_group::deliver()
{
    std::deque<wire::consensus_envelope> messages;
    messages.swap(m_messages);
    for (const auto& envelope : messages) {
        const std::string to = controllerOf(envelope.to);
        const std::string from = controllerOf(envelope.from);
        const auto indexOf = [](const std::string& name) { return std::stoul(name.substr(1)) - 1; };
        auto& process = *m_nodes.at(indexOf(to));
        if (process.isAway || m_nodes.at(indexOf(from))->isAway) {
            continue;
        }
        replica_output out;
        onMessage(process.replica, envelope, std::chrono::steady_clock::now(), out);
        carryOut(indexOf(to), std::move(out));
    }
}

void replica_group::takeFinishedWrites()
{
    std::deque<finished_write> finished;
    {
        std::unique_lock lock(m_finished.mutex);
        if (m_messages.empty()) {
            m_finished.changed.wait_for(lock, milliseconds(1), [this] { return !m_finished.writes.empty(); });
        }
        finished.swap(m_finished.writes);
    }
    for (const auto& write : finished) {
        replica_output out;
        onPersisted(m_nodes[write.node]->replica, { 0, write.ticket }, std::chrono::steady_clock::now(), out);
        carryOut(write.node, std::move(out));
    }
}

void replica_group::step()
{
    takeFinishedWrites();
    deliver();
    const auto now = std::chrono::steady_clock::now();
    if (now - m_lastTick < milliseconds(5)) {
        return;
    }
    m_lastTick = now;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i]->isAway) {
            continue;
        }
        replica_output out;
        onTick(m_nodes[i]->replica, now, m_random, out);
        carryOut(i, std::move(out));
    }
}

} // namespace cuminledge::bench
