#include "record.hpp"

#include <memory>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cuminledge::storage {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t numberBytes = 8;
constexpr std::size_t checksumOffset = lengthBytes + numberBytes;

std::uint64_t checksum(std::string_view data, std::uint64_t seed)
{
    return XXH64(data.data(), data.size(), seed);
}

std::uint64_t checksum(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<XXH64_state_t, XXH_errorcode (*)(XXH64_state_t*)> state(XXH64_createState(), &XXH64_freeState);
    XXH64_reset(state.get(), 0);
    for (const auto part : parts) {
        XXH64_update(state.get(), part.data(), part.size());
    }
    return XXH64_digest(state.get());
}

void putNumber(std::string& bytes, std::uint64_t value, std::size_t width)
{
    for (std::size_t i = 0; i < width; ++i) {
        bytes.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
    }
}

std::uint64_t getNumber(std::string_view bytes, std::size_t offset, std::size_t width)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < width; ++i) {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    }
    return value;
}

static std::uint64_t recordChecksum(
    std::string_view head, std::string_view payload, std::uint64_t segment, std::uint64_t offset)
{
    constexpr std::uint64_t segmentSeed = 0x9e3779b97f4a7c15U;
    return checksum(payload, checksum(head, segment * segmentSeed + offset));
}

void frameRecord(
    std::string& bytes, const record& value, std::uint64_t segment, std::uint64_t offset, std::uint64_t syncedBytes)
{
    const std::string payload = wire::encodeVariant(value);
    std::string head;
    putNumber(head, payload.size(), lengthBytes);
    putNumber(head, syncedBytes, numberBytes);
    bytes += head;
    putNumber(bytes, recordChecksum(head, payload, segment, offset), numberBytes);
    bytes += payload;
}

record_state readRecord(std::string_view content, std::uint64_t segment, std::uint64_t offset, record_view& view)
{
    const std::string_view rest = content.substr(offset);
    if (rest.empty()) {
        return record_state::End;
    }
    if (rest.size() < recordHeaderBytes) {
        return record_state::Damaged;
    }
    const std::uint64_t length = getNumber(rest, 0, lengthBytes);
    view.syncedBytes = getNumber(rest, lengthBytes, numberBytes);
    if (length > maxRecordBytes || length > rest.size() - recordHeaderBytes || view.syncedBytes > offset) {
        return record_state::Damaged;
    }
    view.payload = rest.substr(recordHeaderBytes, length);
    const std::uint64_t expected = getNumber(rest, checksumOffset, numberBytes);
    const std::uint64_t actual = recordChecksum(rest.substr(0, checksumOffset), view.payload, segment, offset);
    return actual == expected ? record_state::Valid : record_state::Damaged;
}

} // namespace cuminledge::storage
