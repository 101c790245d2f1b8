#include "frame.hpp"

#include <cassert>

namespace cuminledge::net {

namespace {

    constexpr std::size_t lengthBytes = 4;
    constexpr std::size_t keptCapacity = 1U << 20U; ///< a larger buffer is given back once it is empty
    constexpr std::size_t bytesAfterLength = frameHeaderBytes - lengthBytes;

    std::uint32_t readLength(std::string_view bytes)
    {
        std::uint32_t length = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i) {
            length = (length << 8U) | static_cast<std::uint8_t>(bytes[i]);
        }
        return length;
    }

    bool isKind(std::uint8_t kind)
    {
        return kind >= static_cast<std::uint8_t>(frame_kind::Hello)
            && kind <= static_cast<std::uint8_t>(frame_kind::Message);
    }

} // namespace

std::string encodeFrame(frame_kind kind, std::string_view body)
{
    assert(body.size() <= wire::maxFrameBytes);
    const auto length = static_cast<std::uint32_t>(body.size() + bytesAfterLength);
    std::string bytes;
    bytes.reserve(frameHeaderBytes + body.size());
    for (unsigned shift = 24;; shift -= 8) {
        bytes += static_cast<char>(length >> shift);
        if (shift == 0) {
            break;
        }
    }
    bytes += static_cast<char>(frameVersion);
    bytes += static_cast<char>(kind);
    bytes += body;
    return bytes;
}

void frame_reader::append(std::string_view bytes)
{
    m_buffer.erase(0, m_start);
    m_start = 0;
    if (m_buffer.empty() && m_buffer.capacity() > keptCapacity) {
        m_buffer.shrink_to_fit();
    }
    m_buffer += bytes;
}

result<std::optional<frame>> frame_reader::next()
{
    const auto rest = std::string_view(m_buffer).substr(m_start);
    // The version comes before the length is judged: a later version may allow longer frames.
    if (rest.size() > lengthBytes && static_cast<std::uint8_t>(rest[lengthBytes]) != frameVersion) {
        const auto version = std::to_string(static_cast<std::uint8_t>(rest[lengthBytes]));
        return failure(error_code::Protocol,
            "unknown frame version " + version + ", expected " + std::to_string(frameVersion), "read_frame");
    }
    if (rest.size() < frameHeaderBytes) {
        return std::optional<frame>();
    }
    const std::size_t length = readLength(rest);
    if (length < bytesAfterLength || length - bytesAfterLength > m_maxBodyBytes) {
        return failure(error_code::TooLarge,
            "frame of " + std::to_string(length) + " bytes, expected " + std::to_string(bytesAfterLength) + " to "
                + std::to_string(m_maxBodyBytes + bytesAfterLength),
            "read_frame");
    }
    const auto kind = static_cast<std::uint8_t>(rest[lengthBytes + 1]);
    if (!isKind(kind)) {
        return failure(error_code::Protocol, "unknown frame kind " + std::to_string(kind), "read_frame");
    }
    if (rest.size() < lengthBytes + length) {
        return std::optional<frame>();
    }
    frame whole { static_cast<frame_kind>(kind), std::string(rest.substr(frameHeaderBytes, length - bytesAfterLength)) };
    m_start += lengthBytes + length;
    return std::optional<frame>(std::move(whole));
}

} // namespace cuminledge::net
