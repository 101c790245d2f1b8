#include <controller/internal.hpp>

#include <algorithm>
#include <utility>

#include <core/consensus/consensus.hpp>
#include <core/group.hpp>

namespace cuminledge::core::controller {

namespace {

    /// Withdrawn backend servers remembered, so that updates can say so and a late announcement does not count.
    constexpr std::size_t maxBackends = 20'000;
    constexpr std::size_t maxIdBytes = 256;
    constexpr std::size_t maxModels = 1'000;

    bool isValid(const wire::backend_record& record)
    {
        return !record.backend.empty() && record.backend.size() <= maxIdBytes && record.sidecarAddress.size() <= maxIdBytes
            && record.region.size() <= maxIdBytes && record.failureDomain.size() <= maxIdBytes
            && record.models.size() <= maxModels;
    }

    void answer(reduction& r, const std::string& peer, wire::announce_response response)
    {
        response.groupCount = r.state.settings.groupCount;
        r.out.emplace_back(send_message { peer, std::move(response) });
    }

    void refuse(reduction& r, const std::string& peer, std::uint64_t request, std::string problem)
    {
        wire::announce_response response;
        response.request = request;
        response.problem = std::move(problem);
        answer(r, peer, std::move(response));
    }

    bool isSame(const wire::backend_record& left, const wire::backend_record& right)
    {
        return wire::encodeStruct(left) == wire::encodeStruct(right);
    }

    void putRecord(reduction& r, wire::backend_record record)
    {
        auto& members = r.state.members;
        auto& entry = members.backends[record.backend];
        if (!isSame(entry.record, record)) {
            store::touch(members.changes, record.backend);
        }
        entry.record = std::move(record);
    }

    /// Proposes the fencing number of this orderer once. @return the number, or 0 while there is none yet.
    std::uint64_t fencingNumberOf(reduction& r, const wire::backend_record& record)
    {
        const auto known = r.state.control.orderers.find(record.backend);
        if (known != r.state.control.orderers.end() && known->second.incarnation == record.incarnation) {
            return known->second.number;
        }
        auto* group = findGroup(r.state, systemGroup);
        if (r.state.members.registrations.insert({ record.backend, record.incarnation }).second) {
            const wire::register_orderer command { record.backend, record.incarnation };
            if (!propose(r, *group, command, own_origin {})) {
                r.state.members.registrations.erase({ record.backend, record.incarnation });
            }
        }
        return 0;
    }

    /// @return why this announcement can't be taken; empty if it can.
    std::string problemOf(reduction& r, const wire::announce_backend& announcement)
    {
        const auto& record = announcement.backend;
        if (!isValid(record)) {
            return "a field is empty or too long";
        }
        const auto orderer = r.state.control.orderers.find(record.backend);
        if (orderer != r.state.control.orderers.end() && orderer->second.incarnation > record.incarnation) {
            return "a later incarnation holds this id";
        }
        const auto known = r.state.members.backends.find(record.backend);
        if (known == r.state.members.backends.end()) {
            return r.state.members.backends.size() >= maxBackends ? "too many backend servers are announced" : "";
        }
        return known->second.record.incarnation > record.incarnation ? "a later incarnation holds this id" : "";
    }

    void withdraw(reduction& r, const std::string& backend)
    {
        auto record = r.state.members.backends.at(backend).record;
        record.withdrawn = true;
        putRecord(r, std::move(record));
    }

    void take(reduction& r, const wire::announce_backend& announcement)
    {
        auto record = announcement.backend;
        const auto known = r.state.members.backends.find(record.backend);
        const bool hasLeft = known != r.state.members.backends.end() && known->second.isLeaving
            && known->second.record.incarnation == record.incarnation;
        record.withdrawn = announcement.leaving || hasLeft;
        record.draining = record.draining || r.state.control.drains.contains(record.backend);
        const auto id = record.backend;
        putRecord(r, std::move(record));
        auto& entry = r.state.members.backends.at(id);
        entry.isLeaving = announcement.leaving || hasLeft;
        entry.leaseEnd = r.now + r.state.settings.announceLease;
    }

    void proposeServer(reduction& r, const wire::note_server& change, proposal_origin origin)
    {
        auto* group = findGroup(r.state, systemGroup);
        const auto proposed = propose(r, *group, change, origin);
        const auto* control = std::get_if<control_origin>(&origin);
        if (!proposed && control != nullptr) {
            redirectControl(r, control->exchange);
        }
    }

    /// Cold servers crash where they get much more than they state, so that they are granted a little less.
    void limitColdServer(reduction& r, const wire::backend_record& record)
    {
        constexpr double coldShare = 0.8;
        if (!r.state.routes) {
            return;
        }
        const auto& services = r.state.routes->services;
        const auto service = std::find_if(services.begin(), services.end(),
            [&record](const wire::service_rule& each) { return each.name == record.service; });
        if (service == services.end() || service->coldRequestsPerSecond <= 0) {
            return;
        }
        const double limit = record.isCold ? service->coldRequestsPerSecond * coldShare : 0;
        limits::setColdLimit(r.state.requestLimits, record.backend, record.incarnation, limit, r.now);
    }

    /// @return whether the announcement is older than what is known of the server.
    bool isOutdated(const announced_backend& known, const server_announcement& announcement)
    {
        const auto& record = announcement.backend;
        if (record.incarnation != known.record.incarnation) {
            return record.incarnation < known.record.incarnation;
        }
        return announcement.sequence != 0 && announcement.sequence <= known.sequence;
    }

    /// An address belongs to the server that started last.
    /// @return whether another server that started later holds the address.
    bool takeOverAddress(reduction& r, const wire::backend_record& record)
    {
        std::vector<std::string> replaced;
        for (const auto& [id, known] : r.state.members.backends) {
            const bool isOther = id != record.backend && !known.record.withdrawn && known.record.address == record.address;
            if (isOther && known.record.incarnation > record.incarnation) {
                return false;
            }
            if (isOther) {
                replaced.push_back(id);
            }
        }
        for (const auto& id : replaced) {
            log(r, log_level::Info, "backend_replaced", { { "backend", id }, { "by", record.backend } });
            auto gone = r.state.members.backends.at(id).record;
            gone.withdrawn = true;
            proposeServer(r, { gone, true }, own_origin {});
        }
        return true;
    }

    void forgetOldestWithdrawn(membership& members)
    {
        for (const auto& [revision, id] : members.changes.byRevision) {
            if (members.backends.at(id).record.withdrawn) {
                const auto forgotten = id;
                members.backends.erase(forgotten);
                store::forget(members.changes, forgotten);
                return;
            }
        }
    }

    /// Servers that announce themselves are known to every leader; each has one lease to announce itself again.
    void takeOverServers(reduction& r)
    {
        for (const auto& [id, record] : r.state.control.servers) {
            putRecord(r, record);
            auto& entry = r.state.members.backends.at(id);
            entry.isLeaving = record.withdrawn;
            entry.leaseEnd = r.now + r.state.settings.announceLease;
            limitColdServer(r, record);
        }
    }

} // namespace

void startMembership(reduction& r, std::uint64_t epoch)
{
    r.state.members = {};
    r.state.members.epoch = epoch;
    r.state.requestLimits = {};
    r.state.requestLimits.startedAt = r.now;
    r.state.loads = {};
    r.state.enginesVersion = {};
    // A sidecar needs up to a lease to notice that the old leader is gone, and again to find the new one.
    r.state.members.completeAt = r.now + 2 * r.state.settings.announceLease;
    takeOverServers(r);
}

void stopMembership(reduction& r)
{
    r.state.members = {};
}

void receiveAnnouncement(reduction& r, const std::string& peer, const wire::announce_backend& announcement)
{
    ++r.state.counters.announcements;
    const auto* group = findGroup(r.state, systemGroup);
    if (group == nullptr || !mayServe(*group, r.now)) {
        ++r.state.counters.redirected;
        wire::announce_response response;
        response.request = announcement.request;
        response.notLeader = true;
        response.leader = leaderOf(r.state, systemGroup);
        answer(r, peer, std::move(response));
        return;
    }
    if (r.state.members.backends.size() >= maxBackends) {
        forgetOldestWithdrawn(r.state.members);
    }
    if (auto problem = problemOf(r, announcement); !problem.empty()) {
        refuse(r, peer, announcement.request, std::move(problem));
        return;
    }
    take(r, announcement);
    const auto& record = r.state.members.backends.at(announcement.backend.backend).record;
    wire::announce_response response;
    response.request = announcement.request;
    response.accepted = true;
    response.lease = r.state.settings.announceLease;
    response.drainOrdered = r.state.control.drains.contains(record.backend);
    response.fencingNumber = announcement.leaving ? 0 : fencingNumberOf(r, record);
    answer(r, peer, std::move(response));
}

void takeServer(reduction& r, const server_announcement& announcement)
{
    ++r.state.counters.announcements;
    auto& members = r.state.members;
    auto record = announcement.backend;
    const auto known = members.backends.find(record.backend);
    const bool isNew = known == members.backends.end();
    if (!isNew && isOutdated(known->second, announcement)) {
        answerControl(r, { announcement.exchange }, wire::acknowledged {});
        return;
    }
    const bool isSameStart = !isNew && known->second.record.incarnation == record.incarnation;
    const bool hasLeft = isSameStart && known->second.isLeaving;
    const bool wasDraining = isSameStart && known->second.record.draining;
    record.withdrawn = hasLeft;
    record.draining = record.draining || wasDraining || r.state.control.drains.contains(record.backend);
    limitColdServer(r, record);
    if (!isNew && isSame(known->second.record, record)) {
        known->second.sequence = announcement.sequence;
        known->second.leaseEnd = r.now + r.state.settings.announceLease;
        answerControl(r, { announcement.exchange }, wire::acknowledged {});
        return;
    }
    // Looks at every server, so only where something has changed.
    if (!takeOverAddress(r, record)) {
        answerControl(r, { announcement.exchange }, wire::acknowledged {});
        return;
    }
    proposeServer(r, { record, false }, control_origin { announcement.exchange });
}

void withdrawServer(reduction& r, const server_departure& departure)
{
    const auto known = r.state.members.backends.find(departure.backend);
    const bool isGone = known == r.state.members.backends.end() || known->second.isLeaving;
    const bool isOlder = !isGone && departure.incarnation != 0 && departure.incarnation < known->second.record.incarnation;
    if (isGone || isOlder) {
        answerControl(r, { departure.exchange }, wire::acknowledged {});
        return;
    }
    auto record = known->second.record;
    record.withdrawn = true;
    proposeServer(r, { record, true }, control_origin { departure.exchange });
}

void noteServer(reduction& r, const wire::note_server& change)
{
    if (r.state.members.epoch == 0) {
        return; // not the leader
    }
    const auto& record = change.server;
    log(r, log_level::Info, record.withdrawn ? "backend_withdrawn" : "backend_announced",
        { { "backend", record.backend }, { "address", record.address }, { "service", record.service },
            { "domain", record.failureDomain }, { "version", record.softwareVersion }, { "draining", record.draining ? "yes" : "no" },
            { "leaving", change.isLeaving ? "yes" : "no" }, { "incarnation", std::to_string(record.incarnation) } });
    if (r.state.members.backends.size() >= maxBackends) {
        forgetOldestWithdrawn(r.state.members);
    }
    putRecord(r, record);
    auto& entry = r.state.members.backends.at(record.backend);
    entry.isLeaving = change.isLeaving;
    entry.leaseEnd = r.now + r.state.settings.announceLease;
}

void noteDrain(reduction& r, const std::string& backend)
{
    const bool isDraining = r.state.control.drains.contains(backend);
    log(r, log_level::Info, isDraining ? "drain_ordered" : "drain_lifted", { { "backend", backend } });
    const auto known = r.state.members.backends.find(backend);
    if (known == r.state.members.backends.end()) {
        return;
    }
    auto record = known->second.record;
    record.draining = isDraining;
    putRecord(r, std::move(record));
}

void lapseAnnouncements(reduction& r)
{
    std::vector<std::string> lapsed;
    for (const auto& [id, backend] : r.state.members.backends) {
        if (backend.record.withdrawn || r.now < backend.leaseEnd) {
            continue;
        }
        ++r.state.counters.lapses;
        log(r, log_level::Warning, "announcement_lapsed", { { "backend", id } });
        lapsed.push_back(id);
    }
    for (const auto& id : lapsed) {
        auto record = r.state.members.backends.at(id).record;
        withdraw(r, id);
        if (record.sidecar.empty()) {
            record.withdrawn = true;
            proposeServer(r, { record, false }, own_origin {});
        }
    }
}

} // namespace cuminledge::core::controller
