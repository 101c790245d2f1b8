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
 * The controller's part of rate and burst: one authority for each account, on the leader of the account's group.
 *
 * Tokens that are leased and may not have been spent yet count against the burst: level + outstanding <= burst at all
 * times, so that admitted <= rate * length + burst over every interval. Tokens are granted only out of reservations
 * that a quorum holds; each one records the bucket's level and all that may be outstanding, and a new leader counts
 * that as spent.
 */
namespace cuminledge::core::limits {

/// One gateway's leased tokens of one account.
struct lease_session {
    std::uint64_t session = 0;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastLease = 0; ///< the last grant; until the gateway names it, nobody knows that it came
    std::int64_t lastTokens = 0; ///< of the last grant
    bool answered = false; ///< whether the last request has had its answer
    wire::rate_lease_grant lastGrant;
    std::int64_t spent = 0; ///< as reported, in the session
    std::int64_t returned = 0;
    std::int64_t outstanding = 0; ///< granted and neither reported as spent nor returned
    std::int64_t idle = 0; ///< of outstanding: granted beyond the calls that waited
    time_point expiry {};
    time_point recalledAt {};
    bool recalled = false;
};

/// A request that waits for tokens, a reservation or recalled leases.
struct pending_ask {
    std::string gateway;
    std::uint64_t session = 0;
    std::uint64_t request = 0;
    std::int64_t wanted = 0;
    std::int64_t waiting = 0;
    time_point waitingSince {}; ///< the oldest of the gateway's waiting calls
    bool recallSent = false;
};

struct reservation_under_way {
    std::uint64_t sequence = 0;
    std::int64_t tokens = 0;
    time_point proposedAt {};
};

struct rate_account {
    spend_ledger ledger;
    bool limitKnown = false; ///< a manifest has named the account
    bool hasRecord = false; ///< a reservation has been applied
    double inherited = 0; ///< outstanding under earlier leaders
    time_point inheritedUntil {};
    std::int64_t recordLevel = 0; ///< of the last reservation applied
    std::int64_t ahead = 0; ///< reserved and not granted yet
    time_point reservedAt {}; ///< when the reservation in force was proposed
    std::uint64_t lastSequence = 0;
    std::vector<reservation_under_way> underWay;
    std::map<std::string, lease_session> sessions; ///< by gateway
    std::deque<pending_ask> pending;
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

/// What the caller has to do after a call. All lists are in order.
struct authority_output {
    std::vector<std::pair<std::string, wire::rate_lease_grant>> grants; ///< by gateway
    std::vector<std::pair<std::string, wire::rate_lease_recall>> recalls;
    std::vector<wire::reserve_rate> reservations; ///< to propose to the group's log
};

/// Adds an account or changes its limit; a manifest was accepted. A new account starts with a full bucket.
void setAccountLimit(rate_authority& authority, const std::string& account, const rate_limit& limit, time_point now);

/// The account is in no manifest any more. Nothing is granted for it.
void removeAccount(rate_authority& authority, const std::string& account);

/// On every replica, for each reservation that the state machine applies, and for the last one of each account after
/// a snapshot was loaded.
void onReservationApplied(
    rate_authority& authority, const wire::reserve_rate& reservation, time_point now, authority_output& output);

/// This replica leads the group and has applied all that earlier leaders committed.
void startLeading(rate_authority& authority, std::uint64_t term, time_point now);

/// This replica does not lead any more, or can't be sure. Nothing is granted until startLeading().
void stopLeading(rate_authority& authority, time_point now);

/// A gateway's request. Only while leading. The answer comes now or from a later call.
/// @param gateway the name of the peer that sent it.
void onRateRequest(rate_authority& authority, const std::string& gateway, const wire::rate_lease_request& request,
    time_point now, authority_output& output);

/// Call every few milliseconds: expires leases, ends recalls, proposes lost reservations anew.
void tickAuthority(rate_authority& authority, time_point now, authority_output& output);

/// @return tokens that could be granted now, for dumps and tests. Does not change anything.
double availableTokens(const rate_account& account);

} // namespace cuminledge::core::limits
