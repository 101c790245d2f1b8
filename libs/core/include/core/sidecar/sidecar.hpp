#pragma once

#include <random>

#include <core/effect.hpp>
#include <core/event.hpp>
#include <core/identity.hpp>
#include <core/sidecar/sidecar_settings.hpp>

/// The sidecar's part of the reducer: announces its backend server, queues attempts in front of it, runs each at most
/// once, and releases the cache of programs that are over.
namespace cuminledge::core::sidecar {

/// Everything a sidecar knows. Made with identity and settings filled in; process_started begins it.
struct sidecar_state {
    process_identity identity;
    sidecar_settings settings;
    controller_client::client_state controllers;
};

/**
 * Takes one event.
 *
 * @param now monotonic; never goes back from one call to the next.
 * @param random for jitter.
 * @param out gets the effects, in order.
 */
void reduceSidecar(sidecar_state& state, const event& e, time_point now, std::mt19937_64& random, effects& out);

} // namespace cuminledge::core::sidecar
