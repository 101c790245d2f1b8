#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <base/clock.hpp>
#include <core/controller_client/quarantine_view.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>
#include <core/forward/server_table.hpp>
#include <core/recent_set.hpp>

/**
 * Finds the requests that crash the backend servers that run them.
 *
 * A lost answer alone proves nothing: the server may live on. The gateway therefore connects to the server once more.
 * Only a server that has ended counts, once for each of its starts, and is reported to group 0, which adds up what all
 * gateways report. A request that completes anywhere did not crash its server, and clears its record.
 */
namespace cuminledge::core::forward {

/// A request whose exchange with a server ended without its answer.
struct crash_suspect {
    std::string fingerprint;
    std::string account;
};

/// A request and the server that ended while it ran it.
struct crash_report {
    crash_suspect suspect;
    server_start start;
};

enum class crash_check_step : std::uint8_t {
    Due, ///< the server is to be connected to
    Asked,
    Unreachable, ///< the server may have crashed or be cut off: the controllers' list of servers decides
    Accepting, ///< the server accepts connections, but may have started again
    Confirmed ///< the server has ended; counts here until the controllers' record is certain to be known
};

/// @return "due", "asked", "unreachable", "accepting" or "confirmed".
const char* toString(crash_check_step step);

/// Finds out whether a server has ended.
struct crash_check {
    std::string address;
    crash_check_step step = crash_check_step::Due;
    time_point stepEndsAt {};
    time_point lastAskedAt {};
    std::vector<crash_suspect> suspects;
};

struct crash_tracker_settings {
    std::uint32_t maxCrashes = 3; ///< a request that has crashed so many servers is refused
    std::chrono::milliseconds checkDelay { 50 }; ///< a process that ends may close its listener after its connections
    std::chrono::milliseconds checkInterval { 1'000 }; ///< between two connections to one server
    std::chrono::milliseconds withdrawalTimeout { 10'000 }; ///< until an ended server is missing from the list
    std::chrono::milliseconds restartTimeout { 3'000 }; ///< until a server that has started again has announced itself
    std::chrono::milliseconds confirmedRetention { 5'000 };
    std::size_t maxChecks = 256; ///< under way; further lost answers are passed over
};

struct crash_tracker {
    crash_tracker_settings settings;
    controller_client::quarantine_view quarantine;
    std::map<server_start, crash_check> checks;
    recent_set completed; ///< fingerprints of requests that were answered whole
};

/// Records that a request was sent to the server and that the answer was lost or did not come in time.
void recordLostAnswer(crash_tracker& tracker, const server_start& start, const std::string& address,
    const crash_suspect& suspect, time_point now);

/// Records that the request was answered whole.
/// @return whether the controllers suspect it, so that its record must be cleared.
bool recordCompletion(crash_tracker& tracker, const std::string& fingerprint);

/// @return whether the request may be sent to a server: false once it has crashed too many of them.
bool mayRun(const crash_tracker& tracker, const std::string& fingerprint);

/// @return the servers to connect to now.
std::vector<check_server> takeDueChecks(crash_tracker& tracker, time_point now);

/// Takes the outcome of a connection attempt. @return the suspects, if the server has ended.
std::vector<crash_report> onServerChecked(crash_tracker& tracker, const server_checked& outcome, time_point now);

/// Decides the checks that wait for the list of servers. @return the suspects at servers that have ended.
std::vector<crash_report> resolveChecks(crash_tracker& tracker, const server_table& servers, time_point now);

/// Applies the controllers' records. @return the suspects in it that have completed at this gateway.
std::vector<std::string> applyUpdate(crash_tracker& tracker, const wire::config_update& update);

} // namespace cuminledge::core::forward
