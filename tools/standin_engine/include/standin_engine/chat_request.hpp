#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <base/error.hpp>
#include <standin_engine/engine_model.hpp>

namespace cuminledge::standin {

constexpr std::int64_t bytesPerToken = 4; ///< of prompts and answers alike

/// What a text in the last message makes the engine do.
enum class fault {
    None,
    Crash, ///< "CRASH-ENGINE": the process ends when the sequence gets its first token
    Hang, ///< "HANG-ENGINE": the sequence keeps its place in the batch and never gets on
    SilentConnection, ///< "SILENT-CONNECTION": it runs to its end, but after the first token nothing more is sent
    ServerError ///< "FAIL-ENGINE": answered 500 at once
};

struct chat_request {
    std::string model;
    std::vector<boundary> prompt;
    std::int64_t maxTokens = 0; ///< to generate now; a resumed answer's start does not count
    bool stream = false;
    std::string program;
    std::string resumeText; ///< the answer's start that the caller has already
    fault wanted = fault::None;
};

/// Reads the body of POST /v1/chat/completions; an error lists every fault.
result<chat_request> readChatRequest(std::string_view body);

/// @return the tokens of a text.
std::int64_t countTokens(std::string_view text);

/// @return the state after one more message.
boundary afterMessage(const boundary& before, const std::string& role, const std::string& content);

/// @return a token of the answer to a prompt: four bytes, which follow from the prompt and the position alone.
std::string answerToken(std::uint64_t promptHash, std::int64_t position);

} // namespace cuminledge::standin
