#include "http_framing.hpp"

#include <boost/beast/core/string.hpp>

namespace cuminledge::net {

namespace http = boost::beast::http;

std::optional<std::string> framingFault(const http::request_header<http::fields>& head)
{
    constexpr unsigned firstVersionWithCodings = 11;
    const auto codings = head.count(http::field::transfer_encoding);
    const auto lengths = head.count(http::field::content_length);
    const bool isList = head[http::field::content_length].find(',') != boost::beast::string_view::npos;
    if (lengths > 1 || isList) {
        return "more than one Content-Length";
    }
    if (codings == 0) {
        return std::nullopt;
    }
    if (lengths != 0) {
        return "Transfer-Encoding beside Content-Length";
    }
    if (head.version() < firstVersionWithCodings) {
        return "Transfer-Encoding in a request before HTTP/1.1";
    }
    if (codings > 1 || !boost::beast::iequals(head[http::field::transfer_encoding], "chunked")) {
        return "a Transfer-Encoding other than chunked";
    }
    return std::nullopt;
}

} // namespace cuminledge::net
