#pragma once

#include <random>

#include <core/effect.hpp>
#include <core/event.hpp>
#include <core/gateway/gateway_settings.hpp>
#include <core/identity.hpp>

/// The gateway's part of the reducer: callers' HTTP interface, authentication, and the path of a call from its
/// admission to its answer.
namespace cuminledge::core::gateway {

/// Everything a gateway knows. Made with identity and settings filled in; process_started begins it.
struct gateway_state {
    process_identity identity;
    gateway_settings settings;
    controller_client::client_state controllers;
};

/**
 * Takes one event.
 *
 * @param now monotonic; never goes back from one call to the next.
 * @param random for ids and jitter.
 * @param out gets the effects, in order.
 */
void reduceGateway(gateway_state& state, const event& e, time_point now, std::mt19937_64& random, effects& out);

} // namespace cuminledge::core::gateway
