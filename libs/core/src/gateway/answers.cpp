#include "answers.hpp"

#include <json/value.h>

namespace cuminledge::core::gateway {

namespace {

    header_list headersOf(const call& subject)
    {
        header_list headers { { "Cuminledge-Request-Id", subject.requestId } };
        if (subject.turn > 0) {
            headers.emplace_back("Cuminledge-Program", subject.program);
            headers.emplace_back("Cuminledge-Turn", std::to_string(subject.turn));
        }
        return headers;
    }

    std::string jsonText(const std::string& text)
    {
        return writeJson(Json::Value(text));
    }

    /// The head that all chunks of an answer share. Callers expect "created"; the reducer knows no calendar time.
    std::string chunkHead(const call& subject)
    {
        return R"({"id":"chatcmpl-)" + subject.requestId + R"(","object":"chat.completion.chunk","created":0,"model":)"
            + jsonText(subject.model) + R"(,"choices":[{"index":0,"delta":)";
    }

    Json::Value usageOf(const call& subject)
    {
        Json::Value usage(Json::objectValue);
        usage["prompt_tokens"] = Json::Int64(subject.promptTokens);
        usage["completion_tokens"] = Json::Int64(subject.completionTokens);
        usage["total_tokens"] = Json::Int64(subject.promptTokens + subject.completionTokens);
        usage["prompt_tokens_details"]["cached_tokens"] = Json::Int64(subject.cachedTokens);
        return usage;
    }

    std::string completionOf(const call& subject)
    {
        Json::Value choice(Json::objectValue);
        choice["index"] = 0;
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = subject.answer;
        choice["finish_reason"] = subject.finishReason;
        Json::Value completion(Json::objectValue);
        completion["id"] = "chatcmpl-" + subject.requestId;
        completion["object"] = "chat.completion";
        completion["created"] = 0;
        completion["model"] = subject.model;
        completion["choices"].append(std::move(choice));
        completion["usage"] = usageOf(subject);
        return writeJson(completion);
    }

    void beginStreamOnce(context& c, call& subject)
    {
        if (subject.streamBegun) {
            return;
        }
        subject.streamBegun = true;
        c.out.emplace_back(begin_stream { subject.exchange, headersOf(subject) });
        const std::chrono::duration<double> waited = c.now - subject.receivedAt;
        c.out.emplace_back(record_metric { "first_token_seconds", waited.count(), true });
    }

    void noteAnswered(context& c, const call& subject)
    {
        ++c.state.counters.callsAnswered;
        const std::chrono::duration<double> taken = c.now - subject.receivedAt;
        c.out.emplace_back(record_metric { "calls_total", 1, false });
        c.out.emplace_back(record_metric { "call_seconds", taken.count(), true });
        logCall(c, log_level::Debug, "call_answered", subject);
    }

} // namespace

void answerCaller(context& c, call& subject, std::uint32_t status, std::string body)
{
    if (subject.exchange == 0) {
        return;
    }
    c.out.emplace_back(
        reply_to_caller { subject.exchange, status, "application/json", headersOf(subject), std::move(body) });
    noteAnswered(c, subject);
    c.state.callOfExchange.erase(subject.exchange);
    subject.exchange = 0;
}

void answerAndFinish(context& c, call& subject, std::uint32_t status, std::string body)
{
    answerCaller(c, subject, status, std::move(body));
    finishCall(c, subject);
}

void streamPiece(context& c, call& subject, const std::string& text)
{
    if (subject.exchange == 0 || !subject.stream || text.empty()) {
        return;
    }
    beginStreamOnce(c, subject);
    c.out.emplace_back(stream_event {
        subject.exchange, chunkHead(subject) + R"({"content":)" + jsonText(text) + R"(},"finish_reason":null}]})" });
}

void answerChat(context& c, call& subject)
{
    if (!subject.stream || subject.exchange == 0) {
        answerAndFinish(c, subject, 200, completionOf(subject));
        return;
    }
    beginStreamOnce(c, subject);
    c.out.emplace_back(stream_event { subject.exchange,
        chunkHead(subject) + R"({},"finish_reason":)" + jsonText(subject.finishReason) + R"(}],"usage":)"
            + writeJson(usageOf(subject)) + "}" });
    c.out.emplace_back(stream_event { subject.exchange, "[DONE]" });
    c.out.emplace_back(end_stream { subject.exchange });
    noteAnswered(c, subject);
    finishCall(c, subject);
}

std::string assistantMessage(const std::string& content)
{
    return R"({"content":)" + jsonText(content) + R"(,"role":"assistant"})";
}

std::string contentOf(const std::string& message)
{
    const auto parsed = parseJson(message, "read_history");
    const bool hasContent = parsed && parsed->isObject() && (*parsed)["content"].isString();
    return hasContent ? (*parsed)["content"].asString() : std::string();
}

refusal unexpectedResult(const wire::command_result& outcome, const std::string& step, ran_state ran)
{
    if (const auto* refused = std::get_if<wire::refused>(&outcome)) {
        return refusalOf(*refused, ran, "");
    }
    return refusalOf(error { error_code::Protocol, "a controller answered with another kind of result", step, {} }, ran);
}

} // namespace cuminledge::core::gateway
