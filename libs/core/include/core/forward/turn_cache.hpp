#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <base/clock.hpp>
#include <wire/commands.hpp>

/// Caches the texts of retained turns so that a turn's chain need not be read from its group.
namespace cuminledge::core::forward {

/// Where a cached turn is found.
struct cached_turn {
    std::uint64_t segment = 0;
    std::size_t position = 0; ///< in the segment
    time_point keptUntil {}; ///< its group retains the turn and its chain until then at least
};

/// Turns of which each continues the one before, oldest first. A chain without branches is one segment, so that its text
/// is assembled without looking up each of its turns.
struct chain_segment {
    std::string previous; ///< the turn that the first one continues, which may not be cached; empty at the start of a chain
    std::vector<std::string> keys; ///< of the turns in turn_cache::turns
    std::vector<std::string> texts; ///< of the turns
    std::size_t bytes = 0; ///< of the texts, with the cache's overhead for each turn
    std::uint64_t lastUse = 0;
};

/// LRU cache of turns. A turn's text never changes, but an entry may outlive the turn in its group: see keptUntil. Whole
/// segments are evicted.
struct turn_cache {
    std::size_t maxBytes = 24U << 20U;
    std::size_t bytes = 0;
    std::uint64_t nextNumber = 1; ///< of segments and of uses
    std::unordered_map<std::string, cached_turn> turns; ///< by account and turn id
    std::unordered_map<std::uint64_t, chain_segment> segments; ///< by number
    std::map<std::uint64_t, std::uint64_t> byLastUse; ///< numbers of segments by lastUse
};

/// The end of a chain, as far back as it is cached.
struct chain_text {
    bool isComplete = false; ///< the text begins with the first turn of the chain
    std::string text; ///< oldest turn first
    std::size_t bytes = 0; ///< of the text, with store::turnOverheadBytes for each turn
    std::string missingTurn; ///< newest turn of the chain that is not cached; empty if complete
};

/// No limit but the cache's own size.
constexpr std::size_t unlimitedChain = SIZE_MAX;

/// @return until when the group of the account retains the turn with its chain, as far as is known; the clock's start if
///         nothing is known.
time_point keptUntil(const turn_cache& cache, const std::string& account, const std::string& turn);

/// Notes that the group retains the turn with its chain until then. Does nothing for a turn that is not cached.
void extendKept(turn_cache& cache, const std::string& account, const std::string& turn, time_point until);

/// Adds a turn and evicts the least recently used ones beyond maxBytes. The turns of a chain are added oldest first.
void put(turn_cache& cache, const std::string& account, wire::chain_link link);

/// Assembles the cached part of a chain.
///
/// @param turn the newest of the chain; empty for an empty chain.
/// @param maxBytes if chain_text::bytes is over it, the text is left empty.
chain_text assembleChain(turn_cache& cache, const std::string& account, const std::string& turn,
    std::size_t maxBytes = unlimitedChain);

/// @return whether all turns of the chain that ends at the turn are cached.
bool holdsChain(const turn_cache& cache, const std::string& account, const std::string& turn);

} // namespace cuminledge::core::forward
