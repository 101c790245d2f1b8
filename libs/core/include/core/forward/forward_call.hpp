#pragma once

#include <cstdint>
#include <set>
#include <string>

#include <base/clock.hpp>
#include <core/event.hpp>
#include <core/forward/event_splitter.hpp>
#include <core/forward/hedging.hpp>
#include <wire/commands.hpp>
#include <wire/route_table.hpp>

namespace cuminledge::core::forward {

enum class call_step : std::uint8_t {
    Confirm, ///< waits until the controllers confirm the configuration, from which it would be refused or resumed
    Rate, ///< waits for a rate token of its account
    Prepare, ///< waits for its budget reservation or the earlier turns
    Room, ///< waits until an engine has room
    Run, ///< sent to a backend server
    Retain ///< answered, but the turn is not durable yet
};

/// @return "confirm", "rate", "prepare", "room", "run" or "retain".
const char* toString(call_step step);

/// The part of the answer received so far.
struct answer_progress {
    bool hasHead = false;
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::int64_t length = -1;
    std::string body; ///< buffered until it is complete, as long as the request could still run on another server
    bool hasBegun = false; ///< the head has been sent to the caller
    event_splitter events;
    std::string lastEvent; ///< id of the last event forwarded
    time_point firstEventAt {}; ///< of this server
    time_point lastEventAt {};
    std::int64_t serverEvents = 0; ///< events of this server
    std::int64_t eventCount = 0; ///< events forwarded
    std::string output; ///< data of all forwarded events, each followed by a line feed
};

/// @return the size of what the gateway keeps of the answer.
std::size_t heldBytes(const answer_progress& answer);

/// The record of a stream's origin in the group of its account, for callers that resume the stream.
struct origin_record {
    std::uint64_t request = 0; ///< pending controller request; 0: none
    std::uint32_t sequence = 0; ///< of the last record sent; 0: none
    std::string softwareVersion; ///< in the last record sent
    bool isAwaited = false; ///< the call is sent to a server once the record is confirmed
};

/// State of one caller's request from its arrival to the end of its answer.
struct forward_call {
    exchange_id exchange = 0;
    bool hasCaller = true; ///< false: the caller has disconnected
    forward_request request;
    wire::route_rule route;
    std::string account;
    std::string fingerprint; ///< equal for all tries of the caller; see request_fingerprint.hpp
    call_step step = call_step::Rate;
    time_point arrived {};
    time_point expiresAt {}; ///< the caller's deadline or the route's timeout, whichever comes first
    time_point confirmSince {}; ///< in step Confirm: a poll that was sent from then on confirms
    bool isExpiryFromCaller = false; ///< expiresAt is the caller's deadline
    time_point rateRetryAt {}; ///< next request for a rate token, if listed in forwarder_state::rateRetries

    bool hasReservation = false; ///< holds a token reservation that must be settled
    std::uint64_t reserveRequest = 0; ///< pending controller request; 0: none
    std::uint64_t chainRequest = 0;
    time_point chainReadAt {}; ///< when chainRequest was sent
    std::uint64_t holdRequest = 0;
    std::uint64_t retainRequest = 0;
    time_point retainSentAt {};
    std::string chain; ///< text of the earlier turns, oldest first; while it is read, of the newest of them
    std::size_t chainBytes = 0; ///< of `chain`, with store::turnOverheadBytes for each turn
    std::string missingTurn; ///< newest of the earlier turns that is still to be read; empty: none
    std::uint32_t chainReads = 0; ///< number of parts of the chain read from its group because the turn cache did not hold them

    std::string service; ///< chosen by the route's weights, or the service that began the resumed stream
    wire::stream_origin origin; ///< of the stream, once an event of it is with the caller; no service: none is
    std::uint64_t originRequest = 0; ///< pending read of the origin of the resumed stream; 0: none
    origin_record originRecord;
    std::string server; ///< server of the current or last attempt; empty: not sent yet
    std::string serverAddress; ///< of that server at the time of the send
    std::string softwareVersion; ///< of that server at the time of the send
    std::uint64_t serverIncarnation = 0; ///< of that server at the time of the send
    std::string upstream; ///< id of the upstream request; empty: none under way
    forward::hedge hedge; ///< second send of an idempotent call, while both are under way
    std::set<std::string> triedServers; ///< servers that the request was sent to
    bool startsProgram = false; ///< no request of its program was sent to a server through this gateway before
    time_point roomAwaitedAt {}; ///< in step Room: since when
    time_point sentAt {}; ///< of the last send to a server
    std::uint32_t sends = 0;
    std::uint32_t possibleRuns = 0; ///< sends that may have run
    answer_progress answer;
    std::size_t accountedBytes = 0; ///< of the answer, in forwarder_state::heldAnswerBytes
    bool isCallerBlocked = false; ///< much of the answer waits for the caller to read; the server is not read meanwhile
};

} // namespace cuminledge::core::forward
