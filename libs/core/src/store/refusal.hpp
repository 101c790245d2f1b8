#pragma once

#include <string>
#include <utility>

#include <base/error.hpp>
#include <wire/commands.hpp>

namespace cuminledge::core::store {

/// Returns the refusal of a command or query.
inline wire::command_result refuse(error_code code, std::string message, std::string step, std::string detail = {})
{
    return wire::refused { static_cast<std::uint32_t>(code), std::move(message), std::move(step), std::move(detail) };
}

} // namespace cuminledge::core::store
