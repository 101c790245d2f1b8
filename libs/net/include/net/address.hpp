#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <base/error.hpp>

namespace cuminledge::net {

/// Reads "IP:PORT" or "[IP6]:PORT". Host names are not looked up: processes know one another by IP numbers.
result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string& address, const std::string& step);

} // namespace cuminledge::net
