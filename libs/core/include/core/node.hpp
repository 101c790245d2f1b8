#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string_view>

#include <base/clock.hpp>
#include <core/controller/controller.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>
#include <core/forward/forwarder.hpp>
#include <core/gateway/gateway.hpp>
#include <core/identity.hpp>
#include <core/sidecar/sidecar.hpp>

namespace cuminledge::core {

/**
 * The whole state of a process: one plain struct for the role it plays. Exactly one of the roles is set.
 *
 * @see reduce
 */
struct node {
    process_identity identity;
    std::mt19937_64 random;
    std::unique_ptr<gateway::gateway_state> gateway;
    std::unique_ptr<forward::forwarder_state> forwarder;
    std::unique_ptr<sidecar::sidecar_state> sidecar;
    std::unique_ptr<controller::controller_state> controller;
};

/**
 * The one reducer: what follows from an event. Reads no clock, socket, file or random device; the same events at the
 * same times on the same first state give the same effects.
 *
 * @param now not earlier than that of the call before.
 * @param out gets the effects appended, in the order they must be carried out.
 */
void reduce(node& self, const event& happened, time_point now, effects& out);

/// What a replay found.
struct replay_report {
    std::uint64_t events = 0;
    std::uint64_t differences = 0;
    std::uint64_t firstDifference = 0; ///< number of the first event whose effects differ, from 1; 0: none
};

/**
 * Replays a recorded trace.
 *
 * @param self the first state of the recorded process: made from the same settings.
 * @param trace the bytes of the trace file. A record cut off at the end is passed over, as a killed process leaves one.
 * @return an error where a whole record can't be read.
 */
result<replay_report> replayTrace(node& self, std::string_view trace);

} // namespace cuminledge::core
