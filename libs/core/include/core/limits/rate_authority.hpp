#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <core/limits/spend_ledger.hpp>
#include <wire/commands.hpp>
#include <wire/control_messages.hpp>

/**
 * The controller's part of rate limiting: one authority per account, on the leader of the account's group.
 *
 * Leased tokens that may still be unspent count against the burst: level + outstanding <= burst at all times, so that
 * admitted <= rate * length + burst over every interval. Tokens are granted only from reservations that a quorum
 * holds. Each reservation records the bucket's level and all tokens that may be outstanding; a new leader counts those
 * as spent.
 */
namespace cuminledge::core::limits {

/// One gateway's leased tokens of one account.
struct lease_session {
    std::uint64_t session = 0;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastLease = 0; ///< the last grant; its arrival is unknown until the gateway names it in a request
    std::int64_t lastTokens = 0; ///< of the last grant
    bool answered = false; ///< whether the last request has been answered
    wire::rate_lease_grant lastGrant;
    std::int64_t spent = 0; ///< as reported, in the session
    std::int64_t returned = 0;
    std::int64_t outstanding = 0; ///< granted and neither reported as spent nor returned
    std::int64_t idle = 0; ///< the part of `outstanding` granted beyond the waiting calls
    time_point expiry {};
    time_point recalledAt {};
    bool recalled = false;
};

/// A lease request that waits for tokens, a reservation or recalled leases.
struct pending_lease_request {
    std::string gateway;
    std::uint64_t session = 0;
    std::uint64_t request = 0;
    std::int64_t wanted = 0;
    std::int64_t waiting = 0;
    time_point waitingSince {}; ///< arrival of the oldest of the gateway's waiting calls
    bool recallSent = false;
};

struct pending_reservation {
    std::uint64_t sequence = 0;
    std::int64_t tokens = 0;
    time_point proposedAt {};
};

struct rate_account {
    spend_ledger ledger;
    bool limitKnown = false; ///< a manifest with the account has been applied
    bool hasReservation = false; ///< a reservation has been applied
    double inherited = 0; ///< tokens that may be outstanding from earlier leaders
    time_point inheritedUntil {};
    std::int64_t reservedLevel = 0; ///< of the last reservation applied
    std::int64_t ungrantedTokens = 0; ///< reserved and not granted yet
    time_point reservedAt {}; ///< when the reservation in force was proposed
    std::uint64_t lastSequence = 0;
    std::vector<pending_reservation> pendingReservations;
    std::map<std::string, lease_session> sessions; ///< by gateway
    std::deque<pending_lease_request> pendingRequests;
};

struct authority_counters {
    std::uint64_t requests = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t stale = 0;
    std::uint64_t granted = 0; ///< tokens
    std::uint64_t refused = 0; ///< answers that refuse a waiting call
    std::uint64_t recalls = 0;
    std::uint64_t reservations = 0;
    std::uint64_t expiredSessions = 0;
};

struct rate_authority {
    lease_settings settings;
    bool leading = false;
    std::uint64_t term = 0;
    std::uint64_t nextLease = 1;
    std::unordered_map<std::string, rate_account> accounts;
    authority_counters counters;
};

/// Actions that the caller has to carry out after a call, in order.
struct authority_output {
    std::vector<std::pair<std::string, wire::rate_lease_grant>> grants; ///< by gateway
    std::vector<std::pair<std::string, wire::rate_lease_recall>> recalls;
    std::vector<wire::reserve_rate> reservations; ///< to propose to the group's log
};

/// Adds an account or changes its limit after a manifest was accepted. A new account starts with a full bucket.
void setAccountLimit(rate_authority& authority, const std::string& account, const rate_limit& limit, time_point now);

/// Stops granting tokens to an account that the manifest no longer contains.
void removeAccount(rate_authority& authority, const std::string& account);

/// Applies a committed reservation. Called on every replica for each reservation that the state machine applies, and
/// for the last one of each account after a snapshot was loaded.
void onReservationApplied(
    rate_authority& authority, const wire::reserve_rate& reservation, time_point now, authority_output& output);

/// Starts granting. This replica leads the group and has applied all that earlier leaders committed.
void startLeading(rate_authority& authority, std::uint64_t term, time_point now);

/// Stops granting until startLeading(). This replica no longer leads, or can't be sure that it does.
void stopLeading(rate_authority& authority, time_point now);

/// Handles a gateway's request; ignored unless leading. The answer is put out by this call or by a later one.
/// @param gateway name of the peer that sent it.
void onRateRequest(rate_authority& authority, const std::string& gateway, const wire::rate_lease_request& request,
    time_point now, authority_output& output);

/// Expires leases, ends recalls and proposes lost reservations again. Call every few milliseconds.
void tickAuthority(rate_authority& authority, time_point now, authority_output& output);

/// @return tokens that could be granted now.
double availableTokens(const rate_account& account);

} // namespace cuminledge::core::limits
