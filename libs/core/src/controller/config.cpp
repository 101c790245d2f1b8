#include <controller/internal.hpp>

#include <algorithm>
#include <utility>

#include <core/group.hpp>

namespace cuminledge::core::controller {

namespace {

    /// What an update may hold, so that it fits one frame. The rest comes with the next poll, and until then the
    /// gateway gets no lease: it does not serve on a part of the configuration.
    constexpr std::size_t maxUpdateBytes = 6U << 20U;

    /// Builds one update and keeps to its size.
    struct update_builder {
        wire::config_update update;
        std::size_t bytes = 0;
        bool isPartial = false;
    };

    template <typename Record>
    bool fits(update_builder& builder, const Record& record)
    {
        const auto size = wire::encodeStruct(record).size();
        if (builder.isPartial || builder.bytes + size > maxUpdateBytes) {
            builder.isPartial = true;
            return false;
        }
        builder.bytes += size;
        return true;
    }

    std::vector<std::string> allIds(const store::change_index& index)
    {
        std::vector<std::string> ids;
        for (const auto& [revision, id] : index.byRevision) {
            ids.push_back(id);
        }
        return ids;
    }

    bool isGone(const wire::key_record& record) { return record.withdrawn; }
    bool isGone(const wire::quarantine_record& record) { return record.cleared; }
    bool isGone(const wire::backend_record& record) { return record.withdrawn; }

    /// Adds the records changed since `held`, or all of them, oldest change first. @return the revision they reach.
    template <typename Record, typename Lookup>
    std::uint64_t addChanges(update_builder& builder, const store::change_index& index, std::uint64_t held,
        bool& complete, std::vector<Record>& records, const Lookup& lookup)
    {
        const auto changed = store::changedSince(index, held);
        complete = !changed.has_value();
        std::uint64_t reached = complete ? 0 : held;
        for (const auto& id : changed ? *changed : allIds(index)) {
            const Record record = lookup(id);
            const auto revision = index.revisionOf.at(id);
            const bool isNeeded = !complete || !isGone(record);
            if (isNeeded && !fits(builder, record)) {
                // What was forgotten is older than the floor; with all of that behind, changes are enough again.
                return complete && revision > index.floor ? std::max(reached, index.floor) : reached;
            }
            if (isNeeded) {
                records.push_back(record);
            }
            reached = revision;
        }
        return index.revision;
    }

    void addManifest(update_builder& builder, const store::control_state& control, std::uint64_t held)
    {
        builder.update.manifestNumber = control.manifestNumber;
        if (held != control.manifestNumber) {
            builder.update.manifest = control.manifest;
            builder.bytes += control.manifest.size();
        }
    }

    void addRoutes(update_builder& builder, const store::control_state& control, std::uint64_t held)
    {
        builder.update.routesVersion = control.routesVersion;
        if (held != control.routesVersion) {
            builder.update.routes = control.routes;
            builder.bytes += control.routes.size();
        }
    }

    void addKeys(update_builder& builder, const store::control_state& control, std::uint64_t held)
    {
        auto& update = builder.update;
        update.keyRevision = addChanges(builder, control.keyChanges, held, update.keysComplete, update.keys,
            [&control](const std::string& id) { return control.keys.at(id); });
    }

    void addQuarantine(update_builder& builder, const store::control_state& control, std::uint64_t held)
    {
        auto& update = builder.update;
        update.quarantineRevision = addChanges(builder, control.crashChanges, held, update.quarantineComplete,
            update.quarantine, [&control](const std::string& id) {
                const auto& crash = control.crashes.at(id);
                return wire::quarantine_record { crash.fingerprint, crash.account,
                    static_cast<std::uint32_t>(crash.deaths.size()), crash.quarantined, crash.cleared };
            });
    }

    void addMembership(reduction& r, update_builder& builder, const wire::config_poll& poll)
    {
        const auto& members = r.state.members;
        auto& update = builder.update;
        const auto lookup = [&members](const std::string& id) { return members.backends.at(id).record; };
        if (r.now < members.completeAt && poll.membershipEpoch != members.epoch) {
            // A leader that has just come does not know yet who is there. It tells what it has heard and leaves the
            // gateway with its epoch, so that the gateway drops nobody and asks for everything later.
            bool complete = false;
            addChanges(builder, members.changes, 0, complete, update.backends, lookup);
            update.membershipEpoch = poll.membershipEpoch;
            update.membershipVersion = poll.membershipVersion;
            return;
        }
        // A revision that was never reached makes changedSince() ask for everything.
        const auto held = poll.membershipEpoch == members.epoch ? poll.membershipVersion : members.changes.revision + 1;
        update.membershipEpoch = members.epoch;
        update.membershipVersion
            = addChanges(builder, members.changes, held, update.membershipComplete, update.backends, lookup);
    }

    wire::config_update redirect(reduction& r, const wire::config_poll& poll)
    {
        ++r.state.counters.redirected;
        wire::config_update update;
        update.request = poll.request;
        update.notLeader = true;
        update.leader = leaderOf(r.state, systemGroup);
        return update;
    }

} // namespace

void receivePoll(reduction& r, const std::string& peer, const wire::config_poll& poll)
{
    const auto* group = findGroup(r.state, systemGroup);
    if (group == nullptr || !mayServe(*group, r.now)) {
        r.out.emplace_back(send_message { peer, redirect(r, poll) });
        return;
    }
    ++r.state.counters.pollsAnswered;
    update_builder builder;
    builder.update.request = poll.request;
    builder.update.groupCount = r.state.settings.groupCount;
    addManifest(builder, r.state.control, poll.manifestNumber);
    addRoutes(builder, r.state.control, poll.routesVersion);
    addKeys(builder, r.state.control, poll.keyRevision);
    addQuarantine(builder, r.state.control, poll.quarantineRevision);
    addMembership(r, builder, poll);
    builder.update.allowances = limits::grantAllowances(r.state.requestLimits, peer, poll.limitReports, r.now, r.random);
    builder.update.gatewayCount = limits::countGateways(r.state.requestLimits, r.now);
    const auto& evacuated = r.state.control.evacuatedDomains;
    builder.update.evacuatedDomains.assign(evacuated.begin(), evacuated.end());
    exchangeLoads(r, peer, poll, builder.update);
    builder.update.lease = builder.isPartial ? std::chrono::milliseconds(0) : r.state.settings.configLease;
    r.out.emplace_back(send_message { peer, std::move(builder.update) });
}

} // namespace cuminledge::core::controller
