#pragma once

#include <cstdint>
#include <string>

#include <json/value.h>

#include <standin_engine/chat_request.hpp>

/// The answers to chat requests, as text and in the usual JSON shape.
namespace cuminledge::standin {

/// A chat request under way.
struct chat {
    std::uint64_t id = 0; ///< of the sequence and of the HTTP exchange
    std::string attempt;
    chat_request request;
    std::int64_t resumed = 0; ///< tokens of resume_text
    std::string pending; ///< rest of a token that resume_text ends within
    std::string answer; ///< generated now
    std::int64_t generated = 0;
    bool cut = false; ///< by max_tokens, rather than at the answer's end
    bool silent = false;
};

/// @return the tokens [from, to) of the answer to a prompt.
std::string answerText(std::uint64_t promptHash, std::int64_t from, std::int64_t to);

/// @return the tokens that the request took and gave.
Json::Value usageOf(const chat& c, const sequence& s);

/// @return the whole answer, for a request without a stream. @param reason "stop" or "length".
Json::Value wholeAnswer(const chat& c, const std::string& reason, const Json::Value& usage);

/// @return one event of a stream. @param text, reason, usage empty, null and null where the event has none.
Json::Value streamChunk(
    const chat& c, const std::string& text, const Json::Value& reason, const Json::Value& usage);

} // namespace cuminledge::standin
