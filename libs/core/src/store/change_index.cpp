#include <core/store/change_index.hpp>

#include <algorithm>

namespace cuminledge::core::store {

std::uint64_t touch(change_index& index, const std::string& id)
{
    const auto known = index.revisionOf.find(id);
    if (known != index.revisionOf.end()) {
        index.byRevision.erase(known->second);
    }
    ++index.revision;
    index.revisionOf[id] = index.revision;
    index.byRevision[index.revision] = id;
    return index.revision;
}

void forget(change_index& index, const std::string& id)
{
    const auto known = index.revisionOf.find(id);
    if (known == index.revisionOf.end()) {
        return;
    }
    index.floor = std::max(index.floor, known->second);
    index.byRevision.erase(known->second);
    index.revisionOf.erase(known);
}

std::optional<std::vector<std::string>> changedSince(const change_index& index, std::uint64_t revision)
{
    if (revision < index.floor || revision > index.revision) {
        return std::nullopt;
    }
    std::vector<std::string> ids;
    for (auto entry = index.byRevision.upper_bound(revision); entry != index.byRevision.end(); ++entry) {
        ids.push_back(entry->second);
    }
    return ids;
}

} // namespace cuminledge::core::store
