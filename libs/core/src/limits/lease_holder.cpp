#include <core/limits/lease_holder.hpp>

#include <algorithm>
#include <cmath>

namespace cuminledge::core::limits {

namespace {

    using seconds = std::chrono::duration<double>;

    constexpr std::chrono::milliseconds sweepInterval { 50 };

    void callAttention(lease_holder& holder, const std::string& account, held_lease& lease)
    {
        if (!lease.needsAttention) {
            lease.needsAttention = true;
            holder.attention.push_back(account);
        }
    }

    /// Demand as an exponentially weighted rate over about a second.
    void noteDemand(held_lease& lease, time_point now)
    {
        const double passed = std::max(0.0, seconds(now - lease.demandUpdated).count());
        // exp(-x) for small x without the call's cost; for large x it only has to vanish.
        const double kept = 1 / (1 + passed + passed * passed / 2);
        lease.demandPerSecond = lease.demandPerSecond * kept + 1;
        lease.demandUpdated = now;
    }

    double demandAt(const held_lease& lease, time_point now)
    {
        return lease.demandPerSecond * std::exp(-std::max(0.0, seconds(now - lease.demandUpdated).count()));
    }

    /// Keeps times exact where spending is slow, and bounded where it is fast: the later time stands for both.
    void noteSpend(held_lease& lease, time_point now)
    {
        constexpr std::chrono::milliseconds merged { 10 };
        constexpr std::size_t maxSpends = 32;
        auto& spends = lease.spends;
        const bool lastIsOpen = static_cast<std::int64_t>(spends.size()) > lease.unacknowledged;
        if (lastIsOpen && now - spends.back().at < merged) {
            spends.back().tokens += 1;
            spends.back().at = now;
            return;
        }
        if (spends.size() == maxSpends) {
            spends[1].tokens += spends[0].tokens;
            spends.erase(spends.begin());
            lease.unacknowledged = std::max<std::int64_t>(0, lease.unacknowledged - 1);
        }
        spends.push_back({ now, 1 });
    }

    void forgetSession(held_lease& lease)
    {
        lease.session = 0;
        lease.lease = 0;
        lease.request = 0;
        lease.requestPending = false;
        lease.waitingAsked = 0;
        lease.tokens = 0;
        lease.spent = 0;
        lease.returned = 0;
        lease.returnedConfirmed = 0;
        lease.spends.clear();
        lease.unacknowledged = 0;
    }

    /// Tokens that have expired are given back, as they will not be spent. The session ends with them, but for one with
    /// a request on its way, whose answer may renew it.
    void expireTokens(const lease_holder& holder, held_lease& lease, time_point now)
    {
        if (lease.carried > 0 && lease.carriedExpiry <= now) {
            lease.carried = 0;
        }
        if (lease.lease == 0 || lease.expiry > now) {
            return;
        }
        lease.returned += lease.tokens;
        lease.tokens = 0;
        if (!lease.requestPending || lease.sentAt + holder.settings.requestTimeout <= now) {
            forgetSession(lease);
        }
    }

    bool spendOne(held_lease& lease, time_point now)
    {
        if (lease.carried > 0) {
            --lease.carried;
            lease.lastSpend = now;
            return true;
        }
        if (lease.tokens <= 0) {
            return false;
        }
        --lease.tokens;
        ++lease.spent;
        lease.lastSpend = now;
        noteSpend(lease, now);
        return true;
    }

    std::int64_t usable(const held_lease& lease)
    {
        return lease.tokens + lease.carried;
    }

    std::int64_t wantedTokens(const lease_holder& holder, const held_lease& lease, time_point now)
    {
        const double ahead = demandAt(lease, now) * seconds(holder.settings.leaseAhead).count();
        return lease.waiting + std::max<std::int64_t>(0, static_cast<std::int64_t>(std::ceil(ahead)) - usable(lease));
    }

    wire::rate_lease_request buildRequest(
        lease_holder& holder, const std::string& account, held_lease& lease, std::int64_t wanted, time_point now)
    {
        if (lease.session == 0) {
            lease.session = holder.nextSession++;
            lease.epoch = 0;
        }
        wire::rate_lease_request request;
        request.request = ++lease.request;
        request.account = account;
        request.lease = lease.lease;
        request.spent = lease.spent;
        request.unspent = lease.returned;
        request.wanted = wanted;
        request.demandPerSecond = static_cast<std::int64_t>(demandAt(lease, now));
        request.session = lease.session;
        request.epoch = lease.epoch;
        request.waiting = wanted > 0 ? lease.waiting : 0;
        if (request.waiting > 0) {
            request.waitedFor = std::chrono::floor<std::chrono::milliseconds>(now - lease.waitingSince.front());
        }
        for (const auto& spend : lease.spends) {
            const auto age = std::chrono::floor<std::chrono::milliseconds>(now - spend.at);
            request.spends.push_back({ age, spend.tokens });
        }
        lease.requestPending = true;
        lease.sentAt = now;
        lease.waitingAsked = request.waiting;
        lease.unacknowledged = static_cast<std::int64_t>(lease.spends.size());
        ++holder.counters.requests;
        return request;
    }

    void giveBack(held_lease& lease)
    {
        lease.returned += lease.tokens;
        lease.tokens = 0;
    }

    bool isIdle(const lease_holder& holder, const held_lease& lease, time_point now)
    {
        return lease.waiting == 0 && lease.lastSpend + holder.settings.idleReturn <= now;
    }

    bool mayAsk(const lease_holder& holder, held_lease& lease, time_point now)
    {
        if (lease.askAgainAt > now) {
            return false;
        }
        if (lease.requestPending && lease.sentAt + holder.settings.requestTimeout > now) {
            return false;
        }
        lease.requestPending = false;
        return true;
    }

    bool runsLow(const lease_holder& holder, const held_lease& lease, time_point now)
    {
        const double half = demandAt(lease, now) * seconds(holder.settings.leaseAhead).count() / 2;
        return static_cast<double>(usable(lease)) < half && half >= 1;
    }

    bool runsOut(const lease_holder& holder, const held_lease& lease, time_point now)
    {
        return lease.lease != 0 && lease.expiry - now < holder.settings.leaseDuration / 2;
    }

    void considerRequest(lease_holder& holder, const std::string& account, held_lease& lease, time_point now,
        std::vector<wire::rate_lease_request>& requests)
    {
        expireTokens(holder, lease, now);
        if (!mayAsk(holder, lease, now)) {
            return;
        }
        const bool holdsOrOwesReport
            = lease.tokens > 0 || !lease.spends.empty() || lease.returned != lease.returnedConfirmed;
        if (isIdle(holder, lease, now)) {
            if (holdsOrOwesReport) {
                giveBack(lease);
                requests.push_back(buildRequest(holder, account, lease, 0, now));
            }
            return;
        }
        const bool refusedNow = lease.refusedUntil > now;
        const bool wantsMore = !refusedNow && (runsLow(holder, lease, now) || runsOut(holder, lease, now));
        if (lease.waiting > 0 || wantsMore) {
            // One token at least, as an answer that grants nothing need not extend the lease.
            const auto wanted = std::max<std::int64_t>(1, wantedTokens(holder, lease, now));
            requests.push_back(buildRequest(holder, account, lease, wanted, now));
        }
    }

    /// Tokens of the earlier authority stay good until their own expiry; its successor counts them as spent already.
    void enterEpoch(held_lease& lease, std::uint64_t epoch)
    {
        if (lease.epoch == epoch) {
            return;
        }
        if (lease.epoch != 0) {
            lease.carriedExpiry
                = lease.carried > 0 ? std::min(lease.carriedExpiry, lease.expiry) : lease.expiry;
            lease.carried += lease.tokens;
            lease.tokens = 0;
            lease.spent = 0;
            lease.returned = 0;
            lease.returnedConfirmed = 0;
            lease.spends.clear();
        }
        lease.epoch = epoch;
    }

    void acknowledgeSpends(held_lease& lease)
    {
        const auto count = std::min<std::size_t>(static_cast<std::size_t>(lease.unacknowledged), lease.spends.size());
        lease.spends.erase(lease.spends.begin(), lease.spends.begin() + static_cast<std::ptrdiff_t>(count));
        lease.unacknowledged = 0;
    }

    grant_outcome admitWaiting(lease_holder& holder, held_lease& lease, time_point now)
    {
        grant_outcome outcome;
        while (lease.waiting > 0 && spendOne(lease, now)) {
            --lease.waiting;
            lease.waitingSince.pop_front();
            ++outcome.admitted;
        }
        holder.counters.admitted += static_cast<std::uint64_t>(outcome.admitted);
        return outcome;
    }

} // namespace

lease_holder makeLeaseHolder(std::uint64_t incarnation, const lease_settings& settings)
{
    // Leaves room for the sessions of one run below the next incarnation's.
    constexpr unsigned sessionBits = 20;
    lease_holder holder;
    holder.settings = settings;
    holder.nextSession = (incarnation << sessionBits) + 1;
    return holder;
}

spend_outcome trySpend(lease_holder& holder, const std::string& account, time_point now)
{
    auto& lease = holder.leases[account];
    expireTokens(holder, lease, now);
    noteDemand(lease, now);
    if (lease.waiting == 0 && spendOne(lease, now)) {
        ++holder.counters.admitted;
        if (!lease.requestPending && runsLow(holder, lease, now)) {
            callAttention(holder, account, lease);
        }
        return { spend_decision::Admitted, {} };
    }
    if (lease.refusedUntil > now) {
        ++holder.counters.refused;
        return { spend_decision::Refused, std::chrono::ceil<std::chrono::milliseconds>(lease.refusedUntil - now) };
    }
    if (lease.waiting >= static_cast<std::int64_t>(holder.settings.maxWaitingPerAccount)) {
        ++holder.counters.overflowed;
        return { spend_decision::Overloaded, holder.settings.requestTimeout };
    }
    ++lease.waiting;
    lease.waitingSince.push_back(now);
    ++holder.counters.waited;
    callAttention(holder, account, lease);
    return { spend_decision::Waiting, {} };
}

bool isRateExhausted(const lease_holder& holder, const std::string& account, time_point now)
{
    const auto found = holder.leases.find(account);
    return found != holder.leases.end() && found->second.shortUntil > now;
}

void cancelWaiting(lease_holder& holder, const std::string& account)
{
    const auto found = holder.leases.find(account);
    if (found == holder.leases.end() || found->second.waiting == 0) {
        return;
    }
    auto& lease = found->second;
    --lease.waiting;
    lease.waitingSince.pop_back();
    lease.waitingAsked = std::min(lease.waitingAsked, lease.waiting);
}

std::vector<wire::rate_lease_request> collectRequests(lease_holder& holder, time_point now)
{
    std::vector<wire::rate_lease_request> requests;
    const auto attention = std::move(holder.attention);
    holder.attention.clear();
    for (const auto& account : attention) {
        auto& lease = holder.leases[account];
        lease.needsAttention = false;
        considerRequest(holder, account, lease, now, requests);
    }
    if (now - holder.sweptAt < sweepInterval) {
        return requests;
    }
    holder.sweptAt = now;
    for (auto position = holder.leases.begin(); position != holder.leases.end();) {
        auto& lease = position->second;
        considerRequest(holder, position->first, lease, now, requests);
        const bool isOver = lease.session == 0 && lease.carried == 0 && lease.waiting == 0 && !lease.needsAttention
            && lease.refusedUntil <= now && lease.shortUntil <= now && isIdle(holder, lease, now);
        position = isOver ? holder.leases.erase(position) : std::next(position);
    }
    return requests;
}

grant_outcome onRateGrant(lease_holder& holder, const wire::rate_lease_grant& grant, time_point now)
{
    constexpr std::chrono::milliseconds leaderSearchPause { 20 };
    const auto found = holder.leases.find(grant.account);
    if (found == holder.leases.end() || !found->second.requestPending || found->second.request != grant.request
        || (!grant.notLeader && found->second.session != grant.session)) {
        ++holder.counters.ignoredGrants;
        return {};
    }
    auto& lease = found->second;
    lease.requestPending = false;
    if (grant.notLeader) {
        lease.askAgainAt = now + leaderSearchPause;
        return {};
    }
    enterEpoch(lease, grant.epoch);
    acknowledgeSpends(lease);
    lease.lease = grant.lease;
    lease.returnedConfirmed = lease.returned;
    if (grant.duration.count() > 0) {
        lease.expiry = lease.sentAt + grant.duration;
        lease.tokens += grant.tokens;
    }
    expireTokens(holder, lease, now);
    const auto asked = lease.waitingAsked;
    auto outcome = admitWaiting(holder, lease, now);
    if (grant.retryAfter.count() > 0) {
        // The limit may be raised meanwhile, so a refusal is not believed for longer.
        lease.refusedUntil = now + std::min(grant.retryAfter, holder.settings.maxRefusalMemory);
        lease.shortUntil = now + holder.settings.exhaustionPeriod;
        outcome.retryAfter = grant.retryAfter;
        outcome.refused = std::clamp<std::int64_t>(asked - outcome.admitted, 0, lease.waiting);
        lease.waiting -= outcome.refused;
        lease.waitingSince.erase(lease.waitingSince.begin(), lease.waitingSince.begin() + outcome.refused);
        holder.counters.refused += static_cast<std::uint64_t>(outcome.refused);
    }
    lease.waitingAsked = 0;
    if (lease.waiting > 0) {
        callAttention(holder, grant.account, lease);
    }
    return outcome;
}

std::vector<wire::rate_lease_request> onRateRecall(
    lease_holder& holder, const wire::rate_lease_recall& recall, time_point now)
{
    const auto found = holder.leases.find(recall.account);
    if (found == holder.leases.end() || found->second.session != recall.session || recall.session == 0) {
        return {};
    }
    auto& lease = found->second;
    expireTokens(holder, lease, now);
    if (lease.session == 0) {
        return {};
    }
    giveBack(lease);
    auto request = buildRequest(holder, recall.account, lease, lease.waiting, now);
    request.answersRecall = true;
    return { std::move(request) };
}

std::vector<wire::rate_lease_request> returnAll(lease_holder& holder, time_point now)
{
    std::vector<wire::rate_lease_request> requests;
    for (auto& [account, lease] : holder.leases) {
        expireTokens(holder, lease, now);
        if (lease.session == 0) {
            continue;
        }
        giveBack(lease);
        requests.push_back(buildRequest(holder, account, lease, 0, now));
    }
    return requests;
}

} // namespace cuminledge::core::limits
