#pragma once

#include <string>

#include <base/json.hpp>

namespace cuminledge::core::gateway {

constexpr std::size_t maxMessages = 1'000;
constexpr std::size_t maxBodyBytes = 2U << 20U;

/// The body of POST /v1/chat/completions.
struct chat_request {
    std::string model; ///< "MODEL" or "MODEL@VERSION"
    std::string messages; ///< JSON list, on one line
    std::int64_t maxTokens = 0; ///< 0: not given
    bool stream = false;
};

/// @return the request, or an error that names every wrong field.
result<chat_request> parseChatRequest(const std::string& body);

/// The body of POST /v1/programs.
struct program_request {
    std::string route;
    std::int64_t budgetTokens = 0; ///< 0: not given
    std::chrono::milliseconds idleTimeout { 0 }; ///< 0: not given
};

/// @return the request, or an error that names every wrong field.
result<program_request> parseProgramRequest(const std::string& body);

} // namespace cuminledge::core::gateway
