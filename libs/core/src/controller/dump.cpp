#include <controller/internal.hpp>
#include <controller/sizes.hpp>

#include <core/consensus/consensus.hpp>

namespace cuminledge::core::controller {

namespace {

    const char* toString(consensus::replica_role role)
    {
        switch (role) {
        case consensus::replica_role::Follower:
            return "follower";
        case consensus::replica_role::PreCandidate:
            return "pre_candidate";
        case consensus::replica_role::Candidate:
            return "candidate";
        case consensus::replica_role::Leader:
            return "leader";
        }
        return "follower";
    }

    Json::Value describeReplica(const consensus::replica_status& replica)
    {
        Json::Value body;
        body["replica"] = replica.id;
        body["learner"] = replica.isLearner;
        body["match_index"] = static_cast<Json::UInt64>(replica.matchIndex);
        body["caught_up"] = replica.isCaughtUp;
        return body;
    }

    Json::Value describeGroup(const hosted_group& group, time_point now)
    {
        const auto status = consensus::statusOf(group.replica, now);
        Json::Value body;
        body["group"] = group.group;
        body["role"] = toString(status.role);
        body["leader"] = status.leader;
        body["term"] = static_cast<Json::UInt64>(status.term);
        body["commit_index"] = static_cast<Json::UInt64>(status.commitIndex);
        body["applied_index"] = static_cast<Json::UInt64>(group.appliedIndex);
        body["last_index"] = static_cast<Json::UInt64>(status.lastIndex);
        body["snapshot_index"] = static_cast<Json::UInt64>(status.snapshotIndex);
        body["stopped"] = status.isStopped;
        body["may_read"] = mayServe(group, now);
        body["survives_loss"] = status.survivesLoss;
        body["replicas"] = Json::arrayValue;
        for (const auto& replica : status.replicas) {
            body["replicas"].append(describeReplica(replica));
        }
        return body;
    }

    Json::Value describeShard(const hosted_group& group)
    {
        Json::Value body;
        body["group"] = group.group;
        body["open_programs"] = static_cast<Json::UInt64>(group.shard.programs.size() - group.shard.endedPrograms.size());
        body["ended_programs"] = static_cast<Json::UInt64>(group.shard.endedPrograms.size());
        body["unsettled_calls"] = static_cast<Json::UInt64>(group.shard.calls.size() - group.shard.settledCalls.size());
        body["settled_calls"] = static_cast<Json::UInt64>(group.shard.settledCalls.size());
        body["answer_bytes"] = static_cast<Json::UInt64>(group.shard.answerBytes);
        body["budget_overruns"] = static_cast<Json::UInt64>(group.shard.budgetOverruns);
        body["contradictions"] = static_cast<Json::UInt64>(group.shard.contradictions);
        body["sizes"] = describeSizes(sizesOf(group));
        body["pending_proposals"] = static_cast<Json::UInt64>(group.pending.size());
        body["watched_programs"] = static_cast<Json::UInt64>(group.watch.programs.size());
        body["rate_accounts"] = static_cast<Json::UInt64>(group.authority.accounts.size());
        body["rate_tokens_granted"] = static_cast<Json::UInt64>(group.authority.counters.granted);
        body["rate_refusals"] = static_cast<Json::UInt64>(group.authority.counters.refused);
        return body;
    }

    Json::Value describeControl(const store::control_state& control)
    {
        Json::Value body;
        body["manifest_number"] = static_cast<Json::UInt64>(control.manifestNumber);
        body["manifest_digest"] = control.manifestDigest;
        body["keys"] = static_cast<Json::UInt64>(control.keys.size());
        body["withdrawn_keys"] = static_cast<Json::UInt64>(control.withdrawnKeys);
        body["key_revision"] = static_cast<Json::UInt64>(control.keyChanges.revision);
        body["drains"] = Json::arrayValue;
        for (const auto& backend : control.drains) {
            body["drains"].append(backend);
        }
        body["orderers"] = static_cast<Json::UInt64>(control.orderers.size());
        body["crash_records"] = static_cast<Json::UInt64>(control.crashes.size());
        return body;
    }

    Json::Value describeCounters(const controller_counters& counters)
    {
        Json::Value body;
        body["commands_answered"] = static_cast<Json::UInt64>(counters.commandsAnswered);
        body["queries_answered"] = static_cast<Json::UInt64>(counters.queriesAnswered);
        body["redirected"] = static_cast<Json::UInt64>(counters.redirected);
        body["proposals_stalled"] = static_cast<Json::UInt64>(counters.proposalsStalled);
        body["outcomes_lost"] = static_cast<Json::UInt64>(counters.outcomesLost);
        body["polls_answered"] = static_cast<Json::UInt64>(counters.pollsAnswered);
        body["announcements"] = static_cast<Json::UInt64>(counters.announcements);
        body["lapses"] = static_cast<Json::UInt64>(counters.lapses);
        body["idle_programs"] = static_cast<Json::UInt64>(counters.idlePrograms);
        body["lost_turns"] = static_cast<Json::UInt64>(counters.lostTurns);
        body["bad_requests"] = static_cast<Json::UInt64>(counters.badRequests);
        return body;
    }

} // namespace

Json::Value describeBackend(const wire::backend_record& record)
{
    Json::Value body;
    body["backend"] = record.backend;
    body["kind"] = record.kind == wire::backend_kind::Engine ? "engine" : "service";
    body["incarnation"] = static_cast<Json::UInt64>(record.incarnation);
    body["sidecar"] = record.sidecar;
    body["sidecar_address"] = record.sidecarAddress;
    body["region"] = record.region;
    body["failure_domain"] = record.failureDomain;
    body["models"] = Json::arrayValue;
    for (const auto& model : record.models) {
        body["models"].append(model);
    }
    body["state"] = record.withdrawn ? "withdrawn" : record.draining ? "draining"
                                                                     : "serving";
    return body;
}

Json::Value describeGroups(const controller_state& state, time_point now)
{
    Json::Value groups(Json::arrayValue);
    for (const auto& [number, group] : state.groups) {
        groups.append(describeGroup(group, now));
    }
    return groups;
}

void replyWithDump(reduction& r, exchange_id exchange)
{
    Json::Value body;
    body["name"] = r.self.name;
    body["role"] = "controller";
    body["incarnation"] = static_cast<Json::UInt64>(r.self.incarnation);
    body["ready"] = r.state.isReady;
    body["groups"] = describeGroups(r.state, r.now);
    body["control"] = describeControl(r.state.control);
    body["shards"] = Json::arrayValue;
    for (const auto& [number, group] : r.state.groups) {
        if (number != 0) {
            body["shards"].append(describeShard(group));
        }
    }
    body["backends"] = Json::arrayValue;
    for (const auto& [id, backend] : r.state.members.backends) {
        body["backends"].append(describeBackend(backend.record));
    }
    body["peers"] = Json::objectValue;
    for (const auto& [peer, role] : r.state.peerRoles) {
        body["peers"][peer] = role;
    }
    body["counters"] = describeCounters(r.state.counters);
    r.out.emplace_back(reply_dump { exchange, writeJson(body) });
}

} // namespace cuminledge::core::controller
