#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <base/error.hpp>
#include <wire/codec.hpp>

/**
 * The format of snapshots: a list of records. Each is a length (8 bytes, little endian) and an encoded variant
 * alternative, and smaller than the frame limit, so that the decoder's limits allow a snapshot of any size.
 */
namespace cuminledge::core::store {

constexpr std::size_t lengthBytes = 8;
constexpr std::uint32_t formatVersion = 1;
inline const std::string decodeStep = "decode_snapshot";

inline void appendLength(std::string& bytes, std::uint64_t length)
{
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        bytes.push_back(static_cast<char>((length >> (8 * i)) & 0xffU));
    }
}

inline std::uint64_t readLength(std::string_view bytes)
{
    std::uint64_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        length |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    return length;
}

template <typename Record>
void appendRecord(std::string& bytes, const Record& record)
{
    const auto coded = wire::encodeVariant(record);
    appendLength(bytes, coded.size());
    bytes += coded;
}

/// Calls `visit(record)` for each record. @return the first failure of decoding or of `visit`.
template <typename Record, typename Visit>
result<void> readRecords(std::string_view bytes, const Visit& visit)
{
    while (!bytes.empty()) {
        if (bytes.size() < lengthBytes || readLength(bytes) > bytes.size() - lengthBytes) {
            return failure(error_code::Corrupt, "the snapshot ends within a record", decodeStep);
        }
        const auto length = static_cast<std::size_t>(readLength(bytes));
        auto record = wire::decodeVariant<Record>(bytes.substr(lengthBytes, length), decodeStep, "");
        if (!record) {
            return tl::unexpected(record.error());
        }
        if (auto visited = visit(std::move(*record)); !visited) {
            return visited;
        }
        bytes.remove_prefix(lengthBytes + length);
    }
    return {};
}

inline result<void> checkVersion(std::uint32_t version)
{
    if (version != formatVersion) {
        return failure(error_code::Corrupt, "unknown snapshot version, expected 1", decodeStep);
    }
    return {};
}

/// Decodes a snapshot. @param restoreOne restores one alternative of a record: result<void>(State&, Alternative&&).
template <typename Record, typename State, typename Restore>
result<State> decodeRecords(std::string_view bytes, const Restore& restoreOne)
{
    if (bytes.empty()) {
        return failure(error_code::Corrupt, "the snapshot is empty", decodeStep);
    }
    State state;
    const auto read = readRecords<Record>(bytes, [&](Record record) {
        return std::visit([&](auto& alternative) { return restoreOne(state, std::move(alternative)); }, record);
    });
    if (!read) {
        return tl::unexpected(read.error());
    }
    return state;
}

} // namespace cuminledge::core::store
