#include <catch2/catch.hpp>

#include "forward_gateway.hpp"

#include <core/store/shard_state.hpp>

using namespace cuminledge;
using namespace cuminledge::core;
using namespace cuminledge::core::forward;

namespace {

const std::string piece(16U << 10U, 'x');

/// Starts a request; the server answers with the head.
forward_upstream beginAnswer(forward_gateway& gateway, const std::string& target)
{
    gateway.dispatch(gateway.makeRequest(target));
    const auto sent = gateway.takeEffect<forward_upstream>();
    REQUIRE(sent);
    gateway.dispatch(forward_gateway::makeHead(*sent));
    return *sent;
}

std::string makeEvent(int id, std::size_t size)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::string(size, 'x') + "\n\n";
}

} // namespace

// Guards against gateways that outgrow their memory by the endless answers of one server whose callers have left.
TEST_CASE("What comes after the caller has left is not kept, while a request that may not be repeated runs on", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    const auto sent = beginAnswer(gateway, "/pay/1");
    gateway.dispatch(upstream_data { sent.request, piece });
    CHECK(gateway.state.heldAnswerBytes == piece.size());
    gateway.dispatch(caller_gone { firstExchange, "" });
    for (int i = 0; i < 100; ++i) {
        gateway.dispatch(upstream_data { sent.request, piece });
    }
    REQUIRE(gateway.state.calls.size() == 1);
    CHECK(heldBytes(gateway.state.calls.begin()->second.answer) == 0);
    CHECK(gateway.state.heldAnswerBytes == 0);
    CHECK_FALSE(gateway.takeEffect<cancel_upstream>());
    SECTION("the answer ends")
    {
        gateway.dispatch(upstream_finished { sent.request });
        CHECK(gateway.state.counters.answered == 1);
    }
    SECTION("it does not end in its time")
    {
        gateway.advance(std::chrono::milliseconds(3'000));
        CHECK(gateway.takeEffect<cancel_upstream>()->request == sent.request);
    }
    CHECK(gateway.state.calls.empty());
}

// Guards against answers that pile up in the gateway, or are cut, since the caller's link is slower than the server's.
TEST_CASE("The server is not read while its answer waits for the caller", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    const auto sent = beginAnswer(gateway, "/pay/1");
    gateway.dispatch(caller_blocked { firstExchange });
    CHECK(gateway.takeEffect<pause_upstream>()->request == sent.request);
    SECTION("until the caller has read on")
    {
        gateway.dispatch(caller_unblocked { firstExchange });
        CHECK(gateway.takeEffect<resume_upstream>()->request == sent.request);
    }
    SECTION("until the caller leaves: the rest is read, as the request may otherwise stop half-way")
    {
        gateway.dispatch(caller_gone { firstExchange, "" });
        CHECK(gateway.takeEffect<resume_upstream>()->request == sent.request);
    }
    SECTION("until the request's time has passed")
    {
        gateway.advance(std::chrono::milliseconds(3'000));
        CHECK(gateway.takeEffect<cancel_upstream>()->request == sent.request);
        gateway.dispatch(caller_unblocked { firstExchange });
        CHECK_FALSE(gateway.takeEffect<resume_upstream>());
    }
}

// Guards against a stream that goes on at another server unpaused, past a caller that is still behind.
TEST_CASE("A stream that goes on at another server is paused as long as its caller is behind", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    const auto first = beginAnswer(gateway, "/draft/1");
    gateway.dispatch(upstream_data { first.request, makeEvent(1, 10) });
    gateway.dispatch(caller_blocked { firstExchange });
    gateway.takeEffect<pause_upstream>();
    gateway.dispatch(upstream_failed { first.request, upstream_phase::Answering, "reset" });
    const auto second = gateway.takeEffect<forward_upstream>();
    REQUIRE(second);
    CHECK(gateway.takeEffect<pause_upstream>()->request == second->request);
    gateway.dispatch(caller_unblocked { firstExchange });
    CHECK(gateway.takeEffect<resume_upstream>()->request == second->request);
}

// Guards against a gateway over its memory by many answers, each of them within the bound of its own.
TEST_CASE("The answers under way stay within their memory together, and the largest gives way", "[forward]")
{
    forward_gateway gateway;
    gateway.state.settings.maxAnswerBytes = 1U << 20U;
    gateway.configure();
    constexpr int streamCount = 40;
    std::vector<forward_upstream> streams;
    streams.reserve(streamCount);
    for (int i = 0; i < streamCount; ++i) {
        streams.push_back(beginAnswer(gateway, "/chat/1"));
    }
    gateway.dispatch(upstream_data { streams[7].request, makeEvent(1, 60'000) });
    std::size_t mostHeld = 0;
    for (int id = 2; id < 10; ++id) {
        for (const auto& stream : streams) {
            gateway.dispatch(upstream_data { stream.request, makeEvent(id, 5'000) });
            mostHeld = std::max(mostHeld, gateway.state.heldAnswerBytes);
        }
    }
    CHECK(mostHeld <= gateway.state.settings.maxAnswerBytes);
    CHECK_FALSE(gateway.state.calls.contains(firstExchange + 7));
    CHECK(gateway.state.calls.size() > 20);
    CHECK(gateway.takeEffect<abort_exchange>());
}

// Guards against a stream without end whose output is collected to be retained.
TEST_CASE("A turn is broken off as soon as it is too large to be retained", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    const auto sent = beginAnswer(gateway, "/chat/1");
    std::size_t mostHeld = 0;
    for (int id = 1; id < 200 && !gateway.state.calls.empty(); ++id) {
        gateway.dispatch(upstream_data { sent.request, makeEvent(id, 50'000) });
        mostHeld = std::max(mostHeld, gateway.state.heldAnswerBytes);
    }
    CHECK(mostHeld <= store::maxTurnBytes);
    CHECK(gateway.takeEffect<cancel_upstream>()->request == sent.request);
    CHECK(gateway.takeEffect<abort_exchange>());
    CHECK(gateway.state.heldAnswerBytes == 0);
}
