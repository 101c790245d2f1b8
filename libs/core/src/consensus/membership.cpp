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
            followers[id].trackedSince = now;
        }
    }
    r.followers = std::move(followers);
}

//------------------------------------------------------------------------------------------------------------------
// Forming and joining a group
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

/// A replica that was replaced while it was down gets no response to its vote requests, so silence is the only sign.
bool mayHaveBeenRemoved(const replica& r, time_point now)
{
    return r.settings.admitsOthers && now - r.lastLeaderContact > 2 * r.settings.electionTimeoutMax;
}

/// Forms the group if every initial member is known to be blank. Only the first member by name does so: if two formed
/// it concurrently and a disk were lost in between, they could write two different first configurations. Whatever an
/// earlier group committed is on a quorum, so at least one of its members would not be blank.
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
    // The term is changed by a later write: a crash in between must not leave a replica that is neither blank nor a
    // member.
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
// Membership changes, made by the leader one at a time (thesis, 4.1)
//------------------------------------------------------------------------------------------------------------------

/// A membership change requires that the previous one and the leader's barrier entry are committed. Without the
/// barrier, the changes of two leaders may have quorums that do not overlap (Ongaro's correction of 2015).
static bool canChangeMembership(const replica& r)
{
    return isLeader(r) && r.commitIndex >= r.barrierIndex && r.configurations.back().index <= r.commitIndex;
}

static std::uint64_t proposeConfiguration(replica& r, const wire::group_configuration& next, time_point now, replica_output& out)
{
    const std::uint64_t index = appendAsLeader(r, wire::log_entry_kind::Configuration, wire::encodeStruct(next));
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
    proposeConfiguration(r, next, now, out);
}

/// A controller that requests to join with a new disk incarnation has lost its older replica. Treats the older replica
/// as silent from now on.
static void markOlderReplicasSilent(replica& r, const std::string& newId)
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
    markOlderReplicasSilent(r, from);
    if (canChangeMembership(r)) {
        addLearner(r, from, now, out);
    }
}

bool isCaughtUp(const replica& r, const follower_progress& p, time_point now)
{
    const bool isResponsive = now - p.lastAnswer < r.settings.electionTimeoutMin;
    return isResponsive && p.matchIndex >= r.commitAtPreviousHeartbeat && p.matchIndex >= r.barrierIndex;
}

/// Removes the controller's lost replica first and adds the new one by a later change: {a, b, c} to {a, c} to {a, c,
/// b'}. If both were done in one step, the quorums {b, c} and {a, b'} would not overlap.
static void promote(replica& r, const std::string& id, time_point now, replica_output& out)
{
    wire::group_configuration next = configurationOf(r);
    const std::string controller = controllerOf(id);
    if (hasReplicaOf(next.members, controller)) {
        eraseReplicasOf(next.members, controller);
        proposeConfiguration(r, next, now, out);
        return;
    }
    eraseReplicasOf(next.learners, controller);
    next.members.push_back(id);
    proposeConfiguration(r, next, now, out);
}

/// @return whether this leader has had no response from the replica for longer than `span`.
static bool isSilent(const replica& r, const std::string& id, std::chrono::milliseconds span, time_point now)
{
    const auto found = r.followers.find(id);
    return found != r.followers.end() && now - std::max(found->second.lastAnswer, found->second.trackedSince) > span;
}

/// An even number of voters tolerates no more losses than the next lower odd number. A learner that would make the
/// number even therefore waits until a second one is ready.
static bool canAddVoter(const replica& r, std::size_t readyLearners)
{
    const std::size_t count = configurationOf(r).members.size();
    const bool becomesEven = count % 2 == 1;
    return r.settings.voters == 0 || (count < r.settings.voters && (!becomesEven || readyLearners >= 2));
}

static bool canPromote(const replica& r, const std::string& learner, time_point now)
{
    const auto found = r.followers.find(learner);
    const bool caughtUp = found != r.followers.end() && isCaughtUp(r, found->second, now);
    return caughtUp || !r.guards.promoteOnlyCaughtUp;
}

/// Takes the next step of replacing a silent voter. The learner is promoted first: the silent voter may only be slow, and
/// while it counts, the group survives the loss of another one between the two changes.
/// @param ready learners that have caught up. @return whether a change was made.
static bool replaceSilentVoter(
    replica& r, const std::vector<std::string>& ready, time_point now, replica_output& out)
{
    wire::group_configuration next = configurationOf(r);
    const auto silent = std::find_if(next.members.begin(), next.members.end(),
        [&](const std::string& id) { return id != r.id && isSilent(r, id, r.settings.voterReplacementTimeout, now); });
    if (silent == next.members.end()) {
        return false;
    }
    const bool hasReplacement = r.settings.voters == 0 ? !ready.empty()
                                                       : next.members.size() > r.settings.voters || next.members.size() % 2 == 0;
    if (hasReplacement) {
        next.members.erase(silent);
        proposeConfiguration(r, next, now, out);
        return true;
    }
    if (ready.empty()) {
        return false;
    }
    promote(r, ready.front(), now, out);
    return true;
}

static void dropSilentLearner(replica& r, time_point now, replica_output& out)
{
    wire::group_configuration next = configurationOf(r);
    const auto silent = std::find_if(next.learners.begin(), next.learners.end(),
        [&](const std::string& id) { return isSilent(r, id, r.settings.learnerRemovalTimeout, now); });
    if (silent != next.learners.end()) {
        next.learners.erase(silent);
        proposeConfiguration(r, next, now, out);
    }
}

void advanceMembership(replica& r, time_point now, replica_output& out)
{
    if (!canChangeMembership(r)) {
        return;
    }
    std::vector<std::string> ready;
    for (const auto& id : configurationOf(r).learners) {
        if (canPromote(r, id, now)) {
            ready.push_back(id);
        }
    }
    for (const auto& id : ready) {
        const bool isReplacement = hasReplicaOf(configurationOf(r).members, controllerOf(id));
        if (isReplacement || canAddVoter(r, ready.size())) {
            promote(r, id, now, out);
            return;
        }
    }
    if (replaceSilentVoter(r, ready, now, out)) {
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
    if (controller == r.controller || !canChangeMembership(r)) {
        return failure(error_code::Conflict, "a change is under way, or the member is the leader itself", step);
    }
    wire::group_configuration next = configurationOf(r);
    if (!hasReplicaOf(next.members, controller) && !hasReplicaOf(next.learners, controller)) {
        return failure(error_code::NotFound, "no such member", step, controller);
    }
    eraseReplicasOf(next.members, controller);
    eraseReplicasOf(next.learners, controller);
    const std::uint64_t index = proposeConfiguration(r, next, now, out);
    flushWrites(r, out);
    return index;
}

} // namespace cuminledge::core::consensus
