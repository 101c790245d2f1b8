#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <base/error.hpp>
#include <storage/log_store.hpp>

#include "record.hpp"

namespace cuminledge::storage {

/// @return the segment's file name, e.g. "log-0000000001".
std::string segmentName(std::uint64_t sequence);

/// @return the sequence number in a segment's file name; 0 if it is another file's.
std::uint64_t segmentSequence(const std::string& name);

/// A segment's records, checked.
struct segment_content {
    std::vector<record> records;
    std::uint64_t validBytes = 0; ///< less than the file's size if its tail is torn
};

/**
 * Reads a segment.
 *
 * @param path for errors.
 * @param isLast only the last segment may have a torn tail: the others were synced whole.
 */
result<segment_content> readSegment(
    std::string_view content, std::uint64_t sequence, const std::string& path, bool isLast);

} // namespace cuminledge::storage
