#include <core/forward/event_splitter.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cuminledge::core::forward {

namespace {

    std::string_view valueOf(std::string_view line, std::string_view field)
    {
        auto value = line.substr(field.size());
        if (!value.empty() && value.front() == ' ') {
            value.remove_prefix(1);
        }
        return value;
    }

    /// @return whether the line may stand in an event without data.
    bool isKnownField(std::string_view line)
    {
        constexpr std::array<std::string_view, 4> names { "id", "event", "retry", "data" };
        const auto name = line.substr(0, line.find(':'));
        return name.empty() || std::find(names.begin(), names.end(), name) != names.end();
    }

    void parseLine(sse_event& event, std::string_view line, bool& hasUnknownLine)
    {
        constexpr std::string_view idField = "id:";
        constexpr std::string_view dataField = "data:";
        if (line.starts_with(idField)) {
            event.id = valueOf(line, idField);
        } else if (line.starts_with(dataField)) {
            event.data += event.hasData ? "\n" : "";
            event.data += valueOf(line, dataField);
            event.hasData = true;
        } else {
            hasUnknownLine = hasUnknownLine || !isKnownField(line);
        }
    }

    sse_event parseEvent(std::string bytes)
    {
        sse_event event;
        bool hasUnknownLine = false;
        std::size_t start = 0;
        while (start < bytes.size()) {
            const auto end = bytes.find('\n', start);
            auto line = std::string_view(bytes).substr(start, end - start);
            if (!line.empty() && line.back() == '\r') {
                line.remove_suffix(1);
            }
            parseLine(event, line, hasUnknownLine);
            start = end + 1;
        }
        event.isWellFormed = event.hasData || !hasUnknownLine;
        event.bytes = std::move(bytes);
        return event;
    }

    /// @return the end of the first complete event, or npos.
    std::size_t endOfEvent(const std::string& bytes)
    {
        std::size_t start = 0;
        while (start < bytes.size()) {
            const auto end = bytes.find('\n', start);
            if (end == std::string::npos) {
                return end;
            }
            const bool isBlank = end == start || (end == start + 1 && bytes[start] == '\r');
            if (isBlank) {
                return end + 1;
            }
            start = end + 1;
        }
        return std::string::npos;
    }

} // namespace

bool feed(event_splitter& splitter, std::string_view bytes, const std::function<void(sse_event&&)>& visit)
{
    splitter.partial += bytes;
    auto end = endOfEvent(splitter.partial);
    while (end != std::string::npos) {
        auto event = splitter.partial.substr(0, end);
        splitter.partial.erase(0, end);
        visit(parseEvent(std::move(event)));
        end = endOfEvent(splitter.partial);
    }
    return splitter.partial.size() <= maxEventBytes;
}

} // namespace cuminledge::core::forward
