#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <base/error.hpp>
#include <wire/codec.hpp>

/// The frames of a peer link: four bytes of length (big endian; of what follows), one of version, one of kind, the body.
namespace cuminledge::net {

constexpr std::uint8_t frameVersion = 1;
constexpr std::size_t frameHeaderBytes = 6;
constexpr std::size_t maxHelloBytes = 4096; ///< bound of every frame before the peer has proved the secret

enum class frame_kind : std::uint8_t {
    Hello = 1,
    Proof = 2,
    Refusal = 3,
    Heartbeat = 4,
    Message = 5
};

struct frame {
    frame_kind kind = frame_kind::Heartbeat;
    std::string body;
};

/// What each side says first. Of a later version's hello the fields that are known here are read.
struct hello {
    std::string name;
    std::string role;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failureDomain;
    std::string nonce; ///< random, new for each link
    MSGPACK_DEFINE(name, role, incarnation, region, failureDomain, nonce)
};

/// @param body at most wire::maxFrameBytes.
std::string encodeFrame(frame_kind kind, std::string_view body);

/**
 * Cuts the bytes of a link into frames. It holds one frame at most, beside what came with it in the same read.
 */
class frame_reader {
public:
    /// @param maxBodyBytes frames over it are refused, before their body is kept.
    void setLimit(std::size_t maxBodyBytes) { m_maxBodyBytes = maxBodyBytes; }

    void append(std::string_view bytes);

    /// @return the next whole frame, none if more bytes are needed, or an error after which the link must be closed.
    result<std::optional<frame>> next();

    [[nodiscard]] std::size_t bufferedBytes() const { return m_buffer.size() - m_start; }

private:
    std::string m_buffer;
    std::size_t m_start = 0;
    std::size_t m_maxBodyBytes = maxHelloBytes;
};

} // namespace cuminledge::net
