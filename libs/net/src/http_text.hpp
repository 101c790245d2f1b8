#pragma once

#include <algorithm>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

namespace cuminledge::net {

/// @return a header's name as the handlers get it.
inline std::string lowerCase(boost::beast::string_view name)
{
    std::string lower(name);
    std::transform(lower.begin(), lower.end(), lower.begin(),
        [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return lower;
}

/// @return the bytes of a buffer sequence in one text.
template <typename Buffers>
std::string toText(const Buffers& buffers)
{
    std::string text;
    text.reserve(boost::asio::buffer_size(buffers));
    const auto end = boost::asio::buffer_sequence_end(buffers);
    for (auto piece = boost::asio::buffer_sequence_begin(buffers); piece != end; ++piece) {
        const boost::asio::const_buffer bytes = *piece;
        text.append(static_cast<const char*>(bytes.data()), bytes.size());
    }
    return text;
}

/// @return the start line and headers of a message as they are sent.
template <bool IsRequest, typename Body>
std::string headerText(boost::beast::http::message<IsRequest, Body>& message)
{
    boost::beast::http::serializer<IsRequest, Body> serializer(message);
    serializer.split(true);
    std::string text;
    boost::system::error_code problem;
    serializer.next(problem, [&](auto&, const auto& buffers) { text = toText(buffers); });
    return text;
}

} // namespace cuminledge::net
