#pragma once

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <core/limits/lease_holder.hpp>
#include <core/limits/rate_authority.hpp>

/// Simulates gateways and the replicas of one group, which run the real rate limiting code on a virtual clock. Messages
/// may be late, lost or duplicated; gateways and replicas may be partitioned or restarted. Admitted calls are checked
/// against a bucket with no delay.
namespace cuminledge::core::limits::testing {

struct fleet_settings {
    rate_limit limit { 50, 20 };
    std::size_t gateways = 3;
    std::size_t replicas = 3;
    std::chrono::microseconds latency { 1'500 };
    std::chrono::microseconds commitDelay { 4'000 };
    double lossShare = 0;
    double duplicateShare = 0;
    std::chrono::milliseconds extraDelay { 0 }; ///< longest delay of a message beyond the latency
    double clockDrift = 0; ///< each node's clock runs at a rate drawn from 1 ± half of it
    std::uint64_t seed = 1;
    // Faults injected into the code under test, to show that the checks detect them.
    bool discardInherited = false;
    bool discardOutstanding = false;
    bool acceptDuplicateGrants = false;
    bool dropSpendTimes = false;
    bool dropRecalls = false;
};

/// The monotonic clock of a gateway or replica, with its own offset and rate.
struct node_clock {
    double rate = 1;
    duration offset { 0 };
};

struct fleet_gateway {
    std::string name;
    lease_holder holder;
    node_clock clock;
    std::uint64_t incarnation = 1;
    std::size_t target = 0; ///< replica that it assumes to be the leader
    std::uint64_t partition = 0; ///< network partition that it belongs to
    std::deque<time_point> held; ///< real arrival times of the waiting calls
};

struct fleet_replica {
    rate_authority authority;
    node_clock clock;
    std::uint64_t partition = 0;
    std::size_t applied = 0;
};

struct fleet_counts {
    std::int64_t offered = 0;
    std::int64_t admitted = 0;
    std::int64_t refused = 0;
    std::int64_t wrongfulRefusals = 0; ///< refused although the bucket with no delay had a spare token
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
    token_bucket referenceBucket;
    fleet_counts counts;
};

inline const std::string fleetAccount = "account";

inline time_point localTime(const rate_fleet& fleet, const node_clock& clock)
{
    const auto passed = std::chrono::duration<double>(fleet.now - fleet.start) * clock.rate;
    return time_point(std::chrono::hours(1)) + clock.offset + std::chrono::duration_cast<duration>(passed);
}

inline void at(rate_fleet& fleet, time_point when, std::function<void()> action)
{
    fleet.events.emplace(when, std::move(action));
}

inline bool chance(rate_fleet& fleet, double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(fleet.random) < share;
}

/// Delivers a message, possibly late, twice or never.
inline void deliver(rate_fleet& fleet, const std::function<void()>& action)
{
    const int copies = chance(fleet, fleet.settings.duplicateShare) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (chance(fleet, fleet.settings.lossShare)) {
            continue;
        }
        std::uniform_int_distribution<std::int64_t> extra(
            0, std::chrono::microseconds(fleet.settings.extraDelay).count());
        at(fleet, fleet.now + fleet.settings.latency + std::chrono::microseconds(extra(fleet.random)), action);
    }
}

inline void recordAdmitted(rate_fleet& fleet)
{
    constexpr double rounding = 1e-6;
    ++fleet.counts.admitted;
    refill(fleet.referenceBucket, fleet.now);
    fleet.referenceBucket.tokens -= 1;
    if (fleet.referenceBucket.tokens < -rounding) {
        ++fleet.counts.overAdmitted;
    }
}

/// Checks a refusal against the level at the time of the authority's decision, a few milliseconds before it arrives.
inline void recordRefused(rate_fleet& fleet)
{
    constexpr double decisionAgeSeconds = 0.005;
    ++fleet.counts.refused;
    refill(fleet.referenceBucket, fleet.now);
    double held = 0;
    for (const auto& gateway : fleet.gateways) {
        held += static_cast<double>(gateway.held.size());
    }
    const double spare = fleet.referenceBucket.tokens - held - decisionAgeSeconds * fleet.settings.limit.ratePerSecond;
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
    recordAdmitted(fleet);
}

void dispatchOutput(rate_fleet& fleet, std::size_t replica, const authority_output& output);

inline void applyCommitted(rate_fleet& fleet, std::size_t index)
{
    auto& replica = fleet.replicas[index];
    authority_output output;
    while (replica.applied < fleet.log.size()) {
        const auto reservation = fleet.log[replica.applied++];
        onReservationApplied(replica.authority, reservation, localTime(fleet, replica.clock), output);
    }
    dispatchOutput(fleet, index, output);
}

/// A proposal commits only while its proposer has the newest term and is the leader.
inline void propose(rate_fleet& fleet, std::size_t proposer, const wire::reserve_rate& reservation)
{
    at(fleet, fleet.now + fleet.settings.commitDelay, [&fleet, proposer, reservation] {
        if (reservation.term != fleet.term || proposer != fleet.leader) {
            return;
        }
        fleet.log.push_back(reservation);
        applyCommitted(fleet, proposer);
        for (std::size_t other = 0; other < fleet.replicas.size(); ++other) {
            if (fleet.replicas[other].partition == fleet.replicas[proposer].partition) {
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
    if (fleet.settings.acceptDuplicateGrants) {
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
        recordRefused(fleet);
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
    dispatchOutput(fleet, replicaIndex, output);
}

inline void sendRequests(
    rate_fleet& fleet, std::size_t gatewayIndex, std::vector<wire::rate_lease_request> requests)
{
    auto& gateway = fleet.gateways[gatewayIndex];
    for (auto& request : requests) {
        if (fleet.settings.dropSpendTimes) {
            request.spends.clear();
        }
        if (request.request > 1 && gateway.holder.leases[request.account].nextRequestAt == time_point {}
            && chance(fleet, fleet.settings.lossShare)) {
            gateway.target = (gateway.target + 1) % fleet.replicas.size();
        }
        const auto target = gateway.target;
        if (fleet.replicas[target].partition != gateway.partition) {
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

inline std::size_t gatewayIndexOf(const rate_fleet& fleet, const std::string& name)
{
    std::size_t index = 0;
    while (fleet.gateways.at(index).name != name) {
        ++index;
    }
    return index;
}

inline void injectFaults(rate_fleet& fleet, rate_authority& authority)
{
    for (auto& [name, account] : authority.accounts) {
        if (fleet.settings.discardInherited) {
            account.inherited = 0;
        }
        if (fleet.settings.discardOutstanding) {
            for (auto& [gateway, session] : account.sessions) {
                session.outstanding = 0;
            }
        }
    }
}

inline void dispatchOutput(rate_fleet& fleet, std::size_t replica, const authority_output& output)
{
    for (const auto& reservation : output.reservations) {
        propose(fleet, replica, reservation);
    }
    for (const auto& [name, grant] : output.grants) {
        const auto index = gatewayIndexOf(fleet, name);
        if (fleet.gateways[index].partition == fleet.replicas[replica].partition) {
            deliver(fleet, [&fleet, index, incarnation = fleet.gateways[index].incarnation, grant = grant] {
                receiveGrant(fleet, index, incarnation, grant);
            });
        }
    }
    for (const auto& [name, recall] : output.recalls) {
        const auto index = gatewayIndexOf(fleet, name);
        if (fleet.gateways[index].partition == fleet.replicas[replica].partition && !fleet.settings.dropRecalls) {
            deliver(fleet, [&fleet, index, recall = recall] { receiveRecall(fleet, index, recall); });
        }
    }
    injectFaults(fleet, fleet.replicas[replica].authority);
}

/// One call arrives at a gateway.
inline void offerCall(rate_fleet& fleet, std::size_t index)
{
    auto& gateway = fleet.gateways[index];
    ++fleet.counts.offered;
    const auto outcome = trySpend(gateway.holder, fleetAccount, localTime(fleet, gateway.clock));
    switch (outcome.decision) {
    case spend_decision::Admitted:
        recordAdmitted(fleet);
        break;
    case spend_decision::Waiting:
        gateway.held.push_back(fleet.now);
        break;
    case spend_decision::Refused:
    case spend_decision::Overloaded:
        recordRefused(fleet);
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
        dispatchOutput(fleet, i, output);
    }
}

/// Runs all events until the given time, with a tick every 5 ms.
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
        const auto action = std::move(fleet.events.begin()->second);
        fleet.events.erase(fleet.events.begin());
        action();
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

/// Makes another replica the leader. The old leader keeps granting from its reservations until it learns of this.
inline void failOver(rate_fleet& fleet, std::size_t to, duration noticeDelay)
{
    const auto old = fleet.leader;
    const auto oldTerm = fleet.term;
    fleet.leader = to;
    ++fleet.term;
    at(fleet, fleet.now + noticeDelay, [&fleet, old, oldTerm] {
        auto& replica = fleet.replicas[old];
        if (replica.authority.leading && replica.authority.term == oldTerm) {
            stopLeading(replica.authority, localTime(fleet, replica.clock));
        }
    });
    applyCommitted(fleet, to);
    auto& replica = fleet.replicas[to];
    stopLeading(replica.authority, localTime(fleet, replica.clock));
    startLeading(replica.authority, fleet.term, localTime(fleet, replica.clock));
    injectFaults(fleet, replica.authority);
}

/// Restarts a gateway, which loses its tokens and its waiting calls.
inline void restartGateway(rate_fleet& fleet, std::size_t index)
{
    auto& gateway = fleet.gateways[index];
    ++gateway.incarnation;
    gateway.held.clear();
    gateway.holder = makeLeaseHolder(gateway.incarnation, gateway.holder.settings);
}

/// Restarts a replica, which loses all state outside the log and replays the log.
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
    fleet.referenceBucket = makeBucket(settings.limit, fleet.now);
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
