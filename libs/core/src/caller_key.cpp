#include <core/caller_key.hpp>

#include <base/digest.hpp>

namespace cuminledge::core {

caller_key splitCallerKey(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0 || dot + 1 == text.size()) {
        return {};
    }
    return { text.substr(0, dot), text.substr(dot + 1) };
}

std::string joinCallerKey(std::string_view id, std::string_view secret)
{
    std::string text(id);
    text += '.';
    text += secret;
    return text;
}

std::string hashCallerKey(std::string_view salt, std::string_view secret)
{
    std::string salted(salt);
    salted += secret;
    return sha256Hex(salted);
}

} // namespace cuminledge::core
