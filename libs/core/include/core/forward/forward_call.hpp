#pragma once

#include <cstdint>
#include <set>
#include <string>

#include <base/clock.hpp>
#include <core/event.hpp>
#include <core/forward/event_splitter.hpp>
#include <wire/route_table.hpp>

namespace cuminledge::core::forward {

enum class call_step : std::uint8_t {
    Rate, ///< waits for a token of its account
    Prepare, ///< waits for the budget or the earlier turns
    Run, ///< a backend server has it
    Retain ///< answered; the turn is not durable yet
};

/// @return "rate", "prepare", "run" or "retain".
const char* toString(call_step step);

/// What has come of the answer.
struct answer_progress {
    bool hasHead = false;
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::int64_t length = -1;
    std::string body; ///< held back until it is whole, where the request could still run elsewhere
    bool hasBegun = false; ///< the caller has got the head
    event_splitter events;
    std::string lastEvent; ///< id of the last event passed on
    std::int64_t eventCount = 0; ///< passed on
    std::string output; ///< data of all events passed on, each with a line feed
};

/// One caller's request from its arrival to the end of its answer.
struct forward_call {
    exchange_id exchange = 0;
    bool hasCaller = true; ///< false: the caller has gone
    forward_request request;
    wire::route_rule route;
    std::string account;
    call_step step = call_step::Rate;
    time_point arrived {};
    time_point expiresAt {}; ///< the caller's or the route's limit, whichever comes first
    bool expiryIsCallers = false;
    time_point rateRetryAt {}; ///< asks for a token again then, if it is listed in forwarder_state::rateRetries

    bool hasReservation = false; ///< of tokens; to be settled
    std::uint64_t reserveRequest = 0; ///< under way at the controllers; 0: none
    std::uint64_t chainRequest = 0;
    std::uint64_t retainRequest = 0;
    std::string chain; ///< text of the earlier turns
    bool isChainRead = false; ///< from its group, as it was not held here

    std::string service; ///< chosen by the route's weights
    std::string server; ///< where it runs; empty: nowhere
    std::string upstream; ///< id of the upstream request
    std::set<std::string> tried; ///< servers that have had it
    std::uint32_t sends = 0;
    std::uint32_t runs = 0; ///< sends that may have run
    answer_progress answer;
};

} // namespace cuminledge::core::forward
