#include "sse_parser.hpp"

#include <utility>

namespace cuminledge::net {

bool sse_parser::feed(std::string_view bytes, const std::function<void(std::string&&)>& deliver)
{
    for (const char c : bytes) {
        const bool endsCrLf = c == '\n' && m_afterCarriageReturn;
        m_afterCarriageReturn = c == '\r';
        if (endsCrLf) {
            continue;
        }
        if (c == '\n' || c == '\r') {
            endLine(deliver);
            continue;
        }
        if (m_line.size() + m_data.size() >= m_maxEventBytes) {
            return false;
        }
        m_line += c;
    }
    return true;
}

void sse_parser::endLine(const std::function<void(std::string&&)>& deliver)
{
    const std::string line = std::exchange(m_line, {});
    if (line.empty()) {
        if (std::exchange(m_hasData, false)) {
            deliver(std::exchange(m_data, {}));
        }
        return;
    }
    constexpr std::string_view field = "data:";
    if (line.compare(0, field.size(), field) != 0) {
        return;
    }
    const std::size_t start = line.size() > field.size() && line[field.size()] == ' ' ? field.size() + 1 : field.size();
    if (std::exchange(m_hasData, true)) {
        m_data += '\n';
    }
    m_data.append(line, start);
}

} // namespace cuminledge::net
