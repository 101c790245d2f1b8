#include "stream_checks.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include "context.hpp"

namespace cuminledge::core::forward {

namespace {

    /// @return the content type without its parameters; empty: none is stated.
    std::string mediaType(const std::vector<std::pair<std::string, std::string>>& headers)
    {
        const auto found = std::find_if(
            headers.begin(), headers.end(), [](const auto& header) { return header.first == "content-type"; });
        return found == headers.end() ? std::string() : found->second.substr(0, found->second.find(';'));
    }

    std::optional<std::uint64_t> toNumber(const std::string& id)
    {
        std::uint64_t number = 0;
        const auto* end = id.data() + id.size();
        const auto [rest, problem] = std::from_chars(id.data(), end, number);
        return problem == std::errc() && rest == end ? std::optional(number) : std::nullopt;
    }

} // namespace

bool continuesStream(const answer_progress& begun, const upstream_head& head)
{
    return isSuccess(head.status) && mediaType(head.headers) == mediaType(begun.headers);
}

const char* faultOf(const forward_call& call, const sse_event& event)
{
    if (!event.isWellFormed) {
        return "bytes in the stream that are no event";
    }
    const auto& lastId = call.answer.lastEvent.empty() ? call.request.lastEvent : call.answer.lastEvent;
    if (!event.hasData || lastId.empty()) {
        return nullptr;
    }
    if (event.id.empty()) {
        return "an event without an id in a stream of numbered events";
    }
    const auto last = toNumber(lastId);
    const auto next = toNumber(event.id);
    return last && next && *next <= *last ? "an event that does not follow the last one" : nullptr;
}

} // namespace cuminledge::core::forward
