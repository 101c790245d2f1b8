#pragma once

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include <core/cache/pin_table.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>
#include <core/identity.hpp>
#include <core/scheduling/attempt_queue.hpp>
#include <core/sidecar/attempt_entry.hpp>
#include <core/sidecar/history_store.hpp>
#include <core/sidecar/sidecar_settings.hpp>

/// The sidecar's part of the reducer: announces its backend server, queues attempts in front of it, runs each at most
/// once, and releases the cache of programs that are over.
namespace cuminledge::core::sidecar {

/// The announcement under its lease.
struct announcement_state {
    std::uint64_t request = 0; ///< 0: none is unanswered
    time_point sentAt;
    time_point nextAt;
    bool accepted = false;
    std::chrono::milliseconds lease { 0 };
    std::uint64_t fencingNumber = 0;
    std::uint32_t groupCount = 1;
    bool drainOrdered = false;
    bool leaving = false;
    bool leavingConfirmed = false;
    time_point refuseFrom; ///< while draining or leaving: from then on no attempt is taken
};

/// What is known of the backend server's life.
struct backend_health {
    bool up = true; ///< until it has failed a probe or a connection
    std::uint64_t incarnation = 0; ///< of the engine; 0: not known yet
    bool probing = false;
    std::string probeBody;
    std::uint32_t probeStatus = 0;
    std::uint64_t probes = 0;
    time_point nextProbeAt;
};

/// How an attempt that can't be started any more ended.
enum class closed_kind : std::uint8_t {
    NotRun,
    Ended ///< it ran; its outcome is no longer kept
};

struct sidecar_counters {
    std::uint64_t attemptsTaken = 0;
    std::uint64_t attemptsDoubled = 0;
    std::uint64_t attemptsRefused = 0;
    std::uint64_t attemptsDone = 0;
    std::uint64_t attemptsFailed = 0;
    std::uint64_t attemptsCancelled = 0;
    std::uint64_t backendDeaths = 0;
    std::uint64_t strayMessages = 0;
};

/// Everything a sidecar knows. Made with identity and settings filled in; process_started begins it.
struct sidecar_state {
    process_identity identity;
    sidecar_settings settings;
    controller_client::client_state controllers;
    announcement_state announcement;
    backend_health health;
    std::map<std::string, attempt_entry> attempts;
    std::deque<std::string> finished; ///< oldest first
    std::size_t finishedBytes = 0; ///< of their answers
    std::unordered_map<std::string, closed_kind> closed; ///< never forgotten while the process lives
    scheduling::attempt_queue queue;
    std::deque<std::string> suspects; ///< wait to run alone
    std::set<std::string> running;
    bool suspectRunning = false;
    std::set<std::string> judged; ///< wait for a probe's verdict
    std::unordered_map<std::uint64_t, std::string> attemptOfRead; ///< by controller request
    history_store histories;
    cache::pin_table pins;
    std::set<std::string> endedKnown; ///< programs whose release was ordered and that are not to be pinned again
    std::map<std::uint64_t, std::vector<std::string>> endedReads; ///< controller request to the programs asked about
    bool listingCache = false;
    std::string listingBody;
    std::uint32_t listingStatus = 0;
    time_point nextCacheCheckAt;
    time_point nextListingAt;
    time_point nextSweepAt;
    std::set<std::string> gateways; ///< connected peers that are not controllers
    bool shuttingDown = false;
    bool stopped = false;
    time_point shutdownBy;
    sidecar_counters counters;
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
