#pragma once

#include <optional>
#include <string>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

/// Checks where a request ends (RFC 9112, 6.1 and 6.3).
namespace cuminledge::net {

/// The parser takes a request with an unknown transfer coding to have no body, so that its body would be read as further
/// requests. Such a request has to be refused and its connection closed.
///
/// @param head of a request without a fault that the parser finds itself.
/// @return why the request's end can't be known, or is stated in more than one way; nothing if it is known.
std::optional<std::string> framingFault(const boost::beast::http::request_header<boost::beast::http::fields>& head);

} // namespace cuminledge::net
