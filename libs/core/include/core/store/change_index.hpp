#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <wire/codec.hpp>

namespace cuminledge::core::store {

/**
 * Records the revision at which each object was last changed, so that a reader at revision R can be sent only the
 * objects changed since. The index has one entry per object, not per change, so the cost of catching up does not grow
 * with the number of missed changes.
 */
struct change_index {
    std::uint64_t revision = 0; ///< of the latest change
    std::uint64_t floor = 0; ///< a reader below this revision needs all objects: some were removed since
    std::map<std::string, std::uint64_t> revisionOf; ///< by object id
    std::map<std::uint64_t, std::string> byRevision; ///< the inverse of revisionOf; derived, not encoded
};

/// Records a change of the object. @return the revision of the change.
std::uint64_t touch(change_index& index, const std::string& id);

/// Removes the object's entry. Readers that have not seen its last change need all objects from now on.
void forget(change_index& index, const std::string& id);

/// @return the ids changed after `revision`, oldest change first; nothing if the reader needs all objects.
std::optional<std::vector<std::string>> changedSince(const change_index& index, std::uint64_t revision);

} // namespace cuminledge::core::store
