#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/event.hpp>

namespace cuminledge::core::gateway {

constexpr std::size_t maxPathSegmentBytes = 256;

/// @return the header's value, or nothing; the last one where it stands more than once is not taken: a doubled header
///         returns nothing, too (see isDoubled()).
std::optional<std::string> headerOf(const caller_request& request, std::string_view lowerCaseName);

/// @return whether the header stands more than once.
bool isDoubled(const caller_request& request, std::string_view lowerCaseName);

/// @return the path's segments, percent-decoded; nothing where the target is not a valid path or has a query.
std::optional<std::vector<std::string>> pathSegments(std::string_view target);

/// @return whether the text is 1 to `maximum` letters, digits and "-_.:@" only.
bool isIdentifier(std::string_view text, std::size_t maximum);

} // namespace cuminledge::core::gateway
