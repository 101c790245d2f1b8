#include "chat_request.hpp"

#include <array>
#include <optional>

#include <json/value.h>

namespace cuminledge::core::gateway {

namespace {

    constexpr std::int64_t maxTokenCount = 1'000'000'000;
    constexpr std::size_t maxNameBytes = 128;

    result<Json::Value> parseObject(const std::string& body, const std::string& step)
    {
        if (body.size() > maxBodyBytes) {
            return failure(error_code::TooLarge, "the body is over " + std::to_string(maxBodyBytes) + " bytes", step);
        }
        auto document = parseJson(body, step);
        if (!document) {
            return failure(error_code::InvalidArgument, document.error().message, step);
        }
        if (!document->isObject()) {
            return failure(error_code::InvalidArgument, "$: expected a JSON object", step);
        }
        return document;
    }

    tl::unexpected<error> faultsOf(const std::vector<json_fault>& faults, const std::string& step)
    {
        return failure(error_code::InvalidArgument, describe(faults), step);
    }

    void checkRole(json_object_reader& message)
    {
        static constexpr std::array roles { "system", "developer", "user", "assistant", "tool" };
        constexpr std::size_t maxRoleBytes = 16;
        const auto role = message.string("role", 1, maxRoleBytes);
        for (const auto* known : roles) {
            if (role == known) {
                return;
            }
        }
        message.fault("role", "expected system, developer, user, assistant or tool");
    }

    void checkContent(json_object_reader& message)
    {
        const auto& content = message.raw("content");
        const bool given = content.isString() || content.isArray();
        if (!given && !message.has("tool_calls")) {
            message.fault("content", "expected a text or a list of content parts");
        }
    }

    void checkMessage(json_object_reader& message)
    {
        checkRole(message);
        checkContent(message);
        if (message.has("name")) {
            message.string("name", 1, maxNameBytes);
        }
        if (message.has("tool_call_id")) {
            message.string("tool_call_id", 1, maxNameBytes);
        }
        if (!message.raw("tool_calls").isNull() && !message.raw("tool_calls").isArray()) {
            message.fault("tool_calls", "expected a list");
        }
        message.finish();
    }

} // namespace

result<chat_request> parseChatRequest(const std::string& body)
{
    const std::string step = "parse_request";
    const auto document = parseObject(body, step);
    if (!document) {
        return tl::unexpected<error>(document.error());
    }
    std::vector<json_fault> faults;
    json_object_reader reader(*document, "$", faults);
    chat_request request;
    request.model = reader.string("model", 1, maxNameBytes);
    std::size_t count = 0;
    reader.objects("messages", maxMessages, [&](json_object_reader& message) {
        checkMessage(message);
        ++count;
    });
    if (count == 0 && faults.empty()) {
        reader.fault("messages", "expected a list of at least one message");
    }
    if (reader.has("max_tokens")) {
        request.maxTokens = reader.integer("max_tokens", 1, maxTokenCount);
    }
    request.stream = reader.boolean("stream", false);
    reader.finish();
    if (!faults.empty()) {
        return faultsOf(faults, step);
    }
    request.messages = writeJson((*document)["messages"]);
    return request;
}

result<program_request> parseProgramRequest(const std::string& body)
{
    const std::string step = "parse_request";
    const auto document = parseObject(body, step);
    if (!document) {
        return tl::unexpected<error>(document.error());
    }
    std::vector<json_fault> faults;
    json_object_reader reader(*document, "$", faults);
    program_request request;
    request.route = reader.string("route", 1, maxNameBytes);
    if (reader.has("budget_tokens")) {
        request.budgetTokens = reader.integer("budget_tokens", 1, maxTokenCount);
    }
    if (reader.has("idle_timeout_ms")) {
        constexpr std::chrono::milliseconds longest { std::chrono::hours(24 * 30) };
        request.idleTimeout = reader.milliseconds("idle_timeout_ms", std::chrono::milliseconds(1), longest, longest);
    }
    reader.finish();
    if (!faults.empty()) {
        return faultsOf(faults, step);
    }
    return request;
}

} // namespace cuminledge::core::gateway
