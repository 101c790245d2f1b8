#include <core/consensus/consensus.hpp>

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "internal.hpp"

namespace cuminledge::core::consensus {

//------------------------------------------------------------------------------------------------------------------
// Construction
//------------------------------------------------------------------------------------------------------------------

static void restoreLog(replica& r, const replica_loaded& loaded)
{
    r.term = loaded.term;
    r.votedFor = loaded.votedFor;
    r.snapshot = { loaded.snapshotIndex, loaded.snapshotTerm, loaded.snapshotConfiguration };
    r.log.firstIndex = loaded.snapshotIndex + 1;
    r.log.previousTerm = loaded.snapshotTerm;
    r.commitIndex = loaded.snapshotIndex;
    r.durableIndex = loaded.snapshotIndex + loaded.entries.size();
    if (loaded.snapshotIndex > 0) {
        auto configuration
            = wire::decodeStruct<wire::group_configuration>(loaded.snapshotConfiguration, "load_replica", r.id);
        r.configurations.push_back(
            { loaded.snapshotIndex, configuration ? std::move(*configuration) : wire::group_configuration {} });
    }
    for (const auto& entry : loaded.entries) {
        if (entry.kind == wire::log_entry_kind::Configuration && hasValidConfiguration(entry)) {
            recordConfiguration(r, entry);
        }
        r.log.entries.push_back(entry);
    }
}

replica makeReplica(const consensus_settings& settings, std::uint32_t group, const std::string& controller,
    std::vector<std::string> initialMembers, const replica_loaded& loaded, time_point now, const safeguards& guards)
{
    replica r;
    r.settings = settings;
    r.guards = guards;
    r.group = group;
    r.controller = controller;
    r.id = fmt::format("{}#{:016x}", controller, loaded.diskIncarnation);
    r.initialMembers = std::move(initialMembers);
    restoreLog(r, loaded);
    if (guards.voteBanAfterStart) {
        r.lastLeaderContact = now;
    }
    return r;
}

//------------------------------------------------------------------------------------------------------------------
// Events
//------------------------------------------------------------------------------------------------------------------

static void setElectionDeadline(replica& r, time_point now, std::mt19937_64& random)
{
    if (r.electionDeadlineSet) {
        return;
    }
    std::uniform_int_distribution<std::int64_t> spread(
        r.settings.electionTimeoutMin.count(), r.settings.electionTimeoutMax.count());
    r.electionDeadline = now + std::chrono::milliseconds(spread(random));
    r.electionDeadlineSet = true;
}

static void followerTick(replica& r, time_point now, std::mt19937_64& random, replica_output& out)
{
    setElectionDeadline(r, now, random);
    if (isBlank(r) && r.initialMembers == std::vector<std::string> { r.controller }) {
        formGroup(r, now);
        return;
    }
    if (isMember(r, r.id)) {
        if (now >= r.electionDeadline) {
            startPreVote(r, now, out);
        }
        if (mayHaveBeenRemoved(r, now)) {
            requestJoin(r, now, out);
        }
        return;
    }
    if (configurationOf(r).members.empty() || now >= r.electionDeadline) {
        requestJoin(r, now, out);
    }
}

void onTick(replica& r, time_point now, std::mt19937_64& random, replica_output& out)
{
    if (r.isStopped) {
        return;
    }
    releaseOutgoingSnapshot(r, now);
    if (isLeader(r)) {
        leaderTick(r, now, out);
    } else {
        followerTick(r, now, random, out);
    }
    flushWrites(r, out);
}

void onMessage(replica& r, const wire::consensus_envelope& envelope, time_point now, replica_output& out)
{
    if (r.isStopped || envelope.group != r.group) {
        return;
    }
    auto message = wire::decodeVariant<wire::consensus_message>(envelope.body, "consensus", envelope.from);
    if (!message) {
        ++r.counters.messagesInvalid;
        return;
    }
    // Only a join request may be addressed to a controller's name alone. Every other message is for one disk
    // incarnation.
    const bool isJoin = std::holds_alternative<wire::join_request>(*message);
    if (envelope.to != r.id && !(isJoin && envelope.to == r.controller)) {
        return;
    }
    std::visit([&](const auto& m) { handle(r, envelope.from, m, now, out); }, *message);
    flushWrites(r, out);
}

result<std::uint64_t> propose(replica& r, std::string payload, time_point now, replica_output& out)
{
    constexpr const char* step = "propose";
    if (r.isStopped) {
        return failure(error_code::Storage, "the replica has stopped: " + r.stopReason, step);
    }
    if (!isLeader(r)) {
        return failure(error_code::NotLeader, "this replica does not lead the group", step, leaderName(r));
    }
    if (payload.size() > maxCommandBytes) {
        return failure(error_code::TooLarge, "command over the size limit", step);
    }
    if (!hasRoomForEntries(r)) {
        ++r.counters.proposalsRefused;
        return failure(error_code::Overloaded, "too much waits for the disk", step);
    }
    const std::uint64_t index = appendAsLeader(r, wire::log_entry_kind::Command, std::move(payload));
    replicate(r, now, out);
    flushWrites(r, out);
    return index;
}

//------------------------------------------------------------------------------------------------------------------
// Status
//------------------------------------------------------------------------------------------------------------------

bool isLeader(const replica& r)
{
    return r.role == replica_role::Leader;
}

std::string leaderName(const replica& r)
{
    return controllerOf(r.leader);
}

static replica_status statusOfReplica(const replica& r, const std::string& id, bool isLearner, time_point now)
{
    if (id == r.id) {
        return { id, isLearner, r.durableIndex, isLeader(r) };
    }
    const auto found = r.followers.find(id);
    if (found == r.followers.end()) {
        return { id, isLearner, 0, false };
    }
    return { id, isLearner, found->second.matchIndex, isCaughtUp(r, found->second, now) };
}

group_status statusOf(const replica& r, time_point now)
{
    group_status status;
    status.group = r.group;
    status.term = r.term;
    status.role = r.role;
    status.leader = leaderName(r);
    status.commitIndex = r.commitIndex;
    status.lastIndex = lastIndex(r);
    status.snapshotIndex = r.snapshot.index;
    status.isStopped = r.isStopped;
    const auto& configuration = configurationOf(r);
    std::size_t caughtUp = 0;
    for (const auto& id : configuration.members) {
        status.replicas.push_back(statusOfReplica(r, id, false, now));
        caughtUp += status.replicas.back().isCaughtUp ? 1 : 0;
    }
    for (const auto& id : configuration.learners) {
        status.replicas.push_back(statusOfReplica(r, id, true, now));
    }
    status.survivesLoss = isLeader(r) && caughtUp > quorumOf(configuration);
    return status;
}

} // namespace cuminledge::core::consensus
