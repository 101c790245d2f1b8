#include <core/limits/rate_authority.hpp>

#include <algorithm>
#include <cmath>

namespace cuminledge::core::limits {

namespace {

    std::chrono::nanoseconds stretched(const rate_authority& authority, std::chrono::milliseconds span)
    {
        const double factor = 1 + authority.settings.clockDrift;
        return std::chrono::nanoseconds(static_cast<std::int64_t>(
            static_cast<double>(std::chrono::nanoseconds(span).count()) * factor));
    }

    /// How long after a reservation was applied any token of it may still be spent.
    std::chrono::nanoseconds horizon(const rate_authority& authority)
    {
        return stretched(
            authority, authority.settings.reservationValidity + authority.settings.leaseDuration);
    }

    std::int64_t outstandingOf(const rate_account& account)
    {
        std::int64_t total = 0;
        for (const auto& [gateway, session] : account.sessions) {
            total += session.outstanding;
        }
        return total;
    }

    /// Tokens of a lease that has ended, or whose fate is unknown, count as spent now: later than any of them was.
    void writeOff(rate_account& account, lease_session& session, time_point now)
    {
        subtractSpent(account.ledger, session.outstanding, now);
        session.outstanding = 0;
        session.idle = 0;
    }

    void writeOffInherited(rate_account& account, time_point now)
    {
        if (account.inherited > 0 && account.inheritedUntil <= now) {
            subtractSpent(account.ledger, static_cast<std::int64_t>(std::ceil(account.inherited)), now);
            account.inherited = 0;
        }
    }

    void advanceAccount(rate_authority& authority, rate_account& account, time_point now)
    {
        advance(account.ledger, now);
        writeOffInherited(account, now);
        for (auto position = account.sessions.begin(); position != account.sessions.end();) {
            if (position->second.expiry > now) {
                ++position;
                continue;
            }
            writeOff(account, position->second, now);
            ++authority.counters.expiredSessions;
            position = account.sessions.erase(position);
        }
    }

    bool isReservationFresh(const rate_authority& authority, const rate_account& account, time_point now)
    {
        return account.hasRecord && account.reservedAt + authority.settings.reservationValidity > now;
    }

    std::int64_t tokensUnderWay(const rate_account& account)
    {
        std::int64_t total = 0;
        for (const auto& reservation : account.underWay) {
            total += reservation.tokens;
        }
        return total;
    }

    /// Proposes a reservation that covers the need and a little beyond, unless one that does is under way.
    void reserve(rate_authority& authority, const std::string& name, rate_account& account, std::int64_t need,
        time_point now, authority_output& output)
    {
        if (!account.underWay.empty()
            && account.underWay.back().proposedAt + authority.settings.commitTimeout > now) {
            return;
        }
        const auto& limit = account.ledger.bucket.limit;
        // What is reserved and not granted is lost in a failover, so it is kept to a quarter of a second's rate.
        constexpr double reservedAheadSeconds = 0.25;
        const double beyond = std::min(reservedAheadSeconds * limit.ratePerSecond, limit.burst / 4);
        const auto chunk = static_cast<std::int64_t>(std::ceil(beyond));
        // An account at its limit would need a commit for each token; it may reserve a little of what comes next.
        constexpr double reservedEarlySeconds = 0.1;
        const double early = std::max(1.0, reservedEarlySeconds * limit.ratePerSecond);
        const auto held = account.ahead + tokensUnderWay(account);
        const auto most = static_cast<std::int64_t>(std::max(0.0, availableTokens(account) + early)) - held;
        const auto tokens = std::clamp<std::int64_t>(need + chunk - held, 0, std::max<std::int64_t>(0, most));
        wire::reserve_rate reservation;
        reservation.account = name;
        reservation.term = authority.term;
        reservation.tokens = tokens;
        reservation.sequence = ++account.lastSequence;
        reservation.level = static_cast<std::int64_t>(std::floor(account.ledger.bucket.tokens));
        reservation.outstanding = static_cast<std::int64_t>(std::ceil(account.inherited)) + outstandingOf(account)
            + account.ahead + tokensUnderWay(account) + tokens;
        account.underWay.push_back({ reservation.sequence, tokens, now });
        ++authority.counters.reservations;
        output.reservations.push_back(std::move(reservation));
    }

    /// Whether a report of that gateway could bring tokens: ones it has not spent, or the overflow that its unreported
    /// spending takes back.
    bool mayBringTokens(const rate_account& account, const lease_session& session)
    {
        return session.idle > 0 || (session.outstanding > 0 && !account.ledger.overflow.empty());
    }

    /// Recalls what gateways hold beyond their waiting calls.
    void recallIdle(rate_authority& authority, const std::string& name, rate_account& account,
        const std::string& asker, time_point now, authority_output& output)
    {
        for (auto& [gateway, session] : account.sessions) {
            if (gateway == asker || !mayBringTokens(account, session)) {
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

    bool awaitsRecall(const rate_authority& authority, const rate_account& account, const std::string& asker,
        time_point now)
    {
        return std::any_of(account.sessions.begin(), account.sessions.end(), [&](const auto& entry) {
            const auto& session = entry.second;
            return entry.first != asker && session.recalled && mayBringTokens(account, session)
                && session.recalledAt + authority.settings.recallTimeout > now;
        });
    }

    /// A refusal must be right. Spending times are rounded to the safe side, so a token may be there a moment before
    /// the ledger shows it; and after a failover what an earlier leader reserved may never have been granted.
    bool isWorthHolding(
        const rate_authority& authority, const rate_account& account, const pending_ask& ask, time_point now)
    {
        const bool isUnsure = account.inherited > 0;
        const auto patience = isUnsure ? authority.settings.unsureHold : authority.settings.shortHold;
        if (ask.waitingSince + patience <= now) {
            return false;
        }
        const double comes = account.ledger.bucket.limit.ratePerSecond * std::chrono::duration<double>(patience).count();
        return availableTokens(account) + account.inherited + comes >= 1;
    }

    void answer(rate_authority& authority, const std::string& name, rate_account& account, const pending_ask& ask,
        std::int64_t tokens, bool isRefusal, time_point now, authority_output& output)
    {
        auto& session = account.sessions.at(ask.gateway);
        wire::rate_lease_grant grant;
        grant.request = ask.request;
        grant.account = name;
        grant.session = ask.session;
        grant.epoch = authority.term;
        grant.lease = authority.nextLease++;
        grant.tokens = tokens;
        // Without a fresh reservation a new leader would not count on what the session holds living longer.
        const bool extends = isReservationFresh(authority, account, now);
        if (extends) {
            grant.duration = authority.settings.leaseDuration;
            session.expiry = now + stretched(authority, authority.settings.leaseDuration);
        }
        if (isRefusal) {
            token_bucket rest = account.ledger.bucket;
            rest.tokens = availableTokens(account) - static_cast<double>(tokens);
            grant.retryAfter = std::max(std::chrono::milliseconds { 1 }, timeUntilTokens(rest, 1));
            ++authority.counters.refused;
        }
        account.ahead -= tokens;
        session.outstanding += tokens;
        session.idle = std::max<std::int64_t>(0, session.idle + tokens - ask.waiting);
        session.lastLease = grant.lease;
        session.lastTokens = tokens;
        session.lastGrant = grant;
        session.answered = true;
        authority.counters.granted += static_cast<std::uint64_t>(tokens);
        output.grants.emplace_back(ask.gateway, std::move(grant));
    }

    /// What a gateway is given beyond its waiting calls: at most half of what is left, so that none hoards.
    std::int64_t aheadShare(std::int64_t available, const pending_ask& ask)
    {
        const std::int64_t beyond = std::max<std::int64_t>(0, ask.wanted - ask.waiting);
        return std::min(beyond, std::max<std::int64_t>(0, available - ask.waiting) / 2);
    }

    /// @return whether the ask has been answered or dropped; otherwise it waits.
    bool tryAnswer(rate_authority& authority, const std::string& name, rate_account& account, pending_ask& ask,
        time_point now, authority_output& output)
    {
        const auto session = account.sessions.find(ask.gateway);
        const bool isSuperseded = session == account.sessions.end() || session->second.session != ask.session
            || session->second.lastRequest != ask.request;
        if (isSuperseded) {
            return true;
        }
        const auto available = static_cast<std::int64_t>(std::max(0.0, std::floor(availableTokens(account))));
        const std::int64_t due = std::min(available, ask.waiting) + aheadShare(available, ask);
        const bool isReportOnly = ask.wanted == 0;
        const bool needsReservation = !isReservationFresh(authority, account, now) || (due > 0 && account.ahead == 0);
        if (!isReportOnly && needsReservation) {
            reserve(authority, name, account, due, now, output);
            return false;
        }
        // Where the reservation does not cover all, the gateway asks again for the rest.
        const std::int64_t tokens = std::min(due, account.ahead);
        const bool leavesSome = tokens < ask.waiting;
        const bool isShort = leavesSome && tokens == due;
        const bool holdsRest = isShort && isWorthHolding(authority, account, ask, now);
        if (isShort && (tokens == 0 || !holdsRest)) {
            if (!ask.recallSent) {
                ask.recallSent = true;
                recallIdle(authority, name, account, ask.gateway, now, output);
            }
            if (holdsRest || awaitsRecall(authority, account, ask.gateway, now)) {
                return false;
            }
        }
        answer(authority, name, account, ask, tokens, isShort && !holdsRest, now, output);
        return true;
    }

    void servePending(rate_authority& authority, const std::string& name, rate_account& account, time_point now,
        authority_output& output)
    {
        // Waiting calls are served in order of arrival; requests that nobody waits for do not queue behind them, as
        // the recalled tokens may come with one of those.
        bool blocked = false;
        for (auto position = account.pending.begin(); position != account.pending.end();) {
            const bool mayGo = !blocked || position->waiting == 0;
            if (mayGo && tryAnswer(authority, name, account, *position, now, output)) {
                position = account.pending.erase(position);
                continue;
            }
            blocked = true;
            ++position;
        }
    }

    /// Subtracts newly reported spending at the times it was done; where the times don't cover it, now.
    void takeReport(rate_authority& authority, rate_account& account, lease_session& session,
        const wire::rate_lease_request& request, time_point now)
    {
        std::int64_t spent = std::clamp<std::int64_t>(request.spent - session.spent, 0, session.outstanding);
        session.spent = std::max(session.spent, request.spent);
        session.outstanding -= spent;
        // The newest times go first: a resent report lists older spending again.
        for (auto entry = request.spends.rbegin(); entry != request.spends.rend() && spent > 0; ++entry) {
            const auto part = std::clamp<std::int64_t>(entry->tokens, 0, spent);
            const auto age = std::chrono::duration<double>(std::max(std::chrono::milliseconds { 0 }, entry->age))
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
            writeOff(account, session, now);
            session = {};
            session.session = request.session;
        }
        return &session;
    }

    /// @return whether the request is new; a doubled one is answered again, an old one is not.
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

    /// A gateway that sends a further request ignores the answers to earlier ones, so a grant it does not name was
    /// never received and never will be.
    void takeBackLostGrant(lease_session& session, const wire::rate_lease_request& request)
    {
        if (session.answered && session.lastLease != request.lease) {
            session.outstanding -= std::min(session.outstanding, session.lastTokens);
            session.idle = std::min(session.idle, session.outstanding);
        }
        session.answered = false;
        session.lastTokens = 0;
    }

    void refuseUnknown(const std::string& gateway, const wire::rate_lease_request& request, std::uint64_t epoch,
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

    /// Whatever is outstanding here stays with the gateways until it has run out.
    void foldIntoInherited(rate_authority& authority, rate_account& account, time_point now)
    {
        const auto ours = outstandingOf(account) + account.ahead + tokensUnderWay(account);
        account.inherited += static_cast<double>(ours);
        account.inheritedUntil = now + horizon(authority);
        account.ahead = 0;
        account.underWay.clear();
        account.sessions.clear();
        account.pending.clear();
    }

    void followRecord(rate_authority& authority, rate_account& account, const wire::reserve_rate& reservation,
        time_point now)
    {
        account.ledger.bucket.tokens
            = std::min(static_cast<double>(reservation.level), account.ledger.bucket.limit.burst);
        account.ledger.overflow.clear();
        account.inherited = static_cast<double>(reservation.outstanding);
        account.inheritedUntil = now + horizon(authority);
        account.ahead = 0;
        account.underWay.clear();
        account.sessions.clear();
        account.pending.clear();
    }

    void takeOwnReservation(rate_account& account, const wire::reserve_rate& reservation)
    {
        for (const auto& underWay : account.underWay) {
            if (underWay.sequence == reservation.sequence) {
                account.ahead += underWay.tokens;
                account.reservedAt = underWay.proposedAt;
            }
        }
        // Proposals of one leader commit in order, so earlier ones that have not been applied never will be.
        std::erase_if(account.underWay, [&reservation](const reservation_under_way& underWay) {
            return underWay.sequence <= reservation.sequence;
        });
    }

} // namespace

double availableTokens(const rate_account& account)
{
    return account.ledger.bucket.tokens - account.inherited - static_cast<double>(outstandingOf(account));
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
        // Its reservations were applied before its manifest: the bucket stands where the last one left it.
        state.ledger.bucket = makeBucket(limit, now);
        state.ledger.bucket.tokens = std::min(limit.burst, static_cast<double>(state.recordLevel));
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
    account.hasRecord = true;
    account.recordLevel = reservation.level;
    if (authority.leading && reservation.term == authority.term) {
        takeOwnReservation(account, reservation);
        servePending(authority, reservation.account, account, now, output);
        return;
    }
    account.lastSequence = 0;
    followRecord(authority, account, reservation, now);
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
        foldIntoInherited(authority, account, now);
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
        refuseUnknown(gateway, request, authority.term, output);
        return;
    }
    auto& account = found->second;
    if (!account.limitKnown) {
        // The configuration has not been applied here yet: the gateway asks again, and nobody is refused meanwhile.
        ++authority.counters.stale;
        return;
    }
    advanceAccount(authority, account, now);
    const bool namesOtherEpoch = request.epoch != 0 && request.epoch != authority.term;
    const bool isOrphan = request.lease != 0 && !namesOtherEpoch && account.sessions.count(gateway) == 0;
    if (isOrphan) {
        ++authority.counters.stale; // sent under a lease that has ended since
        return;
    }
    auto* session = openSession(authority, account, gateway, request, now);
    if (session == nullptr || !isNewRequest(authority, gateway, *session, request, output)) {
        return;
    }
    if (!namesOtherEpoch) {
        takeBackLostGrant(*session, request);
        takeReport(authority, account, *session, request, now);
    }
    session->lastRequest = request.request;
    session->answered = false;
    if (session->expiry == time_point {}) {
        session->expiry = now + stretched(authority, authority.settings.leaseDuration);
    }
    pending_ask ask;
    ask.gateway = gateway;
    ask.session = request.session;
    ask.request = request.request;
    ask.wanted = std::max<std::int64_t>(0, std::max(request.wanted, request.waiting));
    ask.waiting = std::max<std::int64_t>(0, request.waiting);
    ask.waitingSince = now - request.waitedFor;
    account.pending.push_back(std::move(ask));
    servePending(authority, request.account, account, now, output);
}

void tickAuthority(rate_authority& authority, time_point now, authority_output& output)
{
    if (!authority.leading) {
        return;
    }
    for (auto& [name, account] : authority.accounts) {
        if (account.pending.empty() && account.sessions.empty() && account.inherited <= 0) {
            continue;
        }
        advanceAccount(authority, account, now);
        servePending(authority, name, account, now, output);
    }
}

} // namespace cuminledge::core::limits
