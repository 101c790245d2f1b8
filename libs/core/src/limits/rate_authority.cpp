#include <core/limits/rate_authority.hpp>

#include <algorithm>
#include <cmath>

namespace cuminledge::core::limits {

namespace {

    std::chrono::nanoseconds withClockDrift(const rate_authority& authority, std::chrono::milliseconds span)
    {
        const double factor = 1 + authority.settings.clockDrift;
        return std::chrono::nanoseconds(static_cast<std::int64_t>(
            static_cast<double>(std::chrono::nanoseconds(span).count()) * factor));
    }

    /// @return how long after a reservation was applied its tokens may still be spent.
    std::chrono::nanoseconds reservationHorizon(const rate_authority& authority)
    {
        return withClockDrift(
            authority, authority.settings.reservationValidity + authority.settings.leaseDuration);
    }

    std::int64_t outstandingTokens(const rate_account& account)
    {
        std::int64_t total = 0;
        for (const auto& [gateway, session] : account.sessions) {
            total += session.outstanding;
        }
        return total;
    }

    /// Counts the tokens of a lease that has ended, or whose outcome is unknown, as spent now. That is not before any of
    /// them was spent, which is safe.
    void chargeOutstanding(rate_account& account, lease_session& session, time_point now)
    {
        subtractSpent(account.ledger, session.outstanding, now);
        session.outstanding = 0;
        session.idle = 0;
    }

    void chargeExpiredInherited(rate_account& account, time_point now)
    {
        if (account.inherited > 0 && account.inheritedUntil <= now) {
            subtractSpent(account.ledger, static_cast<std::int64_t>(std::ceil(account.inherited)), now);
            account.inherited = 0;
        }
    }

    void advanceAccount(rate_authority& authority, rate_account& account, time_point now)
    {
        advance(account.ledger, now);
        chargeExpiredInherited(account, now);
        for (auto position = account.sessions.begin(); position != account.sessions.end();) {
            if (position->second.expiry > now) {
                ++position;
                continue;
            }
            chargeOutstanding(account, position->second, now);
            ++authority.counters.expiredSessions;
            position = account.sessions.erase(position);
        }
    }

    bool isReservationFresh(const rate_authority& authority, const rate_account& account, time_point now)
    {
        return account.hasReservation && account.reservedAt + authority.settings.reservationValidity > now;
    }

    std::int64_t pendingReservationTokens(const rate_account& account)
    {
        std::int64_t total = 0;
        for (const auto& reservation : account.pendingReservations) {
            total += reservation.tokens;
        }
        return total;
    }

    /// Proposes a reservation for the needed tokens and a reserve, unless a proposal is still within its commit timeout.
    void reserve(rate_authority& authority, const std::string& name, rate_account& account, std::int64_t need,
        time_point now, authority_output& output)
    {
        if (!account.pendingReservations.empty()
            && account.pendingReservations.back().proposedAt + authority.settings.commitTimeout > now) {
            return;
        }
        const auto& limit = account.ledger.bucket.limit;
        // Tokens that are reserved and not granted are lost in a failover, so the reserve is at most a quarter of a
        // second's rate.
        constexpr double reservedAheadSeconds = 0.25;
        // An account at its limit would need a commit for each token, so it may reserve some tokens before they accrue.
        constexpr double reservedEarlySeconds = 0.1;
        const double early = std::max(1.0, reservedEarlySeconds * limit.ratePerSecond);
        const double beyond = std::max(early, std::min(reservedAheadSeconds * limit.ratePerSecond, limit.burst / 4));
        const auto chunk = static_cast<std::int64_t>(std::ceil(beyond));
        const auto held = account.ungrantedTokens + pendingReservationTokens(account);
        const auto most = static_cast<std::int64_t>(std::max(0.0, availableTokens(account) + early)) - held;
        const auto tokens = std::clamp<std::int64_t>(need + chunk - held, 0, std::max<std::int64_t>(0, most));
        wire::reserve_rate reservation;
        reservation.account = name;
        reservation.term = authority.term;
        reservation.tokens = tokens;
        reservation.sequence = ++account.lastSequence;
        reservation.level = static_cast<std::int64_t>(std::floor(account.ledger.bucket.tokens));
        reservation.outstanding = static_cast<std::int64_t>(std::ceil(account.inherited)) + outstandingTokens(account)
            + account.ungrantedTokens + pendingReservationTokens(account) + tokens;
        account.pendingReservations.push_back({ reservation.sequence, tokens, now });
        ++authority.counters.reservations;
        output.reservations.push_back(std::move(reservation));
    }

    /// @return whether a report of the gateway could yield tokens: unspent ones, or overflow that its unreported
    /// spending restores.
    bool canYieldTokens(const rate_account& account, const lease_session& session)
    {
        return session.idle > 0 || (session.outstanding > 0 && !account.ledger.overflow.empty());
    }

    /// Recalls the tokens that other gateways hold beyond their waiting calls.
    void recallIdleTokens(rate_authority& authority, const std::string& name, rate_account& account,
        const std::string& requester, time_point now, authority_output& output)
    {
        for (auto& [gateway, session] : account.sessions) {
            if (gateway == requester || !canYieldTokens(account, session)) {
                continue;
            }
            if (session.recalled) {
                continue;
            }
            session.recalled = true;
            session.recalledAt = now;
            ++authority.counters.recalls;
            output.recalls.push_back({ gateway, { 0, name, session.session } });
        }
    }

    bool isAwaitingRecall(const rate_authority& authority, const rate_account& account, const std::string& requester,
        time_point now)
    {
        return std::any_of(account.sessions.begin(), account.sessions.end(), [&](const auto& entry) {
            const auto& session = entry.second;
            return entry.first != requester && session.recalled && canYieldTokens(account, session)
                && session.recalledAt + authority.settings.recallTimeout > now;
        });
    }

    /// @return how long a request may wait for a token. While a token is on its way to a gateway, a full bucket loses what
    /// accrues. Calls inside the rate queue up behind that loss if the burst is small, until the demand drops.
    std::chrono::milliseconds refusalHold(const rate_authority& authority, const rate_account& account)
    {
        const auto& settings = authority.settings;
        if (account.inherited > 0) {
            return settings.failoverRefusalHold;
        }
        const auto& limit = account.ledger.bucket.limit;
        const double accruedOnTheWay = limit.ratePerSecond * std::chrono::duration<double>(settings.grantDelay).count();
        return limit.burst < accruedOnTheWay ? settings.smallBurstRefusalHold : settings.refusalHold;
    }

    /// Delays a refusal that could turn out wrong. Spending times are rounded up, so a token may be available shortly
    /// before the ledger shows it, and tokens that an earlier leader reserved may never have been granted.
    bool shouldDelayRefusal(
        const rate_authority& authority, const rate_account& account, const pending_lease_request& request, time_point now)
    {
        const auto hold = refusalHold(authority, account);
        if (request.waitingSince + hold <= now) {
            return false;
        }
        const double accrued = account.ledger.bucket.limit.ratePerSecond * std::chrono::duration<double>(hold).count();
        return availableTokens(account) + account.inherited + accrued >= 1;
    }

    void answer(rate_authority& authority, const std::string& name, rate_account& account, const pending_lease_request& request,
        std::int64_t tokens, bool isRefusal, time_point now, authority_output& output)
    {
        auto& session = account.sessions.at(request.gateway);
        wire::rate_lease_grant grant;
        grant.request = request.request;
        grant.account = name;
        grant.session = request.session;
        grant.epoch = authority.term;
        grant.lease = authority.nextLease++;
        grant.tokens = tokens;
        // Without a fresh reservation a new leader would not expect the session's tokens to stay valid for longer.
        const bool extends = isReservationFresh(authority, account, now);
        if (extends) {
            grant.duration = authority.settings.leaseDuration;
            session.expiry = now + withClockDrift(authority, authority.settings.leaseDuration);
        }
        if (isRefusal) {
            token_bucket remaining = account.ledger.bucket;
            remaining.tokens = availableTokens(account) - static_cast<double>(tokens);
            grant.retryAfter = std::max(std::chrono::milliseconds { 1 }, timeUntilTokens(remaining, 1));
            ++authority.counters.refused;
        }
        account.ungrantedTokens -= tokens;
        session.outstanding += tokens;
        session.idle = std::max<std::int64_t>(0, session.idle + tokens - request.waiting);
        session.lastLease = grant.lease;
        session.lastTokens = tokens;
        session.lastGrant = grant;
        session.answered = true;
        authority.counters.granted += static_cast<std::uint64_t>(tokens);
        output.grants.emplace_back(request.gateway, std::move(grant));
    }

    /// @return tokens to grant beyond the waiting calls: at most half of the remainder, so that no gateway takes all.
    std::int64_t prefetchShare(std::int64_t available, const pending_lease_request& request)
    {
        const std::int64_t beyond = std::max<std::int64_t>(0, request.wanted - request.waiting);
        return std::min(beyond, std::max<std::int64_t>(0, available - request.waiting) / 2);
    }

    /// @return whether the request has been answered or dropped; otherwise it keeps waiting.
    bool tryAnswer(rate_authority& authority, const std::string& name, rate_account& account, pending_lease_request& request,
        time_point now, authority_output& output)
    {
        const auto session = account.sessions.find(request.gateway);
        const bool isSuperseded = session == account.sessions.end() || session->second.session != request.session
            || session->second.lastRequest != request.request;
        if (isSuperseded) {
            return true;
        }
        const auto available = static_cast<std::int64_t>(std::max(0.0, std::floor(availableTokens(account))));
        const std::int64_t due = std::min(available, request.waiting) + prefetchShare(available, request);
        const bool isReportOnly = request.wanted == 0;
        const bool needsReservation = !isReservationFresh(authority, account, now) || (due > 0 && account.ungrantedTokens == 0);
        if (!isReportOnly && needsReservation) {
            reserve(authority, name, account, due, now, output);
            return false;
        }
        // If the reservation does not cover all tokens, the gateway requests the remaining again.
        const std::int64_t tokens = std::min(due, account.ungrantedTokens);
        const bool isPartial = tokens < request.waiting;
        const bool isInsufficient = isPartial && tokens == due;
        const bool shouldHold = isInsufficient && shouldDelayRefusal(authority, account, request, now);
        if (isInsufficient && (tokens == 0 || !shouldHold)) {
            if (!request.recallSent) {
                request.recallSent = true;
                recallIdleTokens(authority, name, account, request.gateway, now, output);
            }
            if (shouldHold || isAwaitingRecall(authority, account, request.gateway, now)) {
                return false;
            }
        }
        answer(authority, name, account, request, tokens, isInsufficient && !shouldHold, now, output);
        return true;
    }

    void servePending(rate_authority& authority, const std::string& name, rate_account& account, time_point now,
        authority_output& output)
    {
        // Requests with waiting calls are served in order of arrival. Requests without them are not blocked by those,
        // because they may return the recalled tokens.
        bool blocked = false;
        for (auto position = account.pendingRequests.begin(); position != account.pendingRequests.end();) {
            const bool canServe = !blocked || position->waiting == 0;
            if (canServe && tryAnswer(authority, name, account, *position, now, output)) {
                position = account.pendingRequests.erase(position);
                continue;
            }
            blocked = true;
            ++position;
        }
    }

    /// Subtracts newly reported spending at the reported times, and spending without a time at the current time.
    void applyReport(rate_authority& authority, rate_account& account, lease_session& session,
        const wire::rate_lease_request& request, time_point now)
    {
        std::int64_t spent = std::clamp<std::int64_t>(request.spent - session.spent, 0, session.outstanding);
        session.spent = std::max(session.spent, request.spent);
        session.outstanding -= spent;
        // Processes the newest times first, because a resent report lists older spending again.
        for (auto entry = request.spends.rbegin(); entry != request.spends.rend() && spent > 0; ++entry) {
            const auto part = std::clamp<std::int64_t>(entry->tokens, 0, spent);
            const auto reported = entry->age + std::chrono::microseconds(entry->ageRemainderMicroseconds);
            const auto age = std::chrono::duration<double>(std::max(std::chrono::microseconds { 0 }, reported))
                * (1 - authority.settings.clockDrift);
            subtractSpent(account.ledger, part, now - std::chrono::duration_cast<duration>(age));
            spent -= part;
        }
        subtractSpent(account.ledger, spent, now);
        const std::int64_t returned = std::clamp<std::int64_t>(request.unspent - session.returned, 0, session.outstanding);
        session.returned = std::max(session.returned, request.unspent);
        session.outstanding -= returned;
        session.idle = std::min(session.idle, session.outstanding);
        const bool recallEnded = session.recalledAt + authority.settings.recallTimeout <= now;
        if (request.answersRecall || recallEnded) {
            session.recalled = false;
        }
    }

    lease_session* openSession(rate_authority& authority, rate_account& account, const std::string& gateway,
        const wire::rate_lease_request& request, time_point now)
    {
        auto& session = account.sessions[gateway];
        if (session.session > request.session) {
            ++authority.counters.stale;
            return nullptr;
        }
        if (session.session < request.session) {
            chargeOutstanding(account, session, now);
            session = {};
            session.session = request.session;
        }
        return &session;
    }

    /// @return whether the request is new. A duplicate of the last request gets its answer again, an older one does not.
    bool isNewRequest(rate_authority& authority, const std::string& gateway, const lease_session& session,
        const wire::rate_lease_request& request, authority_output& output)
    {
        if (request.request > session.lastRequest) {
            return true;
        }
        ++authority.counters.duplicates;
        if (request.request == session.lastRequest && session.answered) {
            output.grants.emplace_back(gateway, session.lastGrant);
        }
        return false;
    }

    /// Reclaims a grant that did not arrive. A gateway ignores answers to requests before its last one, so a grant that
    /// its next request does not name will never be used.
    void reclaimLostGrant(lease_session& session, const wire::rate_lease_request& request)
    {
        if (session.answered && session.lastLease != request.lease) {
            session.outstanding -= std::min(session.outstanding, session.lastTokens);
            session.idle = std::min(session.idle, session.outstanding);
        }
        session.answered = false;
        session.lastTokens = 0;
    }

    void refuseUnknownAccount(const std::string& gateway, const wire::rate_lease_request& request, std::uint64_t epoch,
        authority_output& output)
    {
        wire::rate_lease_grant grant;
        grant.request = request.request;
        grant.account = request.account;
        grant.session = request.session;
        grant.epoch = epoch;
        grant.retryAfter = std::chrono::seconds(1);
        output.grants.emplace_back(gateway, std::move(grant));
    }

    /// Counts the outstanding tokens as inherited: the gateways keep them until they expire.
    void moveToInherited(rate_authority& authority, rate_account& account, time_point now)
    {
        const auto outstanding = outstandingTokens(account) + account.ungrantedTokens + pendingReservationTokens(account);
        account.inherited += static_cast<double>(outstanding);
        account.inheritedUntil = now + reservationHorizon(authority);
        account.ungrantedTokens = 0;
        account.pendingReservations.clear();
        account.sessions.clear();
        account.pendingRequests.clear();
    }

    void adoptReservation(rate_authority& authority, rate_account& account, const wire::reserve_rate& reservation,
        time_point now)
    {
        account.ledger.bucket.tokens
            = std::min(static_cast<double>(reservation.level), account.ledger.bucket.limit.burst);
        account.ledger.overflow.clear();
        account.inherited = static_cast<double>(reservation.outstanding);
        account.inheritedUntil = now + reservationHorizon(authority);
        account.ungrantedTokens = 0;
        account.pendingReservations.clear();
        account.sessions.clear();
        account.pendingRequests.clear();
    }

    void confirmOwnReservation(rate_account& account, const wire::reserve_rate& reservation)
    {
        for (const auto& pending : account.pendingReservations) {
            if (pending.sequence == reservation.sequence) {
                account.ungrantedTokens += pending.tokens;
                account.reservedAt = pending.proposedAt;
            }
        }
        // Proposals of one leader commit in order, so earlier ones that have not been applied never will be applied.
        std::erase_if(account.pendingReservations, [&reservation](const pending_reservation& pending) {
            return pending.sequence <= reservation.sequence;
        });
    }

} // namespace

double availableTokens(const rate_account& account)
{
    return account.ledger.bucket.tokens - account.inherited - static_cast<double>(outstandingTokens(account));
}

void setAccountLimit(rate_authority& authority, const std::string& account, const rate_limit& limit, time_point now)
{
    auto [position, isNew] = authority.accounts.try_emplace(account);
    auto& state = position->second;
    if (isNew) {
        state.ledger.bucket = makeBucket(limit, now);
        state.limitKnown = true;
        return;
    }
    if (!state.limitKnown) {
        // The reservations were applied before the manifest, so the bucket starts at the level of the last one.
        state.ledger.bucket = makeBucket(limit, now);
        state.ledger.bucket.tokens = std::min(limit.burst, static_cast<double>(state.reservedLevel));
        state.limitKnown = true;
        return;
    }
    advanceAccount(authority, state, now);
    state.ledger.overflow.clear();
    state.ledger.bucket.limit = limit;
    state.ledger.bucket.tokens = std::min(state.ledger.bucket.tokens, limit.burst);
}

void removeAccount(rate_authority& authority, const std::string& account)
{
    const auto found = authority.accounts.find(account);
    if (found != authority.accounts.end()) {
        found->second.ledger.bucket.limit = {};
        found->second.ledger.bucket.tokens = std::min(0.0, found->second.ledger.bucket.tokens);
    }
}

void onReservationApplied(
    rate_authority& authority, const wire::reserve_rate& reservation, time_point now, authority_output& output)
{
    auto& account = authority.accounts[reservation.account];
    advance(account.ledger, now);
    account.hasReservation = true;
    account.reservedLevel = reservation.level;
    if (authority.leading && reservation.term == authority.term) {
        confirmOwnReservation(account, reservation);
        servePending(authority, reservation.account, account, now, output);
        return;
    }
    account.lastSequence = 0;
    adoptReservation(authority, account, reservation, now);
}

void startLeading(rate_authority& authority, std::uint64_t term, time_point now)
{
    authority.leading = true;
    authority.term = term;
    for (auto& [name, account] : authority.accounts) {
        advanceAccount(authority, account, now);
        account.lastSequence = 0;
        account.reservedAt = {};
    }
}

void stopLeading(rate_authority& authority, time_point now)
{
    if (!authority.leading) {
        return;
    }
    authority.leading = false;
    for (auto& [name, account] : authority.accounts) {
        advanceAccount(authority, account, now);
        moveToInherited(authority, account, now);
    }
}

void onRateRequest(rate_authority& authority, const std::string& gateway, const wire::rate_lease_request& request,
    time_point now, authority_output& output)
{
    ++authority.counters.requests;
    if (!authority.leading) {
        return;
    }
    const auto found = authority.accounts.find(request.account);
    if (found == authority.accounts.end()) {
        refuseUnknownAccount(gateway, request, authority.term, output);
        return;
    }
    auto& account = found->second;
    if (!account.limitKnown) {
        // The configuration has not been applied here yet. The gateway sends the request again, and no call is refused
        // in the meantime.
        ++authority.counters.stale;
        return;
    }
    advanceAccount(authority, account, now);
    const bool namesOtherEpoch = request.epoch != 0 && request.epoch != authority.term;
    const bool isOrphan = request.lease != 0 && !namesOtherEpoch && account.sessions.count(gateway) == 0;
    if (isOrphan) {
        ++authority.counters.stale; // sent under a lease that has ended in the meantime
        return;
    }
    auto* session = openSession(authority, account, gateway, request, now);
    if (session == nullptr || !isNewRequest(authority, gateway, *session, request, output)) {
        return;
    }
    if (!namesOtherEpoch) {
        reclaimLostGrant(*session, request);
        applyReport(authority, account, *session, request, now);
    }
    session->lastRequest = request.request;
    session->answered = false;
    if (session->expiry == time_point {}) {
        session->expiry = now + withClockDrift(authority, authority.settings.leaseDuration);
    }
    pending_lease_request pending;
    pending.gateway = gateway;
    pending.session = request.session;
    pending.request = request.request;
    pending.wanted = std::max<std::int64_t>(0, std::max(request.wanted, request.waiting));
    pending.waiting = std::max<std::int64_t>(0, request.waiting);
    pending.waitingSince = now - request.waitedFor;
    account.pendingRequests.push_back(std::move(pending));
    servePending(authority, request.account, account, now, output);
}

void tickAuthority(rate_authority& authority, time_point now, authority_output& output)
{
    if (!authority.leading) {
        return;
    }
    for (auto& [name, account] : authority.accounts) {
        if (account.pendingRequests.empty() && account.sessions.empty() && account.inherited <= 0) {
            continue;
        }
        advanceAccount(authority, account, now);
        servePending(authority, name, account, now, output);
    }
}

} // namespace cuminledge::core::limits
