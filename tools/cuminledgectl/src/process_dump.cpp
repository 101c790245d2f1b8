#include <ctl/process_dump.hpp>

#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>

#include <net/http_client.hpp>

namespace cuminledge::ctl {

result<std::string> fetchDump(const std::string& address, std::chrono::milliseconds timeout)
{
    boost::asio::io_context context;
    std::string body;
    std::uint32_t status = 0;
    std::optional<result<std::string>> outcome;
    net::http_client_handlers handlers;
    handlers.onResponse = [&](const std::string&, net::response_head&& head) { status = head.status; };
    handlers.onData = [&](const std::string&, std::string&& data) { body += data; };
    handlers.onFinished = [&](const std::string&) { outcome = std::move(body); };
    handlers.onFailed = [&](const std::string&, net::request_phase, const std::string& message) {
        outcome = failure(error_code::Unavailable, message, "fetch_dump", address);
    };
    net::http_client client(context, {}, std::move(handlers));
    net::client_request request;
    request.request = "dump";
    request.address = address;
    request.method = "GET";
    request.target = "/debug/state";
    request.silenceTimeout = timeout;
    client.start(std::move(request));
    while (!outcome && context.run_one() > 0) { }
    constexpr std::uint32_t okStatus = 200;
    if (outcome && *outcome && status != okStatus) {
        return failure(error_code::Unavailable, "HTTP status " + std::to_string(status), "fetch_dump", address);
    }
    return outcome ? *outcome : failure(error_code::Unavailable, "no answer", "fetch_dump", address);
}

} // namespace cuminledge::ctl
