#include "segment.hpp"

#include <fmt/format.h>

namespace cuminledge::storage {

constexpr const char* segmentPrefix = "log-";
constexpr std::size_t sequenceDigits = 10;

std::string segmentName(std::uint64_t sequence)
{
    return fmt::format("{}{:010}", segmentPrefix, sequence);
}

std::uint64_t segmentSequence(const std::string& name)
{
    const std::string prefix = segmentPrefix;
    if (name.size() != prefix.size() + sequenceDigits || name.compare(0, prefix.size(), prefix) != 0) {
        return 0;
    }
    const std::string digits = name.substr(prefix.size());
    if (digits.find_first_not_of("0123456789") != std::string::npos) {
        return 0;
    }
    return std::stoull(digits);
}

/// @return whether a valid record behind `offset` says that the bytes at `offset` were synced before it was written.
static bool wasSynced(std::string_view content, std::uint64_t sequence, std::uint64_t offset)
{
    record_view view;
    for (std::uint64_t later = offset + 1; later + recordHeaderBytes <= content.size(); ++later) {
        const std::uint64_t syncedBytes = getNumber(content, later + sizeof(std::uint32_t), sizeof(std::uint64_t));
        const bool isCandidate = syncedBytes > offset && syncedBytes <= later;
        if (isCandidate && readRecord(content, sequence, later, view) == record_state::Valid) {
            return true;
        }
    }
    return false;
}

static tl::unexpected<error> damaged(const std::string& path, std::uint64_t offset)
{
    return failure(error_code::Corrupt, fmt::format("damaged record in segment {} at offset {}", path, offset),
        "load_log");
}

result<segment_content> readSegment(
    std::string_view content, std::uint64_t sequence, const std::string& path, bool isLast)
{
    segment_content segment;
    record_view view;
    while (true) {
        const std::uint64_t offset = segment.validBytes;
        const record_state state = readRecord(content, sequence, offset, view);
        if (state == record_state::End) {
            return segment;
        }
        if (state == record_state::Damaged) {
            if (isLast && !wasSynced(content, sequence, offset)) {
                return segment;
            }
            return damaged(path, offset);
        }
        auto value = wire::decodeVariant<record>(view.payload, "load_log", path);
        if (!value) {
            return damaged(path, offset);
        }
        segment.records.push_back(std::move(*value));
        segment.validBytes += recordHeaderBytes + view.payload.size();
    }
}

} // namespace cuminledge::storage
