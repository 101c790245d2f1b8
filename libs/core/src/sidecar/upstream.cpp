#include "upstream.hpp"

#include <json/value.h>

#include "attempt_table.hpp"
#include "probe.hpp"
#include "run_queue.hpp"

namespace cuminledge::core::sidecar {

namespace {

    constexpr std::size_t maxResponseBytes = 4U << 20U;
    constexpr std::uint32_t statusOk = 200;
    constexpr std::uint32_t firstClientError = 400;
    constexpr std::uint32_t firstServerError = 500;

    std::string jsonText(const std::string& text)
    {
        return writeJson(Json::Value(text));
    }

    std::string engineBody(context& c, const attempt_entry& entry)
    {
        const auto& start = entry.start;
        const auto key = historyKey(start.account, start.program);
        const auto messages = joinMessages(c.state.histories, key, start.historyTurns, start.body);
        const auto at = start.model.find('@');
        std::string body = "{\"model\":" + jsonText(start.model.substr(0, at));
        body += ",\"messages\":" + messages;
        body += ",\"max_tokens\":" + std::to_string(start.maxTokens);
        body += ",\"stream\":true";
        body += ",\"cuminledge_program\":" + jsonText(start.program.empty() ? start.attempt : start.program);
        if (!start.resumeText.empty()) {
            body += ",\"resume_text\":" + jsonText(start.resumeText);
        }
        body += '}';
        return body;
    }

    void startEngine(context& c, const attempt_entry& entry)
    {
        start_upstream request;
        request.request = entry.start.attempt;
        request.address = c.state.settings.backendAddress;
        request.target = "/v1/chat/completions";
        request.headers = { { "Content-Type", "application/json" }, { "Accept", "text/event-stream" },
            { "Cuminledge-Attempt", entry.start.attempt } };
        request.body = engineBody(c, entry);
        request.eventStream = true;
        request.silenceTimeout = c.state.settings.silenceTimeout;
        cache::onTurnStarted(c.state.pins, entry.start.program.empty() ? entry.start.attempt : entry.start.program,
            entry.start.account, c.now);
        c.out.emplace_back(std::move(request));
    }

    void startService(context& c, const attempt_entry& entry)
    {
        start_upstream request;
        request.request = entry.start.attempt;
        request.address = c.state.settings.backendAddress;
        request.target = "/" + entry.start.operation;
        // Call ids are the callers' own, so the service tells two accounts' apart by the account.
        request.headers = { { "Content-Type", "application/json" }, { "Idempotency-Key", entry.start.call },
            { "Cuminledge-Account", entry.start.account }, { "Cuminledge-Attempt", entry.start.attempt } };
        request.body = entry.start.body;
        request.freshConnection = true;
        request.silenceTimeout = entry.start.timeout;
        c.out.emplace_back(std::move(request));
    }

    //--------------------------------------------------------------------------------------------------------------
    // Engine
    //--------------------------------------------------------------------------------------------------------------

    void readUsage(attempt_entry& entry, const Json::Value& usage)
    {
        const auto count = [&](const char* name) {
            return usage[name].isIntegral() ? usage[name].asInt64() : std::int64_t(0);
        };
        entry.done.promptTokens = count("prompt_tokens");
        entry.done.cachedTokens = count("cached_tokens");
        entry.done.completionTokens = count("completion_tokens");
        entry.completionTokens = entry.done.completionTokens;
    }

    void passOn(context& c, attempt_entry& entry, const std::string& text)
    {
        wire::attempt_chunk chunk;
        chunk.attempt = entry.start.attempt;
        chunk.offset = entry.text.size();
        chunk.text = text;
        chunk.completionTokens = ++entry.completionTokens;
        entry.text += text;
        tellWatchers(c, entry, chunk);
    }

    void failProtocol(context& c, attempt_entry& entry, const std::string& message)
    {
        c.out.emplace_back(cancel_upstream { entry.start.attempt });
        finishFailed(c, entry, wire::attempt_outcome::Ran, error_code::Protocol, message, "read_answer");
        startNext(c);
    }

    void readChunk(context& c, attempt_entry& entry, const std::string& data)
    {
        if (data == "[DONE]") {
            entry.answerEnded = true;
            return;
        }
        const auto parsed = parseJson(data, "read_answer");
        if (!parsed || !parsed->isObject()) {
            failProtocol(c, entry, "the engine sent an event that is not a JSON object");
            return;
        }
        const auto& value = *parsed;
        if (value["usage"].isObject()) {
            readUsage(entry, value["usage"]);
        }
        if (!value["choices"].isArray() || value["choices"].empty() || !value["choices"][0].isObject()) {
            return;
        }
        const auto& choice = value["choices"][0];
        if (choice["finish_reason"].isString()) {
            entry.done.finishReason = choice["finish_reason"].asString();
        }
        if (choice["delta"].isObject() && choice["delta"]["content"].isString()) {
            const auto text = choice["delta"]["content"].asString();
            if (entry.text.size() + text.size() > maxResponseBytes) {
                failProtocol(c, entry, "the engine's answer is over the size limit");
            } else if (!text.empty()) {
                passOn(c, entry, text);
            }
        }
    }

    void finishEngine(context& c, attempt_entry& entry)
    {
        if (entry.status != statusOk) {
            const bool callersFault = entry.status >= firstClientError && entry.status < firstServerError;
            finishFailed(c, entry, wire::attempt_outcome::Ran,
                callersFault ? error_code::InvalidArgument : error_code::Unavailable,
                "the engine answered with status " + std::to_string(entry.status), "engine");
        } else if (entry.answerEnded) {
            finishDone(c, entry);
        } else {
            judge(c, entry, "the engine ended its answer early");
            return;
        }
        startNext(c);
    }

} // namespace

void startUpstream(context& c, attempt_entry& entry)
{
    if (entry.start.kind == wire::backend_kind::Engine) {
        startEngine(c, entry);
    } else {
        startService(c, entry);
    }
}

void expireRunning(context& c, attempt_entry& entry)
{
    c.out.emplace_back(cancel_upstream { entry.start.attempt });
    const bool engine = entry.start.kind == wire::backend_kind::Engine;
    finishFailed(c, entry, engine ? wire::attempt_outcome::Ran : wire::attempt_outcome::Unknown, error_code::Timeout,
        "the attempt took too long", "run");
    startNext(c);
}

std::string assistantMessageOf(const std::string& text)
{
    return R"({"content":)" + jsonText(text) + R"(,"role":"assistant"})";
}

void onUpstreamResponse(context& /*c*/, attempt_entry& entry, std::uint32_t status)
{
    entry.status = status;
}

void onUpstreamData(context& c, attempt_entry& entry, const std::string& data)
{
    const bool engineAnswer = entry.start.kind == wire::backend_kind::Engine && entry.status == statusOk;
    if (engineAnswer) {
        readChunk(c, entry, data);
        return;
    }
    if (entry.responseBody.size() + data.size() <= maxResponseBytes) {
        entry.responseBody += data;
        return;
    }
    c.out.emplace_back(cancel_upstream { entry.start.attempt });
    finishFailed(c, entry, wire::attempt_outcome::Ran, error_code::TooLarge,
        "the backend server's answer is over the size limit", "read_answer");
    startNext(c);
}

void onUpstreamFinished(context& c, attempt_entry& entry)
{
    if (entry.start.kind == wire::backend_kind::Engine) {
        finishEngine(c, entry);
        return;
    }
    entry.done.status = entry.status;
    entry.done.body = std::move(entry.responseBody);
    finishDone(c, entry);
    startNext(c);
}

void onUpstreamFailed(context& c, attempt_entry& entry, const upstream_failed& failure)
{
    if (failure.phase == upstream_phase::NotSent) {
        noteUnreachable(c);
        finishFailed(c, entry, wire::attempt_outcome::NotRun, error_code::Unavailable,
            "the backend server does not take connections: " + failure.message, "connect");
        startNext(c);
        return;
    }
    if (entry.start.kind == wire::backend_kind::Engine) {
        judge(c, entry, failure.message);
        return;
    }
    finishFailed(c, entry, wire::attempt_outcome::Unknown, error_code::Unavailable,
        "contact with the service was lost: " + failure.message, "service");
    startNext(c);
}

} // namespace cuminledge::core::sidecar
