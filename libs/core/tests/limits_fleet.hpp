#pragma once

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <core/limits/lease_holder.hpp>
#include <core/limits/rate_authority.hpp>

/// Gateways and the replicas of one group around the real limit decisions, on a virtual clock. Messages may be late,
/// lost or doubled; nodes may be cut off, die and return. What was admitted is checked against a bucket with no delay.
namespace cuminledge::core::limits::testing {

struct fleet_settings {
    rate_limit limit { 50, 20 };
    std::size_t gateways = 3;
    std::size_t replicas = 3;
    std::chrono::microseconds latency { 1'500 };
    std::chrono::microseconds commitDelay { 4'000 };
    double lossShare = 0;
    double doubledShare = 0;
    std::chrono::milliseconds extraDelay { 0 }; ///< most that a message may be late beyond the latency
    double clockDrift = 0; ///< each node's clock runs at a rate drawn from 1 ± half of it
    std::uint64_t seed = 1;
    // Faults planted into the decisions, to show that the checks see them.
    bool forgetInherited = false;
    bool forgetOutstanding = false;
    bool acceptDoubledGrants = false;
    bool dropSpendTimes = false;
    bool dropRecalls = false;
};

/// A node's own monotonic clock: another zero and another rate.
struct node_clock {
    double rate = 1;
    duration offset { 0 };
};

struct fleet_gateway {
    std::string name;
    lease_holder holder;
    node_clock clock;
    std::uint64_t incarnation = 1;
    std::size_t target = 0; ///< replica it takes for the leader
    std::uint64_t side = 0; ///< of a network partition
    std::deque<time_point> held; ///< real arrival times of the waiting calls
};

struct fleet_replica {
    rate_authority authority;
    node_clock clock;
    std::uint64_t side = 0;
    std::size_t applied = 0;
};

struct fleet_counts {
    std::int64_t offered = 0;
    std::int64_t admitted = 0;
    std::int64_t refused = 0;
    std::int64_t wrongfulRefusals = 0; ///< refused although the bucket with no delay had a token to spare
    std::int64_t overAdmitted = 0;
    double waitedSeconds = 0;
    double longestWaitSeconds = 0;
};

struct rate_fleet {
    fleet_settings settings;
    std::mt19937_64 random;
    time_point start { std::chrono::hours(100) };
    time_point now { std::chrono::hours(100) };
    time_point nextTick { std::chrono::hours(100) };
    std::multimap<time_point, std::function<void()>> events;
    std::vector<fleet_gateway> gateways;
    std::vector<fleet_replica> replicas;
    std::vector<wire::reserve_rate> log; ///< committed
    std::size_t leader = 0;
    std::uint64_t term = 1;
    token_bucket truth;
    fleet_counts counts;
};

inline const std::string fleetAccount = "account";

inline time_point localTime(const rate_fleet& fleet, const node_clock& clock)
{
    const auto passed = std::chrono::duration<double>(fleet.now - fleet.start) * clock.rate;
    return time_point(std::chrono::hours(1)) + clock.offset + std::chrono::duration_cast<duration>(passed);
}

inline void at(rate_fleet& fleet, time_point when, std::function<void()> what)
{
    fleet.events.emplace(when, std::move(what));
}

inline bool chance(rate_fleet& fleet, double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(fleet.random) < share;
}

/// Delivers a message, perhaps late, twice or never.
inline void deliver(rate_fleet& fleet, const std::function<void()>& what)
{
    const int copies = chance(fleet, fleet.settings.doubledShare) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (chance(fleet, fleet.settings.lossShare)) {
            continue;
        }
        std::uniform_int_distribution<std::int64_t> extra(
            0, std::chrono::microseconds(fleet.settings.extraDelay).count());
        at(fleet, fleet.now + fleet.settings.latency + std::chrono::microseconds(extra(fleet.random)), what);
    }
}

inline void noteAdmitted(rate_fleet& fleet)
{
    constexpr double rounding = 1e-6;
    ++fleet.counts.admitted;
    refill(fleet.truth, fleet.now);
    fleet.truth.tokens -= 1;
    if (fleet.truth.tokens < -rounding) {
        ++fleet.counts.overAdmitted;
    }
}

/// A refusal is judged as of the moment the authority decided it, a few milliseconds before it is heard.
inline void noteRefused(rate_fleet& fleet)
{
    constexpr double decisionAgeSeconds = 0.005;
    ++fleet.counts.refused;
    refill(fleet.truth, fleet.now);
    double held = 0;
    for (const auto& gateway : fleet.gateways) {
        held += static_cast<double>(gateway.held.size());
    }
    const double spare = fleet.truth.tokens - held - decisionAgeSeconds * fleet.settings.limit.ratePerSecond;
    if (spare >= 1) {
        ++fleet.counts.wrongfulRefusals;
    }
}

inline void admitHeld(rate_fleet& fleet, fleet_gateway& gateway)
{
    const double waited = std::chrono::duration<double>(fleet.now - gateway.held.front()).count();
    fleet.counts.waitedSeconds += waited;
    fleet.counts.longestWaitSeconds = std::max(fleet.counts.longestWaitSeconds, waited);
    gateway.held.pop_front();
    noteAdmitted(fleet);
}

void carryOut(rate_fleet& fleet, std::size_t replica, const authority_output& output);

inline void applyCommitted(rate_fleet& fleet, std::size_t index)
{
    auto& replica = fleet.replicas[index];
    authority_output output;
    while (replica.applied < fleet.log.size()) {
        const auto reservation = fleet.log[replica.applied++];
        onReservationApplied(replica.authority, reservation, localTime(fleet, replica.clock), output);
    }
    carryOut(fleet, index, output);
}

/// A proposal commits only while its proposer's term is the newest and its side holds the leader.
inline void propose(rate_fleet& fleet, std::size_t proposer, const wire::reserve_rate& reservation)
{
    at(fleet, fleet.now + fleet.settings.commitDelay, [&fleet, proposer, reservation] {
        if (reservation.term != fleet.term || proposer != fleet.leader) {
            return;
        }
        fleet.log.push_back(reservation);
        applyCommitted(fleet, proposer);
        for (std::size_t other = 0; other < fleet.replicas.size(); ++other) {
            if (fleet.replicas[other].side == fleet.replicas[proposer].side) {
                deliver(fleet, [&fleet, other] { applyCommitted(fleet, other); });
            }
        }
    });
}

inline void receiveGrant(rate_fleet& fleet, std::size_t index, std::uint64_t incarnation, const wire::rate_lease_grant& grant)
{
    auto& gateway = fleet.gateways[index];
    if (gateway.incarnation != incarnation) {
        return;
    }
    if (fleet.settings.acceptDoubledGrants) {
        gateway.holder.leases[grant.account].requestPending = true;
        gateway.holder.leases[grant.account].request = grant.request;
    }
    const auto outcome = onRateGrant(gateway.holder, grant, localTime(fleet, gateway.clock));
    if (grant.notLeader) {
        gateway.target = (gateway.target + 1) % fleet.replicas.size();
    }
    for (std::int64_t i = 0; i < outcome.admitted; ++i) {
        admitHeld(fleet, gateway);
    }
    for (std::int64_t i = 0; i < outcome.refused; ++i) {
        gateway.held.pop_front();
        noteRefused(fleet);
    }
}

inline void receiveRequest(rate_fleet& fleet, std::size_t replicaIndex, std::size_t gatewayIndex,
    std::uint64_t incarnation, const wire::rate_lease_request& request)
{
    auto& replica = fleet.replicas[replicaIndex];
    if (!replica.authority.leading) {
        wire::rate_lease_grant grant;
        grant.notLeader = true;
        grant.request = request.request;
        grant.account = request.account;
        deliver(fleet, [&fleet, gatewayIndex, incarnation, grant] {
            receiveGrant(fleet, gatewayIndex, incarnation, grant);
        });
        return;
    }
    authority_output output;
    onRateRequest(replica.authority, fleet.gateways[gatewayIndex].name, request,
        localTime(fleet, replica.clock), output);
    carryOut(fleet, replicaIndex, output);
}

inline void sendRequests(
    rate_fleet& fleet, std::size_t gatewayIndex, std::vector<wire::rate_lease_request> requests)
{
    auto& gateway = fleet.gateways[gatewayIndex];
    for (auto& request : requests) {
        if (fleet.settings.dropSpendTimes) {
            request.spends.clear();
        }
        if (request.request > 1 && gateway.holder.leases[request.account].askAgainAt == time_point {}
            && chance(fleet, fleet.settings.lossShare)) {
            gateway.target = (gateway.target + 1) % fleet.replicas.size();
        }
        const auto target = gateway.target;
        if (fleet.replicas[target].side != gateway.side) {
            gateway.target = (gateway.target + 1) % fleet.replicas.size();
            continue;
        }
        deliver(fleet, [&fleet, target, gatewayIndex, incarnation = gateway.incarnation, request] {
            receiveRequest(fleet, target, gatewayIndex, incarnation, request);
        });
    }
}

inline void receiveRecall(rate_fleet& fleet, std::size_t index, const wire::rate_lease_recall& recall)
{
    auto& gateway = fleet.gateways[index];
    sendRequests(fleet, index, onRateRecall(gateway.holder, recall, localTime(fleet, gateway.clock)));
}

inline std::size_t gatewayNamed(const rate_fleet& fleet, const std::string& name)
{
    std::size_t index = 0;
    while (fleet.gateways.at(index).name != name) {
        ++index;
    }
    return index;
}

inline void plantFaults(rate_fleet& fleet, rate_authority& authority)
{
    for (auto& [name, account] : authority.accounts) {
        if (fleet.settings.forgetInherited) {
            account.inherited = 0;
        }
        if (fleet.settings.forgetOutstanding) {
            for (auto& [gateway, session] : account.sessions) {
                session.outstanding = 0;
            }
        }
    }
}

inline void carryOut(rate_fleet& fleet, std::size_t replica, const authority_output& output)
{
    for (const auto& reservation : output.reservations) {
        propose(fleet, replica, reservation);
    }
    for (const auto& [name, grant] : output.grants) {
        const auto index = gatewayNamed(fleet, name);
        if (fleet.gateways[index].side == fleet.replicas[replica].side) {
            deliver(fleet, [&fleet, index, incarnation = fleet.gateways[index].incarnation, grant = grant] {
                receiveGrant(fleet, index, incarnation, grant);
            });
        }
    }
    for (const auto& [name, recall] : output.recalls) {
        const auto index = gatewayNamed(fleet, name);
        if (fleet.gateways[index].side == fleet.replicas[replica].side && !fleet.settings.dropRecalls) {
            deliver(fleet, [&fleet, index, recall = recall] { receiveRecall(fleet, index, recall); });
        }
    }
    plantFaults(fleet, fleet.replicas[replica].authority);
}

/// One call arrives at a gateway.
inline void offerCall(rate_fleet& fleet, std::size_t index)
{
    auto& gateway = fleet.gateways[index];
    ++fleet.counts.offered;
    const auto outcome = trySpend(gateway.holder, fleetAccount, localTime(fleet, gateway.clock));
    switch (outcome.decision) {
    case spend_decision::Admitted:
        noteAdmitted(fleet);
        break;
    case spend_decision::Waiting:
        gateway.held.push_back(fleet.now);
        break;
    case spend_decision::Refused:
    case spend_decision::Overloaded:
        noteRefused(fleet);
        break;
    }
    sendRequests(fleet, index, collectRequests(gateway.holder, localTime(fleet, gateway.clock)));
}

inline void tickAll(rate_fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.gateways.size(); ++i) {
        auto& gateway = fleet.gateways[i];
        sendRequests(fleet, i, collectRequests(gateway.holder, localTime(fleet, gateway.clock)));
    }
    for (std::size_t i = 0; i < fleet.replicas.size(); ++i) {
        authority_output output;
        tickAuthority(fleet.replicas[i].authority, localTime(fleet, fleet.replicas[i].clock), output);
        carryOut(fleet, i, output);
    }
}

/// Runs everything that is due until then, with a tick every 5 ms.
inline void runUntil(rate_fleet& fleet, time_point until)
{
    constexpr std::chrono::milliseconds tickInterval { 5 };
    while (true) {
        const bool eventFirst = !fleet.events.empty() && fleet.events.begin()->first <= fleet.nextTick;
        const auto next = eventFirst ? fleet.events.begin()->first : fleet.nextTick;
        if (next > until) {
            break;
        }
        fleet.now = next;
        if (!eventFirst) {
            tickAll(fleet);
            fleet.nextTick += tickInterval;
            continue;
        }
        const auto what = std::move(fleet.events.begin()->second);
        fleet.events.erase(fleet.events.begin());
        what();
    }
    fleet.now = until;
}

inline node_clock drawClock(rate_fleet& fleet)
{
    std::uniform_real_distribution<double> rate(
        1 - fleet.settings.clockDrift / 2, 1 + fleet.settings.clockDrift / 2);
    std::uniform_int_distribution<std::int64_t> offset(0, 1'000'000);
    const double drawn = rate(fleet.random);
    return { drawn, std::chrono::milliseconds(offset(fleet.random)) };
}

/// Makes another replica the leader. The old one goes on granting out of its reservations until it hears of it.
inline void failOver(rate_fleet& fleet, std::size_t to, duration untilOldHears)
{
    const auto old = fleet.leader;
    const auto oldTerm = fleet.term;
    fleet.leader = to;
    ++fleet.term;
    at(fleet, fleet.now + untilOldHears, [&fleet, old, oldTerm] {
        auto& replica = fleet.replicas[old];
        if (replica.authority.leading && replica.authority.term == oldTerm) {
            stopLeading(replica.authority, localTime(fleet, replica.clock));
        }
    });
    applyCommitted(fleet, to);
    auto& replica = fleet.replicas[to];
    stopLeading(replica.authority, localTime(fleet, replica.clock));
    startLeading(replica.authority, fleet.term, localTime(fleet, replica.clock));
    plantFaults(fleet, replica.authority);
}

/// The gateway dies with its tokens and its waiting calls, and starts anew.
inline void restartGateway(rate_fleet& fleet, std::size_t index)
{
    auto& gateway = fleet.gateways[index];
    ++gateway.incarnation;
    gateway.held.clear();
    gateway.holder = makeLeaseHolder(gateway.incarnation, gateway.holder.settings);
}

/// A replica loses all that is not in the log, and reads the log again.
inline void restartReplica(rate_fleet& fleet, std::size_t index)
{
    auto& replica = fleet.replicas[index];
    replica.authority = {};
    replica.applied = 0;
    if (!fleet.log.empty()) {
        applyCommitted(fleet, index);
    }
    setAccountLimit(replica.authority, fleetAccount, fleet.settings.limit, localTime(fleet, replica.clock));
}

inline void startFleet(rate_fleet& fleet, const fleet_settings& settings)
{
    fleet.settings = settings;
    fleet.random.seed(settings.seed);
    fleet.truth = makeBucket(settings.limit, fleet.now);
    for (std::size_t i = 0; i < settings.gateways; ++i) {
        fleet_gateway gateway;
        gateway.name = "gateway-" + std::to_string(i);
        gateway.holder = makeLeaseHolder(1);
        gateway.clock = drawClock(fleet);
        fleet.gateways.push_back(std::move(gateway));
    }
    for (std::size_t i = 0; i < settings.replicas; ++i) {
        fleet_replica replica;
        replica.clock = drawClock(fleet);
        fleet.replicas.push_back(std::move(replica));
        setAccountLimit(fleet.replicas[i].authority, fleetAccount, settings.limit,
            localTime(fleet, fleet.replicas[i].clock));
    }
    startLeading(fleet.replicas[0].authority, fleet.term, localTime(fleet, fleet.replicas[0].clock));
}

} // namespace cuminledge::core::limits::testing
