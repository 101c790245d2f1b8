#include <algorithm>
#include <utility>

#include "internal.hpp"

namespace cuminledge::core::consensus {

static bool contains(const std::vector<std::string>& list, const std::string& value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

std::string controllerOf(const std::string& replicaId)
{
    return replicaId.substr(0, replicaId.find('#'));
}

const wire::group_configuration& configurationOf(const replica& r)
{
    static const wire::group_configuration none;
    return r.configurations.empty() ? none : r.configurations.back().configuration;
}

bool isMember(const replica& r, const std::string& id)
{
    return contains(configurationOf(r).members, id);
}

std::size_t quorumOf(const wire::group_configuration& configuration)
{
    return configuration.members.size() / 2 + 1;
}

bool isBlank(const replica& r)
{
    return r.term == 0 && r.votedFor.empty() && r.snapshot.index == 0 && r.log.entries.empty();
}

void syncFollowers(replica& r, time_point now)
{
    const auto& configuration = configurationOf(r);
    std::map<std::string, follower_progress> followers;
    for (const auto* list : { &configuration.members, &configuration.learners }) {
        for (const auto& id : *list) {
            if (id == r.id) {
                continue;
            }
            const auto known = r.followers.find(id);
            if (known != r.followers.end()) {
                followers[id] = std::move(known->second);
                continue;
            }
            followers[id].nextIndex = lastIndex(r) + 1;
            followers[id].lastProgress = now;
            followers[id].followedSince = now;
        }
    }
    r.followers = std::move(followers);
}

//------------------------------------------------------------------------------------------------------------------
// Forming a group, joining one
//------------------------------------------------------------------------------------------------------------------

void addContact(replica& r, const std::string& controller)
{
    if (controller != r.controller && !contains(r.initialMembers, controller)) {
        r.contacts.insert(controller);
    }
}

void requestJoin(replica& r, time_point now, replica_output& out)
{
    if (now - r.lastJoinRequest < 2 * r.settings.heartbeatInterval) {
        return;
    }
    r.lastJoinRequest = now;
    const wire::join_request request { isBlank(r) };
    for (const auto& controller : r.initialMembers) {
        if (controller != r.controller) {
            sendNow(r, controller, request, out);
        }
    }
    for (const auto& controller : r.contacts) {
        sendNow(r, controller, request, out);
    }
}

/// A replica that was down when another took its place finds nobody that answers its requests for votes.
bool mayHaveBeenRemoved(const replica& r, time_point now)
{
    return r.settings.admitsOthers && now - r.lastLeaderContact > 2 * r.settings.electionTimeoutMax;
}

/// Forms the group if every initial member is known to be blank. Only the first of them by name does: two that formed
/// it at once, with a disk lost in between, could write two different first configurations. Whatever an earlier group
/// committed is on a quorum, so at least one of its members would not be blank.
void formGroup(replica& r, time_point now)
{
    const bool isFirst = *std::min_element(r.initialMembers.begin(), r.initialMembers.end()) == r.controller;
    if (!r.settings.formsGroup || !isFirst || !isBlank(r)) {
        return;
    }
    wire::group_configuration configuration;
    for (const auto& controller : r.initialMembers) {
        const auto known = r.blankReplicas.find(controller);
        if (controller != r.controller && known == r.blankReplicas.end()) {
            return;
        }
        configuration.members.push_back(controller == r.controller ? r.id : known->second);
    }
    appendEntry(r, { 1, 0, wire::log_entry_kind::Configuration, wire::encodeStruct(configuration) });
    // The term changes by a later write: a crash in between must not leave a replica that is neither blank nor a member.
    r.electionDeadline = now;
    r.electionDeadlineSet = true;
}

void handle(replica& r, const std::string& from, const wire::join_response& m, time_point now,
    [[maybe_unused]] replica_output& out)
{
    for (const auto& member : m.members) {
        addContact(r, controllerOf(member));
    }
    if (!m.isBlank && r.guards.bootstrapOnlyBlank) {
        r.blankReplicas.erase(controllerOf(from));
        return;
    }
    r.blankReplicas[controllerOf(from)] = from;
    formGroup(r, now);
}

//------------------------------------------------------------------------------------------------------------------
// Changes, driven by the leader one at a time (thesis, 4.1)
//------------------------------------------------------------------------------------------------------------------

/// A change waits for the one before it and for the leader's own barrier (Ongaro's correction of 2015: without it, two
/// leaders' changes may have quorums that don't meet).
static bool mayChange(const replica& r)
{
    return isLeader(r) && r.commitIndex >= r.barrierIndex && r.configurations.back().index <= r.commitIndex;
}

static std::uint64_t changeTo(replica& r, const wire::group_configuration& next, time_point now, replica_output& out)
{
    const std::uint64_t index = appendOwn(r, wire::log_entry_kind::Configuration, wire::encodeStruct(next));
    syncFollowers(r, now);
    replicate(r, now, out);
    commitByQuorum(r, out);
    return index;
}

static bool hasReplicaOf(const std::vector<std::string>& list, const std::string& controller)
{
    return std::any_of(
        list.begin(), list.end(), [&controller](const std::string& id) { return controllerOf(id) == controller; });
}

static void eraseReplicasOf(std::vector<std::string>& list, const std::string& controller)
{
    list.erase(std::remove_if(list.begin(), list.end(),
                   [&controller](const std::string& id) { return controllerOf(id) == controller; }),
        list.end());
}

static void addLearner(replica& r, const std::string& id, time_point now, replica_output& out)
{
    wire::group_configuration next = configurationOf(r);
    const std::string controller = controllerOf(id);
    const bool isExpected = r.settings.admitsOthers || contains(r.initialMembers, controller)
        || hasReplicaOf(next.members, controller);
    if (!isExpected || controller == r.controller || contains(next.members, id) || contains(next.learners, id)) {
        return;
    }
    eraseReplicasOf(next.learners, controller);
    next.learners.push_back(id);
    changeTo(r, next, now, out);
}

/// A controller that asks to join under a new incarnation has lost its older replica: it counts as silent from now on.
static void noteLostReplica(replica& r, const std::string& newId)
{
    for (auto& [id, p] : r.followers) {
        if (id != newId && controllerOf(id) == controllerOf(newId)) {
            p.lastAnswer = {};
        }
    }
}

void handle(replica& r, const std::string& from, [[maybe_unused]] const wire::join_request& m, time_point now, replica_output& out)
{
    sendNow(r, from, wire::join_response { isBlank(r), configurationOf(r).members }, out);
    noteLostReplica(r, from);
    if (mayChange(r)) {
        addLearner(r, from, now, out);
    }
}

bool isCaughtUp(const replica& r, const follower_progress& p, time_point now)
{
    const bool isAnswering = now - p.lastAnswer < r.settings.electionTimeoutMin;
    return isAnswering && p.matchIndex >= r.commitAtEarlierHeartbeat && p.matchIndex >= r.barrierIndex;
}

/// The lost replica goes first, then the new one comes in: {a, b, c} to {a, c} to {a, c, b'}. In one step the quorums
/// {b, c} and {a, b'} would not meet.
static void promote(replica& r, const std::string& id, time_point now, replica_output& out)
{
    wire::group_configuration next = configurationOf(r);
    const std::string controller = controllerOf(id);
    if (hasReplicaOf(next.members, controller)) {
        eraseReplicasOf(next.members, controller);
        changeTo(r, next, now, out);
        return;
    }
    eraseReplicasOf(next.learners, controller);
    next.members.push_back(id);
    changeTo(r, next, now, out);
}

/// @return whether this leader has heard nothing of the replica for that long.
static bool isSilent(const replica& r, const std::string& id, std::chrono::milliseconds span, time_point now)
{
    const auto found = r.followers.find(id);
    return found != r.followers.end() && now - std::max(found->second.lastAnswer, found->second.followedSince) > span;
}

/// An even number of voters survives no more losses than the odd number below it, so a learner that would make their
/// number even waits for a second one.
static bool hasRoomForVoter(const replica& r, std::size_t readyLearners)
{
    const std::size_t count = configurationOf(r).members.size();
    const bool becomesEven = count % 2 == 1;
    return r.settings.voters == 0 || (count < r.settings.voters && (!becomesEven || readyLearners >= 2));
}

static bool isReady(const replica& r, const std::string& learner, time_point now)
{
    const auto found = r.followers.find(learner);
    const bool caughtUp = found != r.followers.end() && isCaughtUp(r, found->second, now);
    return caughtUp || !r.guards.promoteOnlyCaughtUp;
}

/// The silent voter goes first and the learner comes in by the next change, as in promote().
/// @return whether a voter was removed.
static bool removeSilentVoter(replica& r, time_point now, replica_output& out)
{
    wire::group_configuration next = configurationOf(r);
    const auto silent = std::find_if(next.members.begin(), next.members.end(),
        [&](const std::string& id) { return id != r.id && isSilent(r, id, r.settings.replaceAfter, now); });
    if (silent == next.members.end()) {
        return false;
    }
    next.members.erase(silent);
    changeTo(r, next, now, out);
    return true;
}

static void dropSilentLearner(replica& r, time_point now, replica_output& out)
{
    wire::group_configuration next = configurationOf(r);
    const auto silent = std::find_if(next.learners.begin(), next.learners.end(),
        [&](const std::string& id) { return isSilent(r, id, r.settings.dropLearnerAfter, now); });
    if (silent != next.learners.end()) {
        next.learners.erase(silent);
        changeTo(r, next, now, out);
    }
}

void advanceMembership(replica& r, time_point now, replica_output& out)
{
    if (!mayChange(r)) {
        return;
    }
    std::vector<std::string> ready;
    for (const auto& id : configurationOf(r).learners) {
        if (isReady(r, id, now)) {
            ready.push_back(id);
        }
    }
    for (const auto& id : ready) {
        const bool isReplacement = hasReplicaOf(configurationOf(r).members, controllerOf(id));
        if (isReplacement || hasRoomForVoter(r, ready.size())) {
            promote(r, id, now, out);
            return;
        }
    }
    if (!ready.empty() && removeSilentVoter(r, now, out)) {
        return;
    }
    if (r.settings.admitsOthers) {
        dropSilentLearner(r, now, out);
    }
}

result<std::uint64_t> removeMember(replica& r, const std::string& controller, time_point now, replica_output& out)
{
    constexpr const char* step = "remove_member";
    if (!isLeader(r)) {
        return failure(error_code::NotLeader, "this replica does not lead the group", step, leaderName(r));
    }
    if (controller == r.controller || !mayChange(r)) {
        return failure(error_code::Conflict, "a change is under way, or the member is the leader itself", step);
    }
    wire::group_configuration next = configurationOf(r);
    if (!hasReplicaOf(next.members, controller) && !hasReplicaOf(next.learners, controller)) {
        return failure(error_code::NotFound, "no such member", step, controller);
    }
    eraseReplicasOf(next.members, controller);
    eraseReplicasOf(next.learners, controller);
    const std::uint64_t index = changeTo(r, next, now, out);
    flushWrites(r, out);
    return index;
}

} // namespace cuminledge::core::consensus
