#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace cuminledge::net {

/// Cuts a text/event-stream body into events (WHATWG HTML, "Server-sent events"); only their data is kept.
class sse_parser {
public:
    explicit sse_parser(std::size_t maxEventBytes)
        : m_maxEventBytes(maxEventBytes)
    {
    }

    /// @param deliver gets the data of each event that is complete.
    /// @return false once an event is over its bound.
    bool feed(std::string_view bytes, const std::function<void(std::string&&)>& deliver);

private:
    void endLine(const std::function<void(std::string&&)>& deliver);

    std::size_t m_maxEventBytes;
    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    bool m_afterCarriageReturn = false;
};

} // namespace cuminledge::net
