#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <wire/codec.hpp>

namespace cuminledge::core::store {

/**
 * Remembers when each object was last changed, so that a reader that holds revision R can be sent what changed since.
 * Holds one entry an object, not one a change; the cost of catching up does not grow with the changes missed.
 */
struct change_index {
    std::uint64_t revision = 0; ///< of the latest change
    std::uint64_t floor = 0; ///< a reader below it needs everything: objects have been forgotten since
    std::map<std::string, std::uint64_t> revisionOf; ///< by object id
    std::map<std::uint64_t, std::string> byRevision; ///< the reverse; derived, not coded
};

/// Notes a change of the object. @return its revision.
std::uint64_t touch(change_index& index, const std::string& id);

/// Drops the object's entry; readers that have not seen its last change need everything from now on.
void forget(change_index& index, const std::string& id);

/// @return ids changed after `revision`, oldest change first; nothing where the reader needs everything.
std::optional<std::vector<std::string>> changedSince(const change_index& index, std::uint64_t revision);

} // namespace cuminledge::core::store
