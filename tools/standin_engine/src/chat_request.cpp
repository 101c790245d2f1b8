#include <standin_engine/chat_request.hpp>

#include <charconv>

#include <base/digest.hpp>
#include <base/json.hpp>

namespace cuminledge::standin {

namespace {

    constexpr std::int64_t tokensPerMessage = 4; ///< for the role and the marks round it
    constexpr std::size_t maxMessages = 4096;
    constexpr std::size_t maxContentBytes = 4U << 20U;
    constexpr std::int64_t maxAnswerTokens = 1'000'000;

    fault faultIn(const std::string& content)
    {
        const std::vector<std::pair<std::string_view, fault>> marks { { "CRASH-ENGINE", fault::Crash },
            { "HANG-ENGINE", fault::Hang }, { "SILENT-CONNECTION", fault::SilentConnection },
            { "FAIL-ENGINE", fault::ServerError } };
        for (const auto& [mark, wanted] : marks) {
            if (content.find(mark) != std::string::npos) {
                return wanted;
            }
        }
        return fault::None;
    }

    std::uint64_t shortHash(const std::string& text)
    {
        const auto digest = sha256Hex(text);
        std::uint64_t hash = 0;
        constexpr std::size_t digits = 16;
        constexpr int hexadecimal = 16;
        std::from_chars(digest.data(), digest.data() + digits, hash, hexadecimal);
        return hash;
    }

    /// Stafford's variant 13 of the 64-bit finalizer, as in SplitMix64 (Steele et al., 2014).
    std::uint64_t mix(std::uint64_t x)
    {
        x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
        x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
        return x ^ (x >> 31U);
    }

} // namespace

std::int64_t countTokens(std::string_view text)
{
    return (static_cast<std::int64_t>(text.size()) + bytesPerToken - 1) / bytesPerToken;
}

boundary afterMessage(const boundary& before, const std::string& role, const std::string& content)
{
    const auto text = std::to_string(before.hash) + '\n' + role + '\n' + content;
    return { before.tokens + tokensPerMessage + countTokens(content), shortHash(text) };
}

std::string answerToken(std::uint64_t promptHash, std::int64_t position)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz012345";
    const auto bits = mix(promptHash + 0x9e3779b97f4a7c15U * (static_cast<std::uint64_t>(position) + 1));
    return { letters[bits & 31U], letters[(bits >> 5U) & 31U], letters[(bits >> 10U) & 31U], ' ' };
}

result<chat_request> readChatRequest(std::string_view body)
{
    const auto document = parseJson(body, "read_chat_request");
    if (!document) {
        return tl::unexpected<error>(document.error());
    }
    std::vector<json_fault> faults;
    json_object_reader reader(*document, "$", faults);
    chat_request request;
    request.model = reader.string("model", 1, 256);
    request.maxTokens = reader.integer("max_tokens", 1, maxAnswerTokens, 256);
    request.stream = reader.boolean("stream", false);
    request.program = reader.string("cuminledge_program", 0, 256, "");
    request.resumeText = reader.string("resume_text", 0, maxContentBytes, "");
    reader.objects("messages", maxMessages, [&](json_object_reader& message) {
        const auto role = message.string("role", 1, 64);
        const auto content = message.string("content", 0, maxContentBytes);
        request.prompt.push_back(afterMessage(request.prompt.empty() ? boundary() : request.prompt.back(), role, content));
        request.wanted = faultIn(content);
    });
    if (request.prompt.empty()) {
        reader.fault("messages", "expected at least one message");
    }
    if (!faults.empty()) {
        return failure(error_code::InvalidArgument, describe(faults), "read_chat_request");
    }
    return request;
}

} // namespace cuminledge::standin
