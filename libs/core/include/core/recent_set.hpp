#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_set>
#include <utility>

namespace cuminledge::core {

/**
 * Remembers the strings that were inserted last: at least `capacity` of them, at most twice as many. It keeps 64-bit
 * hashes, so a string may be taken for another one with a probability of about size / 2^64.
 */
struct recent_set {
    std::size_t capacity = 8'192;
    std::unordered_set<std::size_t> current;
    std::unordered_set<std::size_t> previous; ///< the generation before `current`
};

inline void insert(recent_set& set, const std::string& value)
{
    if (set.current.size() >= set.capacity) {
        set.previous = std::exchange(set.current, {});
    }
    set.current.insert(std::hash<std::string> {}(value));
}

inline bool contains(const recent_set& set, const std::string& value)
{
    const auto hash = std::hash<std::string> {}(value);
    return set.current.contains(hash) || set.previous.contains(hash);
}

} // namespace cuminledge::core
