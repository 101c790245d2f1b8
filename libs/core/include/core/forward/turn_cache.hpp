#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <base/clock.hpp>
#include <wire/commands.hpp>

/// Caches the texts of retained turns so that a turn's chain need not be read from its group.
namespace cuminledge::core::forward {

struct cached_turn {
    wire::chain_link link;
    std::uint64_t lastUse = 0;
    time_point keptUntil {}; ///< its group retains the turn and its chain until then at least
};

/// LRU cache of turns. A turn's text never changes, but an entry may outlive the turn in its group: see keptUntil.
struct turn_cache {
    std::size_t maxBytes = 24U << 20U;
    std::size_t bytes = 0;
    std::uint64_t nextUse = 1;
    std::unordered_map<std::string, cached_turn> turns; ///< by account and turn id
    std::map<std::uint64_t, std::string> byLastUse; ///< keys of turns by lastUse
};

struct chain_text {
    bool isComplete = false;
    std::string text; ///< oldest turn first; empty unless complete
    std::string missingTurn; ///< newest turn of the chain that is not cached; empty if complete
};

/// @return until when the group of the account retains the turn with its chain, as far as is known; the clock's start if
///         nothing is known.
time_point keptUntil(const turn_cache& cache, const std::string& account, const std::string& turn);

/// Notes that the group retains the turn with its chain until then. Does nothing for a turn that is not cached.
void extendKept(turn_cache& cache, const std::string& account, const std::string& turn, time_point until);

/// Adds a turn and evicts the least recently used ones beyond maxBytes.
void put(turn_cache& cache, const std::string& account, wire::chain_link link);

/// @return the text of the chain that ends at the turn; an empty turn id stands for an empty chain.
chain_text assembleChain(turn_cache& cache, const std::string& account, const std::string& turn);

/// @return whether all turns of the chain that ends at the turn are cached.
bool holdsChain(const turn_cache& cache, const std::string& account, const std::string& turn);

} // namespace cuminledge::core::forward
