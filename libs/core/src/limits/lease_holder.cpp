#include <core/limits/lease_holder.hpp>

#include <algorithm>
#include <cmath>

namespace cuminledge::core::limits {

namespace {

    using seconds = std::chrono::duration<double>;

    constexpr std::chrono::milliseconds sweepInterval { 50 };

    void scheduleCheck(lease_holder& holder, const std::string& account, held_lease& lease)
    {
        if (!lease.isCheckScheduled) {
            lease.isCheckScheduled = true;
            holder.accountsToCheck.push_back(account);
        }
    }

    /// Updates the demand, an exponentially weighted rate over about one second.
    void recordDemand(held_lease& lease, time_point now)
    {
        const double passed = std::max(0.0, seconds(now - lease.demandUpdated).count());
        // Approximates exp(-x) for small x without the cost of the call; for large x it only has to approach 0.
        const double kept = 1 / (1 + passed + passed * passed / 2);
        lease.demandPerSecond = lease.demandPerSecond * kept + 1;
        lease.demandUpdated = now;
    }

    double demandAt(const held_lease& lease, time_point now)
    {
        return lease.demandPerSecond * std::exp(-std::max(0.0, seconds(now - lease.demandUpdated).count()));
    }

    /// Keeps exact times while spending is slow and bounds their number while it is fast. Merged entries get the later
    /// time, which costs a bucket that refills faster than they are apart some of its rate.
    void recordSpend(held_lease& lease, time_point now)
    {
        constexpr std::chrono::milliseconds mergeInterval { 10 };
        constexpr std::size_t maxExactSpends = 8;
        constexpr std::size_t maxSpends = 32;
        auto& spends = lease.spends;
        const bool canMergeIntoLast
            = static_cast<std::int64_t>(spends.size()) > lease.unacknowledged && spends.size() >= maxExactSpends;
        if (canMergeIntoLast && now - spends.back().at < mergeInterval) {
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

    void resetSession(held_lease& lease)
    {
        lease.session = 0;
        lease.lease = 0;
        lease.request = 0;
        lease.requestPending = false;
        lease.waitingInRequest = 0;
        lease.tokens = 0;
        lease.spent = 0;
        lease.returned = 0;
        lease.returnedConfirmed = 0;
        lease.spends.clear();
        lease.unacknowledged = 0;
    }

    /// Returns expired tokens, which will not be spent. The session ends with them, unless a request is in flight whose
    /// answer may renew it.
    void expireTokens(const lease_holder& holder, held_lease& lease, time_point now)
    {
        if (lease.previousEpochTokens > 0 && lease.previousEpochExpiry <= now) {
            lease.previousEpochTokens = 0;
        }
        if (lease.lease == 0 || lease.expiry > now) {
            return;
        }
        lease.returned += lease.tokens;
        lease.tokens = 0;
        if (!lease.requestPending || lease.sentAt + holder.settings.requestTimeout <= now) {
            resetSession(lease);
        }
    }

    bool spendOne(held_lease& lease, time_point now)
    {
        if (lease.previousEpochTokens > 0) {
            --lease.previousEpochTokens;
            lease.lastSpend = now;
            return true;
        }
        if (lease.tokens <= 0) {
            return false;
        }
        --lease.tokens;
        ++lease.spent;
        lease.lastSpend = now;
        recordSpend(lease, now);
        return true;
    }

    std::int64_t usableTokens(const held_lease& lease)
    {
        return lease.tokens + lease.previousEpochTokens;
    }

    std::int64_t wantedTokens(const lease_holder& holder, const held_lease& lease, time_point now)
    {
        const double ahead = demandAt(lease, now) * seconds(holder.settings.prefetchPeriod).count();
        return lease.waiting + std::max<std::int64_t>(0, static_cast<std::int64_t>(std::ceil(ahead)) - usableTokens(lease));
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
            const auto age = std::chrono::floor<std::chrono::microseconds>(now - spend.at);
            const auto wholeMilliseconds = std::chrono::floor<std::chrono::milliseconds>(age);
            request.spends.push_back({ wholeMilliseconds, spend.tokens, (age - wholeMilliseconds).count() });
        }
        lease.requestPending = true;
        lease.sentAt = now;
        lease.waitingInRequest = request.waiting;
        lease.unacknowledged = static_cast<std::int64_t>(lease.spends.size());
        ++holder.counters.requests;
        return request;
    }

    void returnTokens(held_lease& lease)
    {
        lease.returned += lease.tokens;
        lease.tokens = 0;
    }

    bool isIdle(const lease_holder& holder, const held_lease& lease, time_point now)
    {
        return lease.waiting == 0 && lease.lastSpend + holder.settings.idleReturnTimeout <= now;
    }

    bool canSendRequest(const lease_holder& holder, held_lease& lease, time_point now)
    {
        if (lease.nextRequestAt > now) {
            return false;
        }
        if (lease.requestPending && lease.sentAt + holder.settings.requestTimeout > now) {
            return false;
        }
        lease.requestPending = false;
        return true;
    }

    bool isLowOnTokens(const lease_holder& holder, const held_lease& lease, time_point now)
    {
        const double threshold = demandAt(lease, now) * seconds(holder.settings.prefetchPeriod).count() / 2;
        return static_cast<double>(usableTokens(lease)) < threshold && threshold >= 1;
    }

    bool isNearExpiry(const lease_holder& holder, const held_lease& lease, time_point now)
    {
        return lease.lease != 0 && lease.expiry - now < holder.settings.leaseDuration / 2;
    }

    void appendRequestIfNeeded(lease_holder& holder, const std::string& account, held_lease& lease, time_point now,
        std::vector<wire::rate_lease_request>& requests)
    {
        expireTokens(holder, lease, now);
        if (!canSendRequest(holder, lease, now)) {
            return;
        }
        const bool hasTokensOrReport
            = lease.tokens > 0 || !lease.spends.empty() || lease.returned != lease.returnedConfirmed;
        if (isIdle(holder, lease, now)) {
            if (hasTokensOrReport) {
                returnTokens(lease);
                requests.push_back(buildRequest(holder, account, lease, 0, now));
            }
            return;
        }
        const bool refusedNow = lease.refusedUntil > now;
        const bool wantsMore = !refusedNow && (isLowOnTokens(holder, lease, now) || isNearExpiry(holder, lease, now));
        if (lease.waiting > 0 || wantsMore) {
            // Requests at least one token, because an answer that grants nothing need not extend the lease.
            const auto wanted = std::max<std::int64_t>(1, wantedTokens(holder, lease, now));
            requests.push_back(buildRequest(holder, account, lease, wanted, now));
        }
    }

    /// Keeps tokens of the earlier authority until their own expiry; its successor already counts them as spent.
    void switchEpoch(held_lease& lease, std::uint64_t epoch)
    {
        if (lease.epoch == epoch) {
            return;
        }
        if (lease.epoch != 0) {
            lease.previousEpochExpiry
                = lease.previousEpochTokens > 0 ? std::min(lease.previousEpochExpiry, lease.expiry) : lease.expiry;
            lease.previousEpochTokens += lease.tokens;
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
    // Reserves a range of session numbers for each incarnation.
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
    recordDemand(lease, now);
    if (lease.waiting == 0 && spendOne(lease, now)) {
        ++holder.counters.admitted;
        if (!lease.requestPending && isLowOnTokens(holder, lease, now)) {
            scheduleCheck(holder, account, lease);
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
    scheduleCheck(holder, account, lease);
    return { spend_decision::Waiting, {} };
}

bool isRateExhausted(const lease_holder& holder, const std::string& account, time_point now)
{
    const auto found = holder.leases.find(account);
    return found != holder.leases.end() && found->second.exhaustedUntil > now;
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
    lease.waitingInRequest = std::min(lease.waitingInRequest, lease.waiting);
}

std::vector<wire::rate_lease_request> collectRequests(lease_holder& holder, time_point now)
{
    std::vector<wire::rate_lease_request> requests;
    const auto accountsToCheck = std::move(holder.accountsToCheck);
    holder.accountsToCheck.clear();
    for (const auto& account : accountsToCheck) {
        auto& lease = holder.leases[account];
        lease.isCheckScheduled = false;
        appendRequestIfNeeded(holder, account, lease, now, requests);
    }
    if (now - holder.sweptAt < sweepInterval) {
        return requests;
    }
    holder.sweptAt = now;
    for (auto position = holder.leases.begin(); position != holder.leases.end();) {
        auto& lease = position->second;
        appendRequestIfNeeded(holder, position->first, lease, now, requests);
        const bool isUnused = lease.session == 0 && lease.previousEpochTokens == 0 && lease.waiting == 0 && !lease.isCheckScheduled
            && lease.refusedUntil <= now && lease.exhaustedUntil <= now && isIdle(holder, lease, now);
        position = isUnused ? holder.leases.erase(position) : std::next(position);
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
        lease.nextRequestAt = now + leaderSearchPause;
        return {};
    }
    switchEpoch(lease, grant.epoch);
    acknowledgeSpends(lease);
    lease.lease = grant.lease;
    lease.returnedConfirmed = lease.returned;
    if (grant.duration.count() > 0) {
        lease.expiry = lease.sentAt + grant.duration;
        lease.tokens += grant.tokens;
    }
    expireTokens(holder, lease, now);
    const auto asked = lease.waitingInRequest;
    auto outcome = admitWaiting(holder, lease, now);
    if (grant.retryAfter.count() > 0) {
        // The limit may be raised in the meantime, so the refusal is applied locally for a bounded time only.
        lease.refusedUntil = now + std::min(grant.retryAfter, holder.settings.maxLocalRefusalPeriod);
        lease.exhaustedUntil = now + holder.settings.exhaustionPeriod;
        outcome.retryAfter = grant.retryAfter;
        outcome.refused = std::clamp<std::int64_t>(asked - outcome.admitted, 0, lease.waiting);
        lease.waiting -= outcome.refused;
        lease.waitingSince.erase(lease.waitingSince.begin(), lease.waitingSince.begin() + outcome.refused);
        holder.counters.refused += static_cast<std::uint64_t>(outcome.refused);
    }
    lease.waitingInRequest = 0;
    if (lease.waiting > 0) {
        scheduleCheck(holder, grant.account, lease);
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
    returnTokens(lease);
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
        returnTokens(lease);
        requests.push_back(buildRequest(holder, account, lease, 0, now));
    }
    return requests;
}

} // namespace cuminledge::core::limits
