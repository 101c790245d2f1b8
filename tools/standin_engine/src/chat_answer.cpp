#include "chat_answer.hpp"

namespace cuminledge::standin {

namespace {

    Json::Value envelope(const chat& c, const char* object)
    {
        Json::Value body(Json::objectValue);
        body["id"] = "chat-" + std::to_string(c.id);
        body["object"] = object;
        body["model"] = c.request.model;
        return body;
    }

} // namespace

std::string answerText(std::uint64_t promptHash, std::int64_t from, std::int64_t to)
{
    std::string text;
    for (auto position = from; position < to; ++position) {
        text += answerToken(promptHash, position);
    }
    return text;
}

Json::Value usageOf(const chat& c, const sequence& s)
{
    const auto prompt = tokensOf(s.prompt);
    Json::Value usage(Json::objectValue);
    usage["prompt_tokens"] = Json::Int64(prompt);
    usage["completion_tokens"] = Json::Int64(c.generated);
    usage["total_tokens"] = Json::Int64(prompt + c.generated);
    usage["cached_tokens"] = Json::Int64(s.cachedTokens);
    usage["prompt_tokens_details"]["cached_tokens"] = Json::Int64(s.cachedTokens);
    return usage;
}

Json::Value wholeAnswer(const chat& c, const std::string& reason, const Json::Value& usage)
{
    auto body = envelope(c, "chat.completion");
    auto& choice = body["choices"][0];
    choice["index"] = 0;
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = c.answer;
    choice["finish_reason"] = reason;
    body["usage"] = usage;
    return body;
}

Json::Value streamChunk(
    const chat& c, const std::string& text, const Json::Value& reason, const Json::Value& usage)
{
    auto body = envelope(c, "chat.completion.chunk");
    auto& choice = body["choices"][0];
    choice["index"] = 0;
    choice["delta"] = Json::objectValue;
    if (!text.empty()) {
        choice["delta"]["content"] = text;
    }
    choice["finish_reason"] = reason;
    if (!usage.isNull()) {
        body["usage"] = usage;
    }
    return body;
}

} // namespace cuminledge::standin
