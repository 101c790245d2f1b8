#pragma once

#include <cstdint>
#include <string_view>

namespace cuminledge::core {

constexpr std::int64_t bytesPerToken = 4;

/**
 * The number of tokens a text is taken for, before an engine has counted them: a quarter of its bytes, rounded up.
 * Gateways, sidecars and the stand-in engine use the same estimate, so that reservations and charges agree.
 */
constexpr std::int64_t estimateTokens(std::string_view text)
{
    return (static_cast<std::int64_t>(text.size()) + bytesPerToken - 1) / bytesPerToken;
}

} // namespace cuminledge::core
