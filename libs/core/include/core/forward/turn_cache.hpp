#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <wire/commands.hpp>

/// Texts of retained turns that a gateway has lately seen, so that a turn's chain need not be read from its group.
namespace cuminledge::core::forward {

struct cached_turn {
    wire::chain_link link;
    std::uint64_t lastUse = 0;
};

/// Made empty. A turn's text never changes, so an entry is never out of date.
struct turn_cache {
    std::size_t maxBytes = 24U << 20U;
    std::size_t bytes = 0;
    std::uint64_t nextUse = 1;
    std::unordered_map<std::string, cached_turn> turns; ///< by account and turn
    std::map<std::uint64_t, std::string> byUse; ///< the reverse of lastUse
};

struct chain_text {
    bool isWhole = false;
    std::string text; ///< oldest turn first; where it is whole
    std::string missing; ///< the newest turn of the chain that is not held; where it is not whole
};

/// Adds a turn; the turns used longest ago make place.
void put(turn_cache& cache, const std::string& account, wire::chain_link link);

/// @return the text of the chain that ends at the turn; an empty turn is the end of an empty chain.
chain_text collect(turn_cache& cache, const std::string& account, const std::string& turn);

/// @return whether the chain that ends at the turn is held whole.
bool holdsChain(const turn_cache& cache, const std::string& account, const std::string& turn);

} // namespace cuminledge::core::forward
