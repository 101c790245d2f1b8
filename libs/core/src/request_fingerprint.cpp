#include <core/request_fingerprint.hpp>

#include <array>
#include <cstdint>

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cuminledge::core {

std::string fingerprintOf(const request_content& content)
{
    // The digest of the body stands for the body, so that a large one is not copied.
    const auto body = XXH3_128bits(content.body.data(), content.body.size());
    std::string line;
    for (const auto part : { content.account, content.method, content.host, content.target }) {
        // Lengths keep the parts apart, whatever bytes they hold.
        line += std::to_string(part.size());
        line += ':';
        line += part;
    }
    line.append(reinterpret_cast<const char*>(&body.low64), sizeof body.low64);
    line.append(reinterpret_cast<const char*>(&body.high64), sizeof body.high64);
    const auto digest = XXH3_128bits(line.data(), line.size());
    return fmt::format("{:016x}{:016x}", digest.high64, digest.low64);
}

} // namespace cuminledge::core
