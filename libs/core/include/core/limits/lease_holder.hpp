#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <core/limits/rate_limit.hpp>
#include <wire/control_messages.hpp>

/// The gateway's part of rate and burst: spends leased tokens, asks for more before they run out, and refuses a call
/// only when the authority says so.
namespace cuminledge::core::limits {

struct token_spend {
    time_point at {};
    std::int64_t tokens = 0;
};

/// What a gateway holds of one account.
struct held_lease {
    std::uint64_t session = 0; ///< 0: none open
    std::uint64_t epoch = 0; ///< of the authority that granted the tokens; 0: none has yet
    std::uint64_t lease = 0; ///< the last grant received in the session
    std::uint64_t request = 0; ///< number of the last request sent
    bool requestPending = false;
    time_point sentAt {}; ///< of the last request
    time_point askAgainAt {}; ///< not before: the last one met no leader
    std::int64_t waitingAsked = 0; ///< calls that the pending request covers
    std::int64_t tokens = 0; ///< may be spent until expiry
    time_point expiry {};
    std::int64_t carried = 0; ///< of an earlier authority's epoch, may be spent until carriedExpiry
    time_point carriedExpiry {};
    std::int64_t spent = 0; ///< in this session and epoch
    std::int64_t returned = 0;
    std::int64_t returnedConfirmed = 0; ///< of returned, known to have arrived
    std::vector<token_spend> spends; ///< not acknowledged yet, oldest first, merged where there are many
    std::int64_t unacknowledged = 0; ///< of the spends, sent with the pending request
    std::int64_t waiting = 0; ///< calls that wait for a token
    time_point refusedUntil {};
    time_point shortUntil {}; ///< the rate is taken as used up until then, though single tokens come in
    time_point lastSpend {};
    double demandPerSecond = 0;
    time_point demandUpdated {};
    bool needsAttention = false; ///< is listed in lease_holder::attention
    std::deque<time_point> waitingSince; ///< of each waiting call, oldest first
};

struct holder_counters {
    std::uint64_t admitted = 0;
    std::uint64_t waited = 0;
    std::uint64_t refused = 0; ///< by the authority
    std::uint64_t overflowed = 0; ///< too many calls waited
    std::uint64_t requests = 0;
    std::uint64_t ignoredGrants = 0; ///< doubled or late
};

/**
 * All leases of one gateway.
 *
 *     auto decision = trySpend(holder, account, now);
 *     // Admitted: go on. Waiting: hold the call, first in first out by account. Refused: answer 429.
 *     for (auto& request : collectRequests(holder, now)) { send it to the leader of the account's group }
 *     // on rate_lease_grant: the first `admitted` held calls go on, the next `refused` are answered 429.
 */
struct lease_holder {
    lease_settings settings;
    std::uint64_t nextSession = 1;
    std::unordered_map<std::string, held_lease> leases;
    std::vector<std::string> attention; ///< accounts that may need a request before the next sweep
    time_point sweptAt {};
    holder_counters counters;
};

/// @param incarnation of the gateway process, higher than of every earlier start: sessions rise with it.
lease_holder makeLeaseHolder(std::uint64_t incarnation, const lease_settings& settings = {});

enum class spend_decision : std::uint8_t {
    Admitted,
    Waiting, ///< hold the call until onRateGrant() admits or refuses it
    Refused, ///< the authority has said that there are none until retryAfter has passed
    Overloaded ///< too many calls of the account wait here already; the authority has not answered
};

struct spend_outcome {
    spend_decision decision = spend_decision::Admitted;
    std::chrono::milliseconds retryAfter { 0 };
};

/// Spends one token for a call of the account, or says what becomes of the call.
spend_outcome trySpend(lease_holder& holder, const std::string& account, time_point now);

/// @return whether the authority has lately refused calls of the account: its rate is used up.
bool isRateExhausted(const lease_holder& holder, const std::string& account, time_point now);

/// A call that waits has gone (caller left, deadline passed). Call for the newest or any other: they are alike.
void cancelWaiting(lease_holder& holder, const std::string& account);

/// @return the requests to send now, each to the leader of its account's group (the caller sets `group`). Call after
/// each event that spent tokens, and every few milliseconds.
std::vector<wire::rate_lease_request> collectRequests(lease_holder& holder, time_point now);

struct grant_outcome {
    std::int64_t admitted = 0; ///< so many held calls of the account go on, oldest first
    std::int64_t refused = 0; ///< and so many after them are refused
    std::chrono::milliseconds retryAfter { 0 };
};

/// Takes in an answer; a doubled, late or foreign one changes nothing.
grant_outcome onRateGrant(lease_holder& holder, const wire::rate_lease_grant& grant, time_point now);

/// The authority needs tokens back. @return the request that gives back what is not spent, to be sent at once.
std::vector<wire::rate_lease_request> onRateRecall(
    lease_holder& holder, const wire::rate_lease_recall& recall, time_point now);

/// @return requests that give back everything; on graceful shutdown.
std::vector<wire::rate_lease_request> returnAll(lease_holder& holder, time_point now);

} // namespace cuminledge::core::limits
