#include <net/reachability.hpp>

#include <optional>

#include <catch2/catch.hpp>

#include "loopback.hpp"

using namespace cuminledge::net;
using namespace cuminledge::net::test;

namespace {

std::optional<reachability> check(const std::string& address)
{
    context_thread thread;
    std::optional<reachability> outcome;
    thread.call([&] {
        checkReachability(thread.context(), address, std::chrono::seconds(5), [&](reachability found) { outcome = found; });
    });
    thread.waitFor([&] { return outcome.has_value(); });
    return outcome;
}

} // namespace

// Guards against a server that lives on being taken for a crashed one, and the other way round.
TEST_CASE("A check tells a listening server from one whose process has ended")
{
    boost::asio::io_context context;
    std::optional<tcp::acceptor> server;
    server.emplace(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const auto address = "127.0.0.1:" + std::to_string(server->local_endpoint().port());
    CHECK(check(address) == reachability::Accepts);
    server.reset();
    CHECK(check(address) == reachability::Refuses);
}

TEST_CASE("A text that is no address is unreachable")
{
    CHECK(check("nowhere") == reachability::Unreachable);
}
