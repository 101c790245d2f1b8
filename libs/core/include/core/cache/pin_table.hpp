#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include <base/clock.hpp>

/// The KV cache that an engine holds for programs, as its sidecar knows and orders it.
namespace cuminledge::core::cache {

struct pin_settings {
    bool keepOverPauses = true; ///< otherwise a program's cache goes when its turn ends
    std::chrono::milliseconds maxPause { 120'000 }; ///< a pin is kept for so long, memory permitting
    std::chrono::milliseconds reorderAfter { 1'000 }; ///< a release that is not confirmed is ordered again
    double freeShare = 0.1; ///< of the memory, kept free for running attempts
};

/// One program's cache on this engine.
struct cache_pin {
    std::string account;
    std::int64_t tokens = 0;
    time_point idleSince {}; ///< its last turn ended
    time_point pinnedUntil {}; ///< the pin's lease
    bool turnUnderWay = false;
    bool releasing = false; ///< ordered, not confirmed yet
    bool suspectedEnded = false; ///< unknown to this sidecar: its program's state has to be asked for
    time_point releaseOrderedAt {};
    time_point askedAt {}; ///< whether its program lives
};

/**
 * What the engine holds by program, in whole tokens, with a lease on each pin.
 *
 * A pin outlives a tool pause unless memory is short: then the program that has been idle for longest is the least
 * likely to come back soon. It is released when its program ends, expires or is abandoned. What the engine says through cache events is checked by sequence
 * number; after a gap nothing is assumed and the engine is listed.
 */
struct pin_table {
    pin_settings settings;
    std::int64_t capacityTokens = 0;
    std::int64_t heldTokens = 0;
    std::unordered_map<std::string, cache_pin> pins;
    std::uint64_t nextSequence = 0; ///< expected of the next event; 0: none seen yet
    bool resyncNeeded = true; ///< a sidecar that has just started knows nothing
    std::uint64_t gaps = 0;
    std::uint64_t releasesOrdered = 0;
    std::uint64_t releasesRepeated = 0;
    std::uint64_t expiredPins = 0;
    std::uint64_t pressureReleases = 0;
};

pin_table makePinTable(std::int64_t capacityTokens, const pin_settings& settings = {});

/// A turn of the program is about to run here. Keeps its cache from being released meanwhile.
void onTurnStarted(pin_table& table, const std::string& program, const std::string& account, time_point now);

/// The turn has ended, or never ran after all, and the engine caches so many tokens of the program. Starts the pin's
/// lease. Without it the pin would stay for good.
void onTurnEnded(pin_table& table, const std::string& program, std::int64_t cachedTokens, time_point now);

/// The program is over (ended, expired, abandoned). @return the programs whose cache the engine must be told to
/// release; empty where it holds nothing of it.
std::vector<std::string> releaseProgram(pin_table& table, const std::string& program, time_point now);

/// Call every second or so. @return the programs whose cache the engine must be told to release now: expired leases,
/// pins that make room under pressure, and releases that were ordered before and are not confirmed.
std::vector<std::string> dueReleases(pin_table& table, time_point now);

/// The engine has confirmed a release (answer to the order).
void onReleased(pin_table& table, const std::string& program);

/// @return tokens of the program's history that the engine is known to hold.
std::int64_t cachedTokens(const pin_table& table, const std::string& program);

//------------------------------------------------------------------------------------------------------------------
// Events and listings of the engine
//------------------------------------------------------------------------------------------------------------------

struct cache_event {
    std::uint64_t sequence = 0; ///< from 1, without gaps where none was lost
    std::string program;
    std::int64_t tokens = 0; ///< held now; 0: none any more
};

/// Takes in one event; an old one is ignored. After a gap resyncNeeded is set, and events change nothing until
/// onListing().
void onCacheEvent(pin_table& table, const cache_event& event);

struct cache_listing {
    std::uint64_t sequence = 0; ///< of the last event that the listing includes
    std::vector<std::pair<std::string, std::int64_t>> programs; ///< with the tokens held
};

/// Replaces what is known. @return programs this sidecar knows nothing of: ask read_ended_programs about them, then
/// call onEndedPrograms() and onOpenPrograms().
std::vector<std::string> onListing(pin_table& table, const cache_listing& listing, time_point now);

/// Programs among those asked about that are over. @return what the engine must be told to release.
std::vector<std::string> onEndedPrograms(
    pin_table& table, const std::vector<std::string>& programs, time_point now);

/// Programs among those asked about that live: their pins get a lease.
void onOpenPrograms(pin_table& table, const std::vector<std::string>& programs, time_point now);

/// @return idle programs, the one asked about longest ago first, to be asked about with read_ended_programs: a release
/// message may have been lost. @param idleFor only programs idle for longer.
std::vector<std::string> programsToCheck(
    pin_table& table, time_point now, std::chrono::milliseconds idleFor, std::size_t limit);

//------------------------------------------------------------------------------------------------------------------
// Transfer to another backend server
//------------------------------------------------------------------------------------------------------------------

struct transfer_costs {
    double prefillTokensPerSecond = 8'000;
    double transferTokensPerSecond = 100'000;
    std::chrono::milliseconds setup { 20 };
};

/// @return whether copying the cache of so many tokens takes less time than a new prefill there.
bool isTransferCheaper(std::int64_t tokens, const transfer_costs& costs);

} // namespace cuminledge::core::cache
