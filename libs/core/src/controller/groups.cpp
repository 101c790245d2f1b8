#include <controller/internal.hpp>

#include <utility>

#include <base/free_buffer.hpp>
#include <core/consensus/consensus.hpp>
#include <core/store/group.hpp>

namespace cuminledge::core::controller {

hosted_group* findGroup(controller_state& state, std::uint32_t group)
{
    const auto found = state.groups.find(group);
    return found == state.groups.end() ? nullptr : &found->second;
}

bool mayServe(const hosted_group& group, time_point now)
{
    return group.isServing && consensus::mayRead(group.replica, now);
}

std::string leaderOf(controller_state& state, std::uint32_t group)
{
    const auto* hosted = findGroup(state, group);
    return hosted == nullptr ? std::string() : consensus::leaderName(hosted->replica);
}

namespace {

    //--------------------------------------------------------------------------------------------------------------
    // The replicated state
    //--------------------------------------------------------------------------------------------------------------

    result<void> restoreState(
        controller_state& state, hosted_group& group, const std::string& snapshot, store::decoded_pieces pieces)
    {
        if (group.group == systemGroup) {
            auto decoded = store::decodeControlSnapshot(snapshot);
            if (!decoded) {
                return tl::unexpected(decoded.error());
            }
            state.control = std::move(*decoded);
            return {};
        }
        group.shard = {}; // a machine's memory need not hold the replaced state beside the new one and its encoded form
        auto decoded = store::assembleImage(snapshot, std::move(pieces), group.pieces);
        if (!decoded) {
            return tl::unexpected(decoded.error());
        }
        group.shard = std::move(*decoded);
        return {};
    }

    store::streamed_snapshot makeOutgoing(const controller_state& state, const hosted_group& group)
    {
        if (group.group != systemGroup) {
            return store::makeStreamedSnapshot(group.shard);
        }
        store::streamed_snapshot snapshot;
        snapshot.head = store::encodeSnapshot(state.control);
        snapshot.totalBytes = snapshot.head.size();
        return snapshot;
    }

    snapshot_image encodeStateImage(controller_state& state, hosted_group& group)
    {
        if (group.group == systemGroup) {
            return { store::encodeSnapshot(state.control), {}, {} };
        }
        return store::encodeImage(group.shard, group.pieces);
    }

    /// A snapshot that can't be read leaves the replica without a state it could answer from.
    void stopOnBadSnapshot(reduction& r, const hosted_group& group, const error& problem)
    {
        log(r, log_level::Error, "snapshot_unreadable",
            { { "group", std::to_string(group.group) }, { "problem", describe(problem) } });
        r.out.emplace_back(stop_process { 1 });
    }

    wire::command_result applyToState(controller_state& state, hosted_group& group, const wire::command& command)
    {
        return group.group == systemGroup ? store::applyCommand(state.control, command)
                                          : store::applyCommand(group.shard, command);
    }

    //--------------------------------------------------------------------------------------------------------------
    // Outcomes
    //--------------------------------------------------------------------------------------------------------------

    void answer(reduction& r, std::uint32_t group, const proposal_origin& origin, const wire::command_result& outcome)
    {
        ++r.state.counters.commandsAnswered;
        if (const auto* peer = std::get_if<peer_origin>(&origin)) {
            answerPeer(r, group, *peer, outcome);
        } else if (const auto* exchange = std::get_if<operator_origin>(&origin)) {
            answerOperator(r, *exchange, outcome);
        } else if (const auto* control = std::get_if<control_origin>(&origin)) {
            answerControl(r, *control, outcome);
        }
    }

    /// The entry may or may not be committed by the next leader, so nothing is said about its outcome.
    void answerLost(reduction& r, std::uint32_t group, const proposal_origin& origin)
    {
        ++r.state.counters.outcomesLost;
        if (const auto* peer = std::get_if<peer_origin>(&origin)) {
            redirectPeer(r, group, peer->peer, peer->request);
        } else if (const auto* exchange = std::get_if<operator_origin>(&origin)) {
            answerOutcomeUnknown(r, *exchange);
        } else if (const auto* control = std::get_if<control_origin>(&origin)) {
            redirectControl(r, control->exchange);
        }
    }

    void answerAllLost(reduction& r, hosted_group& group)
    {
        const auto lost = std::exchange(group.pending, {});
        for (const auto& [index, proposal] : lost) {
            answerLost(r, group.group, proposal.origin);
        }
    }

    std::optional<pending_proposal> takePending(hosted_group& group, std::uint64_t index)
    {
        const auto found = group.pending.find(index);
        if (found == group.pending.end()) {
            return std::nullopt;
        }
        auto proposal = std::move(found->second);
        group.pending.erase(found);
        return proposal;
    }

    void applyCommandEntry(reduction& r, hosted_group& group, const wire::log_entry& entry, const pending_proposal* proposal)
    {
        const auto command = wire::decodeVariant<wire::command>(entry.payload, "apply", "");
        if (!command) {
            // Every replica fails to read it alike, so skipping it keeps their states equal.
            log(r, log_level::Error, "entry_unreadable",
                { { "group", std::to_string(group.group) }, { "index", std::to_string(entry.index) } });
            if (proposal != nullptr) {
                answer(r, group.group, proposal->origin,
                    wire::refused { static_cast<std::uint32_t>(error_code::Protocol), command.error().message, "apply", "" });
            }
            return;
        }
        const auto outcome = applyToState(r.state, group, *command);
        if (proposal != nullptr) {
            answer(r, group.group, proposal->origin, outcome);
        }
        noteApplied(r, group, *command, outcome);
    }

    void noteConfiguration(reduction& r, const hosted_group& group)
    {
        const auto& configuration = consensus::configurationOf(group.replica);
        log(r, log_level::Info, "group_members",
            { { "group", std::to_string(group.group) }, { "members", joined(configuration.members, ",") },
                { "learners", joined(configuration.learners, ",") } });
        followConfiguration(r, group);
    }

    void applyEntry(reduction& r, hosted_group& group, const wire::log_entry& entry)
    {
        group.appliedIndex = entry.index;
        const auto proposal = takePending(group, entry.index);
        const bool isOurs = proposal && proposal->term == entry.term;
        if (proposal && !isOurs) {
            answerLost(r, group.group, proposal->origin);
        }
        if (entry.kind == wire::log_entry_kind::Configuration) {
            noteConfiguration(r, group);
        } else if (entry.kind == wire::log_entry_kind::Command) {
            applyCommandEntry(r, group, entry, isOurs ? &*proposal : nullptr);
        }
    }

    //--------------------------------------------------------------------------------------------------------------
    // Carrying out what the replica asks for
    //--------------------------------------------------------------------------------------------------------------

    void updateServing(reduction& r, hosted_group& group)
    {
        if (!group.isServing && consensus::mayRead(group.replica, r.now)) {
            group.isServing = true;
            startServing(r, group);
        } else if (group.isServing && !consensus::isLeader(group.replica)) {
            group.isServing = false;
            stopServing(r, group);
        }
    }

    void send(reduction& r, hosted_group& group, consensus::replica_output& output)
    {
        for (auto& chunk : output.chunks) {
            auto data = store::readSnapshot(group.outgoing, group.shard, chunk.chunk.offset, chunk.bytes);
            auto peer = consensus::controllerOf(chunk.to);
            r.out.emplace_back(send_message { std::move(peer), consensus::fillChunk(group.replica, std::move(chunk), std::move(data)) });
        }
        if (!consensus::hasOutgoingSnapshot(group.replica)) {
            freeBuffer(group.outgoing.head);
            group.outgoing = {};
        }
        for (auto& write : output.writes) {
            r.out.emplace_back(std::move(write));
        }
        for (auto& envelope : output.messages) {
            auto peer = consensus::controllerOf(envelope.to);
            r.out.emplace_back(send_message { std::move(peer), std::move(envelope) });
        }
    }

    std::size_t sizeOf(const std::vector<snapshot_piece>& pieces)
    {
        std::size_t bytes = 0;
        for (const auto& piece : pieces) {
            bytes += piece.data.size();
        }
        return bytes;
    }

    void logSnapshot(reduction& r, const char* event, const hosted_group& group, std::size_t bytes)
    {
        log(r, log_level::Info, event,
            { { "group", std::to_string(group.group) }, { "index", std::to_string(group.replica.commitIndex) },
                { "bytes", std::to_string(bytes) } });
    }

    /// @return whether the state could be read.
    bool installState(reduction& r, hosted_group& group, consensus::replica_output& output)
    {
        logSnapshot(r, "snapshot_received", group, output.installed->state.size());
        const auto places = store::placesOf(group.shard);
        const auto pieces = group.pieces;
        if (auto restored = restoreState(r.state, group, output.installed->state, {}); !restored) {
            stopOnBadSnapshot(r, group, restored.error());
            return false;
        }
        freeBuffer(output.installed->state);
        group.pieces = pieces;
        store::reusePlaces(group.shard, places);
        consensus::attachImage(output, encodeStateImage(r.state, group));
        return true;
    }

    /// Expired turns stay in their pieces until a snapshot drops the pieces that are hardly used.
    bool holdsMuchExpired(const hosted_group& group, const consensus::consensus_settings& settings)
    {
        const auto pieceBytes = store::totalBytes(group.pieces);
        return pieceBytes > store::leastUsedBytes(pieceBytes)
            && store::leastUsedBytes(pieceBytes) > group.shard.turnBytes + settings.snapshotAfterBytes;
    }

    bool isSnapshotDue(const reduction& r, const hosted_group& group)
    {
        // One snapshot drops some of the expired turns; the disk has to take it before the next one.
        constexpr std::chrono::milliseconds expiryInterval { 1'000 };
        return consensus::snapshotDue(group.replica)
            || (r.now >= group.snapshotTakenAt + expiryInterval && holdsMuchExpired(group, r.state.settings.consensus));
    }

    void takeSnapshots(reduction& r, hosted_group& group)
    {
        // A command may propose another one while the entries of its batch are being applied. The state then lacks entries
        // that are committed.
        if (group.appliedIndex != group.replica.commitIndex) {
            return;
        }
        consensus::replica_output output;
        if (isSnapshotDue(r, group)) {
            group.snapshotTakenAt = r.now;
            auto image = encodeStateImage(r.state, group);
            logSnapshot(r, "snapshot_taken", group, image.state.size() + sizeOf(image.newPieces));
            consensus::takeSnapshot(group.replica, std::move(image), output);
        }
        if (consensus::needsOutgoingSnapshot(group.replica)) {
            group.outgoing = makeOutgoing(r.state, group);
            logSnapshot(r, "snapshot_sent", group, group.outgoing.totalBytes);
            consensus::provideOutgoingSnapshot(group.replica, group.outgoing.totalBytes, r.now, output);
        }
        send(r, group, output);
    }

    void carryOut(reduction& r, hosted_group& group, consensus::replica_output output)
    {
        if (output.installed && !installState(r, group, output)) {
            return;
        }
        send(r, group, output);
        if (output.installed) {
            group.appliedIndex = output.installed->index;
            noteStateReplaced(r, group);
            followConfiguration(r, group);
        }
        for (const auto& entry : output.committed) {
            applyEntry(r, group, entry);
        }
        if (output.lostLeadership) {
            answerAllLost(r, group);
        }
        updateServing(r, group);
        takeSnapshots(r, group);
    }

} // namespace

void loadPiece(reduction& r, const piece_loaded& loaded)
{
    if (loaded.group > r.state.settings.groupCount || r.state.isStandby) {
        return;
    }
    auto& group = r.state.groups[loaded.group];
    if (auto decoded = store::decodePiece(loaded.piece, group.loading); !decoded) {
        stopOnBadSnapshot(r, group, decoded.error());
    }
}

void loadReplica(reduction& r, const replica_loaded& loaded)
{
    if (loaded.group > r.state.settings.groupCount || r.state.isStandby) {
        return;
    }
    std::vector<std::string> names;
    for (const auto& member : r.state.settings.controllers) {
        names.push_back(member.name);
    }
    auto& group = r.state.groups[loaded.group];
    group.group = loaded.group;
    group.authority.settings = r.state.settings.rateLeases;
    group.replica = consensus::makeReplica(
        r.state.settings.consensus, loaded.group, r.self.name, std::move(names), loaded, r.now);
    group.appliedIndex = loaded.snapshotIndex;
    for (const auto& member : r.state.directory.controllers) {
        consensus::addContact(group.replica, member.name);
    }
    followConfiguration(r, group);
    startLearningPrograms(r, group);
    if (loaded.snapshotIndex == 0) {
        return;
    }
    for (const auto& piece : loaded.pieces) {
        loadPiece(r, { loaded.group, piece });
    }
    if (auto restored = restoreState(r.state, group, loaded.snapshot, std::exchange(group.loading, {})); !restored) {
        stopOnBadSnapshot(r, group, restored.error());
        return;
    }
    logSnapshot(r, "snapshot_loaded", group, loaded.snapshot.size() + store::totalBytes(group.pieces));
    noteStateReplaced(r, group);
}

void receiveEnvelope(reduction& r, const std::string& peer, const wire::consensus_envelope& envelope)
{
    auto* group = findGroup(r.state, envelope.group);
    if (group == nullptr || consensus::controllerOf(envelope.from) != peer) {
        ++r.state.counters.badRequests;
        return;
    }
    consensus::replica_output output;
    consensus::onMessage(group->replica, envelope, r.now, output);
    carryOut(r, *group, std::move(output));
}

void notePersisted(reduction& r, const log_persisted& persisted)
{
    if (auto* group = findGroup(r.state, persisted.group)) {
        consensus::replica_output output;
        consensus::onPersisted(group->replica, persisted, r.now, output);
        carryOut(r, *group, std::move(output));
    }
}

void noteStorageFailed(reduction& r, const storage_failed& failed)
{
    log(r, log_level::Error, "storage_failed",
        { { "group", std::to_string(failed.group) }, { "message", failed.message } });
    if (auto* group = findGroup(r.state, failed.group)) {
        consensus::replica_output output;
        consensus::onStorageFailed(group->replica, failed, output);
        carryOut(r, *group, std::move(output));
    }
    if (r.state.settings.exitsOnStorageFailure) {
        r.out.emplace_back(stop_process { 1 });
    }
}

void tickGroups(reduction& r)
{
    for (auto& [number, group] : r.state.groups) {
        consensus::replica_output output;
        consensus::onTick(group.replica, r.now, r.random, output);
        carryOut(r, group, std::move(output));
    }
}

/// @return whether nothing has been committed for longer than an election takes, although proposals are pending: the disks
///         of a quorum are full, and who waits for a proposal behind them would wait to its deadline.
static bool isStalled(hosted_group& group, time_point now)
{
    if (group.pending.empty() || group.replica.commitIndex != group.watchedCommit) {
        group.watchedCommit = group.replica.commitIndex;
        group.watchedSince = now;
        return false;
    }
    return now - group.watchedSince > group.replica.settings.electionTimeoutMax;
}

result<void> propose(reduction& r, hosted_group& group, const wire::command& command, proposal_origin origin)
{
    if (group.pending.size() >= maxPendingProposals) {
        return failure(error_code::Overloaded, "too many commands wait for their commit", "propose");
    }
    if (isStalled(group, r.now)) {
        ++r.state.counters.proposalsStalled;
        return failure(error_code::Overloaded, "no command is committed at present", "propose");
    }
    consensus::replica_output output;
    const auto index = consensus::propose(group.replica, wire::encodeVariant(command), r.now, output);
    if (!index) {
        return tl::unexpected(index.error());
    }
    group.pending[*index] = { group.replica.term, std::move(origin) };
    carryOut(r, group, std::move(output));
    return {};
}

bool handOver(reduction& r)
{
    bool leadsNothing = true;
    for (auto& [number, group] : r.state.groups) {
        if (!consensus::isLeader(group.replica)) {
            continue;
        }
        consensus::replica_output output;
        leadsNothing = consensus::transferLeadership(group.replica, r.now, output) && leadsNothing;
        carryOut(r, group, std::move(output));
    }
    return leadsNothing;
}

} // namespace cuminledge::core::controller
