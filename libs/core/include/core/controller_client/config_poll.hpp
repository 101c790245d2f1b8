#pragma once

#include <chrono>
#include <cstdint>

#include <base/clock.hpp>
#include <core/controller_client/controller_client.hpp>
#include <core/effect.hpp>
#include <wire/control_messages.hpp>

/// Asks the leader of group 0 again and again for what has changed in the configuration.
namespace cuminledge::core::controller_client {

/// When the next poll is due and which one is under way.
struct poll_state {
    std::uint64_t request = 0; ///< under way; 0: none
    time_point sentAt {};
    time_point nextAt {};
};

/// @return whether pollConfiguration() would send a poll now.
bool isPollDue(const poll_state& poll, std::chrono::milliseconds interval, time_point now);

/**
 * Sends a poll when it is due.
 *
 * @param held what the process holds; its request number is set here.
 */
void pollConfiguration(client_state& client, poll_state& poll, wire::config_poll held,
    std::chrono::milliseconds interval, time_point now, effects& out);

/// The next poll is due at once, but no sooner than a short pause after the last one. A poll under way is waited for.
void hastenPoll(poll_state& poll, time_point now);

/// A controller is gone, maybe the one that was asked: polls another at the next call of pollConfiguration().
void repollConfiguration(poll_state& poll, time_point now);

/// @return whether the update answers the poll under way and holds a configuration, rather than a redirection.
bool acceptUpdate(client_state& client, poll_state& poll, const std::string& peer, const wire::config_update& update,
    std::chrono::milliseconds interval, time_point now);

} // namespace cuminledge::core::controller_client
