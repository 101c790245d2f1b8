#include "http_request.hpp"

#include <algorithm>

namespace cuminledge::core::gateway {

namespace {

    int hexValue(char digit)
    {
        if (digit >= '0' && digit <= '9') {
            return digit - '0';
        }
        if (digit >= 'a' && digit <= 'f') {
            return digit - 'a' + 10;
        }
        return digit >= 'A' && digit <= 'F' ? digit - 'A' + 10 : -1;
    }

    std::optional<std::string> decodeSegment(std::string_view encoded)
    {
        std::string text;
        for (std::size_t i = 0; i < encoded.size(); ++i) {
            if (encoded[i] != '%') {
                text += encoded[i];
                continue;
            }
            if (i + 2 >= encoded.size()) {
                return std::nullopt;
            }
            const int high = hexValue(encoded[i + 1]);
            const int low = hexValue(encoded[i + 2]);
            if (high < 0 || low < 0) {
                return std::nullopt;
            }
            text += static_cast<char>(high * 16 + low);
            i += 2;
        }
        if (text.empty() || text.size() > maxPathSegmentBytes) {
            return std::nullopt;
        }
        return text;
    }

} // namespace

std::optional<std::string> findHeader(const caller_request& request, std::string_view lowerCaseName)
{
    std::optional<std::string> value;
    for (const auto& [name, text] : request.headers) {
        if (name != lowerCaseName) {
            continue;
        }
        if (value) {
            return std::nullopt;
        }
        value = text;
    }
    return value;
}

bool isDuplicated(const caller_request& request, std::string_view lowerCaseName)
{
    return std::count_if(request.headers.begin(), request.headers.end(),
               [&](const auto& header) { return header.first == lowerCaseName; })
        > 1;
}

std::optional<std::vector<std::string>> pathSegments(std::string_view target)
{
    if (target.empty() || target.front() != '/' || target.find_first_of("?#") != std::string_view::npos) {
        return std::nullopt;
    }
    std::vector<std::string> segments;
    constexpr std::size_t maxSegments = 8;
    std::size_t start = 1;
    while (start <= target.size()) {
        const auto end = std::min(target.find('/', start), target.size());
        auto segment = decodeSegment(target.substr(start, end - start));
        if (!segment || segments.size() == maxSegments) {
            return std::nullopt;
        }
        segments.push_back(std::move(*segment));
        start = end + 1;
    }
    return segments;
}

bool isIdentifier(std::string_view text, std::size_t maxBytes)
{
    const auto allowed = [](char character) {
        const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        const bool digit = character >= '0' && character <= '9';
        return letter || digit || std::string_view("-_.:@").find(character) != std::string_view::npos;
    };
    return !text.empty() && text.size() <= maxBytes && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace cuminledge::core::gateway
