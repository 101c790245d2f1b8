#include <net/address.hpp>

#include <charconv>

namespace cuminledge::net {

result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string& address, const std::string& step)
{
    const auto wrong = [&] {
        return failure(error_code::InvalidArgument, "expected IP:PORT, got \"" + address + "\"", step, address);
    };
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return wrong();
    }
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    const auto [rest, problem] = std::from_chars(address.data() + colon + 1, end, port);
    boost::system::error_code invalid;
    const auto ip = boost::asio::ip::make_address(host, invalid);
    if (problem != std::errc() || rest != end || invalid) {
        return wrong();
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace cuminledge::net
