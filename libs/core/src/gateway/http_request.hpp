#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/event.hpp>

namespace cuminledge::core::gateway {

constexpr std::size_t maxPathSegmentBytes = 256;

/// @return the header's value, or nothing if the header is missing or occurs more than once (see isDuplicated()).
std::optional<std::string> findHeader(const caller_request& request, std::string_view lowerCaseName);

/// @return whether the header occurs more than once.
bool isDuplicated(const caller_request& request, std::string_view lowerCaseName);

/// @return the percent-decoded path segments, or nothing if the target is not a valid path or has a query or fragment.
std::optional<std::vector<std::string>> pathSegments(std::string_view target);

/// @return whether the text has 1 to `maxBytes` characters, all of them letters, digits or one of "-_.:@".
bool isIdentifier(std::string_view text, std::size_t maxBytes);

} // namespace cuminledge::core::gateway
