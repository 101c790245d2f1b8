#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace cuminledge::core::forward {

/// One whole server-sent event.
struct stream_piece {
    std::string id; ///< of its id line; empty: it has none
    std::string data; ///< of its data lines, joined by line feeds
    std::string bytes; ///< as it came, with its blank line
};

/// Bytes of a stream that are not a whole event yet.
struct event_splitter {
    std::string partial;
};

/// An event may not be larger.
constexpr std::size_t maxEventBytes = 1U << 20U;

/**
 * Takes bytes of an event stream, cut anywhere.
 *
 * @param visit called for each event that has become whole, in order. Comments and events without data are events too,
 *        so that what is passed on is what came.
 * @return false where an event is larger than maxEventBytes.
 */
bool feed(event_splitter& splitter, std::string_view bytes, const std::function<void(stream_piece&&)>& visit);

} // namespace cuminledge::core::forward
