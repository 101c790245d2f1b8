#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <core/limits/rate_limit.hpp>
#include <wire/control_messages.hpp>

/// The gateway's part of rate limiting: spends leased tokens, requests more before they run out, and refuses a call
/// only if the rate authority has refused it.
namespace cuminledge::core::limits {

struct token_spend {
    time_point at {};
    std::int64_t tokens = 0;
};

/// The tokens and the lease session that a gateway holds for one account.
struct held_lease {
    std::uint64_t session = 0; ///< 0: no session is open
    std::uint64_t epoch = 0; ///< of the authority that granted the tokens; 0: none granted yet
    std::uint64_t lease = 0; ///< the last grant received in the session
    std::uint64_t request = 0; ///< number of the last request sent
    bool requestPending = false;
    time_point sentAt {}; ///< of the last request
    time_point nextRequestAt {}; ///< earliest time of the next request, set after a request reached no leader
    std::int64_t waitingInRequest = 0; ///< calls that the pending request covers
    std::int64_t tokens = 0; ///< may be spent until expiry
    time_point expiry {};
    std::int64_t previousEpochTokens = 0; ///< granted in an earlier epoch; may be spent until previousEpochExpiry
    time_point previousEpochExpiry {};
    std::int64_t spent = 0; ///< in this session and epoch
    std::int64_t returned = 0;
    std::int64_t returnedConfirmed = 0; ///< the part of `returned` that the authority has confirmed
    std::vector<token_spend> spends; ///< not acknowledged yet, oldest first; merged when there are many
    std::int64_t unacknowledged = 0; ///< number of `spends` sent with the pending request
    std::int64_t waiting = 0; ///< calls waiting for a token
    time_point refusedUntil {};
    time_point exhaustedUntil {}; ///< until then the rate counts as used up, even if single tokens arrive
    time_point lastSpend {};
    double demandPerSecond = 0;
    time_point demandUpdated {};
    bool isCheckScheduled = false; ///< the account is listed in lease_holder::accountsToCheck
    std::deque<time_point> waitingSince; ///< arrival time of each waiting call, oldest first
};

struct holder_counters {
    std::uint64_t admitted = 0;
    std::uint64_t waited = 0;
    std::uint64_t refused = 0; ///< refused by the authority
    std::uint64_t overflowed = 0; ///< refused because too many calls waited
    std::uint64_t requests = 0;
    std::uint64_t ignoredGrants = 0; ///< duplicate or late
};

/**
 * All leases of one gateway.
 *
 *     auto decision = trySpend(holder, account, now);
 *     // Admitted: go on. Waiting: hold the call, first in, first out per account. Refused: answer 429.
 *     for (auto& request : collectRequests(holder, now)) { send it to the leader of the account's group }
 *     // on rate_lease_grant: the first `admitted` held calls go on, the next `refused` are answered 429.
 */
struct lease_holder {
    lease_settings settings;
    std::uint64_t nextSession = 1;
    std::unordered_map<std::string, held_lease> leases;
    std::vector<std::string> accountsToCheck; ///< accounts that may need a request before the next sweep
    time_point sweptAt {};
    holder_counters counters;
};

/// @param incarnation of the gateway process; must exceed that of every earlier start, because session numbers are
/// derived from it.
lease_holder makeLeaseHolder(std::uint64_t incarnation, const lease_settings& settings = {});

enum class spend_decision : std::uint8_t {
    Admitted,
    Waiting, ///< hold the call until onRateGrant() admits or refuses it
    Refused, ///< the authority grants none until retryAfter has passed
    Overloaded ///< too many calls of the account wait here already; the authority has not answered
};

struct spend_outcome {
    spend_decision decision = spend_decision::Admitted;
    std::chrono::milliseconds retryAfter { 0 };
};

/// Spends one token for a call of the account.
/// @return whether the call is admitted, has to wait or is refused.
spend_outcome trySpend(lease_holder& holder, const std::string& account, time_point now);

/// @return whether the authority has recently refused calls of the account because its rate is used up.
bool isRateExhausted(const lease_holder& holder, const std::string& account, time_point now);

/// Removes one waiting call (its caller disconnected or its deadline passed). Waiting calls are only counted, so it
/// does not matter which of them it is.
void cancelWaiting(lease_holder& holder, const std::string& account);

/// @return the requests to send now, each to the leader of its account's group (the caller sets `group`). Call after
/// each event that spent tokens, and every few milliseconds.
std::vector<wire::rate_lease_request> collectRequests(lease_holder& holder, time_point now);

struct grant_outcome {
    std::int64_t admitted = 0; ///< number of held calls of the account to admit, oldest first
    std::int64_t refused = 0; ///< number of the next held calls to refuse
    std::chrono::milliseconds retryAfter { 0 };
};

/// Applies an answer. A duplicate, late or unrelated answer changes nothing.
grant_outcome onRateGrant(lease_holder& holder, const wire::rate_lease_grant& grant, time_point now);

/// Handles a recall of tokens.
/// @return the request that returns the unspent tokens, to be sent at once.
std::vector<wire::rate_lease_request> onRateRecall(
    lease_holder& holder, const wire::rate_lease_recall& recall, time_point now);

/// @return requests that return all tokens; called on graceful shutdown.
std::vector<wire::rate_lease_request> returnAll(lease_holder& holder, time_point now);

} // namespace cuminledge::core::limits
