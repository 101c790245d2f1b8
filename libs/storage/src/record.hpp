#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include <wire/consensus_messages.hpp>

namespace cuminledge::storage {

struct hard_state_record {
    std::uint64_t term = 0;
    std::string votedFor;
    MSGPACK_DEFINE(term, votedFor)
};

struct truncate_record {
    std::uint64_t from = 0; ///< entries from this index on are dropped
    MSGPACK_DEFINE(from)
};

/// Alternatives are only ever appended.
using record = std::variant<hard_state_record, truncate_record, wire::log_entry>;

/**
 * In front of each record's payload, in little-endian order: payload length (4 bytes), how many bytes of the segment
 * were known to be synced when it was written (8), checksum of both and the payload (8).
 *
 * A damaged record below the synced size of a later valid one had been durable: that is corruption. Any other damaged
 * record at the end is a write that a crash tore.
 */
constexpr std::size_t recordHeaderBytes = 20;
constexpr std::size_t maxRecordBytes = 16U << 20U;

struct record_view {
    std::string_view payload;
    std::uint64_t syncedBytes = 0;
};

enum class record_state {
    Valid,
    End, ///< nothing follows
    Damaged
};

/// Appends one framed record to `bytes`.
/// @param segment sequence number; together with the offset it keeps stale bytes from passing for a record.
/// @param offset of the record in its segment.
void frameRecord(std::string& bytes, const record& value, std::uint64_t segment, std::uint64_t offset,
    std::uint64_t syncedBytes);

/// Looks at what is at that offset of a segment's content.
record_state readRecord(std::string_view content, std::uint64_t segment, std::uint64_t offset, record_view& view);

/// @return xxh64 of the data.
std::uint64_t checksum(std::string_view data, std::uint64_t seed);

/// @return the checksum, under the seed 0, of the pieces one behind the other.
std::uint64_t checksum(std::initializer_list<std::string_view> parts);

void putNumber(std::string& bytes, std::uint64_t value, std::size_t width);
std::uint64_t getNumber(std::string_view bytes, std::size_t offset, std::size_t width);

} // namespace cuminledge::storage
