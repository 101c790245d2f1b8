#include "answers.hpp"

#include <json/value.h>

namespace cuminledge::core::gateway {

namespace {

    header_list responseHeaders(const gateway_call& call)
    {
        header_list headers { { "Cuminledge-Request-Id", call.requestId } };
        if (call.turn > 0) {
            headers.emplace_back("Cuminledge-Program", call.program);
            headers.emplace_back("Cuminledge-Turn", std::to_string(call.turn));
        }
        return headers;
    }

    std::string jsonText(const std::string& text)
    {
        return writeJson(Json::Value(text));
    }

    /// @return the prefix shared by all chunks of an answer. Callers expect the field "created"; it is 0 because the
    ///         reducer has no wall-clock time.
    std::string chunkPrefix(const gateway_call& call)
    {
        return R"({"id":"chatcmpl-)" + call.requestId + R"(","object":"chat.completion.chunk","created":0,"model":)"
            + jsonText(call.model) + R"(,"choices":[{"index":0,"delta":)";
    }

    Json::Value buildUsage(const gateway_call& call)
    {
        Json::Value usage(Json::objectValue);
        usage["prompt_tokens"] = Json::Int64(call.promptTokens);
        usage["completion_tokens"] = Json::Int64(call.completionTokens);
        usage["total_tokens"] = Json::Int64(call.promptTokens + call.completionTokens);
        usage["prompt_tokens_details"]["cached_tokens"] = Json::Int64(call.cachedTokens);
        return usage;
    }

    std::string buildCompletion(const gateway_call& call)
    {
        Json::Value choice(Json::objectValue);
        choice["index"] = 0;
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = call.answer;
        choice["finish_reason"] = call.finishReason;
        Json::Value completion(Json::objectValue);
        completion["id"] = "chatcmpl-" + call.requestId;
        completion["object"] = "chat.completion";
        completion["created"] = 0;
        completion["model"] = call.model;
        completion["choices"].append(std::move(choice));
        completion["usage"] = buildUsage(call);
        return writeJson(completion);
    }

    void ensureStreamStarted(gateway_context& context, gateway_call& call)
    {
        if (call.streamStarted) {
            return;
        }
        call.streamStarted = true;
        context.out.emplace_back(begin_stream { call.exchange, responseHeaders(call) });
        const std::chrono::duration<double> waited = context.now - call.receivedAt;
        context.out.emplace_back(record_metric { "first_token_seconds", waited.count(), true });
    }

    void recordAnswered(gateway_context& context, const gateway_call& call)
    {
        ++context.state.counters.callsAnswered;
        const std::chrono::duration<double> taken = context.now - call.receivedAt;
        context.out.emplace_back(record_metric { "calls_total", 1, false });
        context.out.emplace_back(record_metric { "call_seconds", taken.count(), true });
        logCall(context, log_level::Debug, "call_answered", call);
    }

} // namespace

void answerCaller(gateway_context& context, gateway_call& call, std::uint32_t status, std::string body)
{
    if (call.exchange == 0) {
        return;
    }
    context.out.emplace_back(
        reply_to_caller { call.exchange, status, "application/json", responseHeaders(call), std::move(body) });
    recordAnswered(context, call);
    context.state.callByExchange.erase(call.exchange);
    call.exchange = 0;
}

void answerAndFinish(gateway_context& context, gateway_call& call, std::uint32_t status, std::string body)
{
    answerCaller(context, call, status, std::move(body));
    finishCall(context, call);
}

void streamText(gateway_context& context, gateway_call& call, const std::string& text)
{
    if (call.exchange == 0 || !call.stream || text.empty()) {
        return;
    }
    ensureStreamStarted(context, call);
    context.out.emplace_back(stream_event {
        call.exchange, chunkPrefix(call) + R"({"content":)" + jsonText(text) + R"(},"finish_reason":null}]})" });
}

void answerChat(gateway_context& context, gateway_call& call)
{
    if (!call.stream || call.exchange == 0) {
        answerAndFinish(context, call, 200, buildCompletion(call));
        return;
    }
    ensureStreamStarted(context, call);
    context.out.emplace_back(stream_event { call.exchange,
        chunkPrefix(call) + R"({},"finish_reason":)" + jsonText(call.finishReason) + R"(}],"usage":)"
            + writeJson(buildUsage(call)) + "}" });
    context.out.emplace_back(stream_event { call.exchange, "[DONE]" });
    context.out.emplace_back(end_stream { call.exchange });
    recordAnswered(context, call);
    finishCall(context, call);
}

std::string assistantMessage(const std::string& content)
{
    return R"({"content":)" + jsonText(content) + R"(,"role":"assistant"})";
}

std::string messageContent(const std::string& message)
{
    const auto parsed = parseJson(message, "read_history");
    const bool hasContent = parsed && parsed->isObject() && (*parsed)["content"].isString();
    return hasContent ? (*parsed)["content"].asString() : std::string();
}

refusal unexpectedResult(const wire::command_result& outcome, const std::string& step, ran_state ran)
{
    if (const auto* refused = std::get_if<wire::refused>(&outcome)) {
        return makeRefusal(*refused, ran, "");
    }
    return makeRefusal(
        error { error_code::Protocol, "a controller answered with another kind of result", step, {} }, ran);
}

} // namespace cuminledge::core::gateway
