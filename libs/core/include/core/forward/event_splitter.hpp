#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace cuminledge::core::forward {

/// One complete server-sent event.
struct sse_event {
    std::string id; ///< value of the id field; empty: none
    std::string data; ///< values of the data fields, joined by line feeds
    std::string bytes; ///< as received, including the terminating blank line
    bool hasData = false;
    bool isWellFormed = true; ///< false: it has no data, and a line that no event has, e.g. the text of an error
};

/// Buffers the bytes of an event stream that do not form a complete event yet.
struct event_splitter {
    std::string partial;
};

/// Maximum size of one event.
constexpr std::size_t maxEventBytes = 1U << 20U;

/**
 * Appends bytes of an event stream; chunk boundaries may fall anywhere.
 *
 * @param visit called in order for each event that is now complete. Comments and events without data are reported too,
 *        so that the stream can be forwarded unchanged.
 * @return false if an incomplete event exceeds maxEventBytes.
 */
bool feed(event_splitter& splitter, std::string_view bytes, const std::function<void(sse_event&&)>& visit);

} // namespace cuminledge::core::forward
