#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include <base/clock.hpp>
#include <wire/control_messages.hpp>

/// What this gateway may send to a backend server that limits the requests it takes from all gateways together.
namespace cuminledge::core::forward {

struct allowance_settings {
    std::chrono::milliseconds grantDuration { 1'000 }; ///< without the controllers, an equal share of the limit holds after it
    double minRequestsPerSecond = 0.25; ///< over all gateways: a server that gets no request can't lift its limit
    std::uint32_t defaultGateways = 16; ///< while the number of gateways is not known
};

/// The limit of one server and this gateway's part of it.
struct request_allowance {
    bool isLimited = false;
    double requestsPerSecond = 0; ///< over all gateways
    time_point observedAt {}; ///< of the answer that stated it, or that it is gone; at any gateway
    bool hasBeenLimited = false;
    bool isObserved = false; ///< some answer has told whether the server limits its requests
    std::uint64_t sent = 0; ///< requests sent to the server; a total
    std::uint64_t maxSent = 0; ///< bound of `sent` until the grant ends
    time_point grantEndsAt {};
    time_point nextSendAt {}; ///< after the grant: of the next request under the equal share
};

/// The number of gateways among which a limit is divided, and what draws their phases.
struct limit_division {
    const allowance_settings& settings;
    std::uint32_t gateways; ///< 0: not known
    std::mt19937_64& random;
};

/// Takes the limit that an answer of the server states, in requests a second over all gateways.
void observeLimit(request_allowance& allowance, double requestsPerSecond, time_point now, const limit_division& division);

/// Takes from an answer of the server that it does not limit its requests.
void observeNoLimit(request_allowance& allowance, time_point now);

/// Takes the controllers' grant. What an answer said after the poll was sent goes before it.
void applyGrant(request_allowance& allowance, const wire::server_allowance& grant, time_point pollSentAt, time_point now,
    const limit_division& division);

/// @return whether one more request may be sent now.
bool maySend(const request_allowance& allowance, time_point now);

/// Counts a request that is sent.
void recordSend(request_allowance& allowance, time_point now, const limit_division& division);

/// @return the pause between two requests of one gateway if all have an equal share.
std::chrono::milliseconds equalShareInterval(double requestsPerSecond, const limit_division& division);

} // namespace cuminledge::core::forward
