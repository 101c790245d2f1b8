#include "rpc_post.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>

#include <net/http_client.hpp>

namespace cuminledge::net {

post_outcome postOnce(
    const std::string& address, const std::string& target, const std::string& body, std::chrono::milliseconds timeout)
{
    post_outcome outcome;
    outcome.sent = true; // until it is proved that it was not
    outcome.problem = "no answer within the timeout";
    std::uint32_t status = 0;
    boost::asio::io_context context;
    http_client_handlers handlers;
    handlers.onResponse = [&](const std::string&, response_head&& head) { status = head.status; };
    handlers.onData = [&](const std::string&, std::string&& data) { outcome.body += data; };
    handlers.onFinished = [&](const std::string&) {
        outcome.answered = status == 200;
        outcome.problem = "answered with HTTP status " + std::to_string(status);
        context.stop();
    };
    handlers.onFailed = [&](const std::string&, request_phase phase, const std::string& message) {
        outcome.sent = phase != request_phase::NotSent;
        outcome.problem = message;
        context.stop();
    };
    http_client_settings settings;
    settings.connectTimeout = timeout;
    http_client client(context, settings, std::move(handlers));
    client_request request;
    request.request = "call";
    request.address = address;
    request.target = target;
    request.headers = { { "Content-Type", "application/json" }, { "Connection", "close" } };
    request.body = body;
    request.freshConnection = true;
    client.start(std::move(request));
    constexpr std::chrono::milliseconds forTheConnectTimeoutToReport { 50 };
    context.run_for(timeout + forTheConnectTimeoutToReport);
    return outcome;
}

} // namespace cuminledge::net
