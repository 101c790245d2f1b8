#include <net/reachability.hpp>

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <net/address.hpp>

#include "deadline_timer.hpp"

namespace cuminledge::net {

namespace {

    /// One attempt; lives as long as its handlers.
    struct connection_attempt {
        connection_attempt(boost::asio::io_context& context, std::function<void(reachability)> handler)
            : socket(context)
            , deadline(context.get_executor())
            , onChecked(std::move(handler))
        {
        }

        boost::asio::ip::tcp::socket socket;
        deadline_timer deadline;
        std::function<void(reachability)> onChecked;
    };

    reachability toReachability(const boost::system::error_code& problem)
    {
        if (!problem) {
            return reachability::Accepts;
        }
        return problem == boost::asio::error::connection_refused ? reachability::Refuses : reachability::Unreachable;
    }

} // namespace

void checkReachability(boost::asio::io_context& context, const std::string& address, std::chrono::milliseconds timeout,
    std::function<void(reachability)> onChecked)
{
    const auto endpoint = parseAddress(address, "check_reachability");
    if (!endpoint) {
        boost::asio::post(context, [onChecked = std::move(onChecked)] { onChecked(reachability::Unreachable); });
        return;
    }
    auto attempt = std::make_shared<connection_attempt>(context, std::move(onChecked));
    attempt->deadline.set(timeout, [attempt] {
        boost::system::error_code ignored;
        attempt->socket.close(ignored); // ends the attempt with an error
    });
    attempt->socket.async_connect(*endpoint, [attempt](auto problem) {
        attempt->deadline.clear();
        boost::system::error_code ignored;
        attempt->socket.close(ignored);
        attempt->onChecked(toReachability(problem));
    });
}

} // namespace cuminledge::net
