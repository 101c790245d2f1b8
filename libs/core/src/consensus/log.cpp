#include <algorithm>
#include <cassert>
#include <utility>

#include "internal.hpp"

namespace cuminledge::core::consensus {

std::uint64_t lastIndex(const replica& r)
{
    return r.log.firstIndex + r.log.entries.size() - 1;
}

std::uint64_t lastTerm(const replica& r)
{
    return r.log.entries.empty() ? r.log.previousTerm : r.log.entries.back().term;
}

std::optional<std::uint64_t> termAt(const replica& r, std::uint64_t index)
{
    if (index + 1 == r.log.firstIndex) {
        return r.log.previousTerm;
    }
    if (index < r.log.firstIndex || index > lastIndex(r)) {
        return std::nullopt;
    }
    return entryAt(r, index).term;
}

const wire::log_entry& entryAt(const replica& r, std::uint64_t index)
{
    assert(index >= r.log.firstIndex && index <= lastIndex(r));
    return r.log.entries[index - r.log.firstIndex];
}

bool hasValidConfiguration(const wire::log_entry& entry)
{
    if (entry.kind != wire::log_entry_kind::Configuration) {
        return true;
    }
    const auto configuration = wire::decodeStruct<wire::group_configuration>(entry.payload, "configuration", {});
    return configuration && !configuration->members.empty();
}

void recordConfiguration(replica& r, const wire::log_entry& entry)
{
    auto configuration = wire::decodeStruct<wire::group_configuration>(entry.payload, "configuration", r.id);
    if (configuration) {
        r.configurations.push_back({ entry.index, std::move(*configuration) });
    }
}

void appendEntry(replica& r, wire::log_entry entry)
{
    assert(entry.index == lastIndex(r) + 1);
    if (entry.kind == wire::log_entry_kind::Configuration) {
        recordConfiguration(r, entry);
    }
    pendingWrite(r).entries.push_back(entry);
    r.log.entries.push_back(std::move(entry));
}

void truncateLog(replica& r, std::uint64_t from)
{
    assert(from > r.commitIndex && from >= r.log.firstIndex);
    while (lastIndex(r) >= from) {
        r.log.entries.pop_back();
    }
    while (!r.configurations.empty() && r.configurations.back().index >= from) {
        r.configurations.pop_back();
    }
    r.durableIndex = std::min(r.durableIndex, from - 1);
    for (auto& write : r.writesInFlight) {
        write.lastIndex = std::min(write.lastIndex, from - 1);
    }
    auto& write = pendingWrite(r);
    while (!write.entries.empty() && write.entries.back().index >= from) {
        write.entries.pop_back();
    }
    write.truncateFrom = write.truncateFrom == 0 ? from : std::min(write.truncateFrom, from);
}

std::uint64_t appendAsLeader(replica& r, wire::log_entry_kind kind, std::string payload)
{
    const std::uint64_t index = lastIndex(r) + 1;
    appendEntry(r, { index, r.term, kind, std::move(payload) });
    return index;
}

std::string configurationAt(const replica& r, std::uint64_t index)
{
    const auto after = std::find_if(
        r.configurations.begin(), r.configurations.end(), [index](const auto& c) { return c.index > index; });
    return after == r.configurations.begin() ? wire::encodeStruct(wire::group_configuration {})
                                             : wire::encodeStruct(std::prev(after)->configuration);
}

void commitUpTo(replica& r, std::uint64_t index, replica_output& out)
{
    assert(index <= lastIndex(r));
    while (r.commitIndex < index) {
        ++r.commitIndex;
        ++r.counters.entriesCommitted;
        out.committed.push_back(entryAt(r, r.commitIndex));
        r.bytesSinceSnapshot += out.committed.back().payload.size();
    }
}

} // namespace cuminledge::core::consensus
