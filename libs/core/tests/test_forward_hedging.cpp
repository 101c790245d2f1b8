#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

#include "forward_gateway.hpp"

using namespace cuminledge;
using namespace cuminledge::core;
using namespace cuminledge::core::forward;
using namespace std::chrono_literals;

namespace {

/// A gateway whose requests to the service "shop" take 10 ms.
struct hedging_gateway : forward_gateway {
    explicit hedging_gateway(double share = 0.2)
    {
        state.settings.hedges.share = share;
        configure();
        for (int i = 0; i < 60; ++i) {
            const auto sent = send("/status/1");
            clock.advance(10ms);
            answer(sent);
        }
        out.clear();
    }

    forward_upstream send(const std::string& target)
    {
        dispatch(makeRequest(target));
        const auto sent = takeEffect<forward_upstream>();
        REQUIRE(sent);
        return *sent;
    }

    void answer(const forward_upstream& sent)
    {
        dispatch(makeHead(sent));
        dispatch(upstream_data { sent.request, "from " + sent.backend });
        dispatch(upstream_finished { sent.request });
    }

    /// Lets the time pass after which a request is late.
    std::optional<forward_upstream> waitForHedge()
    {
        advance(100ms);
        return takeEffect<forward_upstream>();
    }

    std::uint32_t inFlight() const
    {
        std::uint32_t sum = 0;
        for (const auto& [id, entry] : state.servers.servers) {
            sum += entry.inFlight;
        }
        return sum;
    }
};

} // namespace

// Answers one slow server: the caller does not wait for it.
TEST_CASE("A late idempotent request is sent to a second server, and the first answer counts", "[hedge]")
{
    hedging_gateway gateway;
    const auto first = gateway.send("/status/1");
    const auto second = gateway.waitForHedge();
    REQUIRE(second);
    CHECK(second->backend != first.backend);
    CHECK(second->attempt == first.attempt);

    SECTION("the second server answers first")
    {
        gateway.answer(*second);
        CHECK(gateway.takeEffect<cancel_upstream>()->request == first.request);
        CHECK(gateway.takeEffect<answer_data>()->data == "from " + second->backend);
        CHECK(gateway.state.hedging.counters.won == 1);
        gateway.answer(first); // too late
    }
    SECTION("the first server answers after all")
    {
        gateway.answer(first);
        CHECK(gateway.takeEffect<cancel_upstream>()->request == second->request);
        CHECK(gateway.takeEffect<answer_data>()->data == "from " + first.backend);
        gateway.answer(*second);
    }
    SECTION("the first send is lost")
    {
        gateway.dispatch(upstream_failed { first.request, upstream_phase::Sent, "closed" });
        CHECK_FALSE(gateway.takeEffect<forward_upstream>());
        gateway.answer(*second);
        CHECK(gateway.takeEffect<answer_data>());
    }
    SECTION("the second send is refused")
    {
        auto head = forward_gateway::makeHead(*second, 503);
        head.notRun = true;
        gateway.dispatch(head);
        CHECK_FALSE(gateway.takeEffect<refuse_caller>());
        gateway.answer(first);
        CHECK(gateway.takeEffect<answer_data>());
    }
    SECTION("the second send is lost")
    {
        gateway.dispatch(upstream_failed { second->request, upstream_phase::Sent, "closed" });
        gateway.answer(first);
        CHECK(gateway.takeEffect<answer_data>());
    }
    SECTION("the caller leaves")
    {
        gateway.out.clear();
        gateway.dispatch(caller_gone { gateway.nextExchange - 1, "closed" });
        std::set<std::string> cancelled;
        while (const auto cancel = gateway.takeEffect<cancel_upstream>()) {
            cancelled.insert(cancel->request);
        }
        CHECK(cancelled == std::set<std::string> { first.request, second->request });
    }
    SECTION("the time passes")
    {
        gateway.advance(4s);
        CHECK(gateway.takeEffect<refuse_caller>());
    }
    CHECK(gateway.inFlight() == 0);
    CHECK(gateway.state.calls.empty());
    CHECK(gateway.state.callByUpstream.empty());
    const auto answers = std::count_if(gateway.out.begin(), gateway.out.end(),
        [](const effect& each) { return std::holds_alternative<end_answer>(each); });
    CHECK(answers <= 1);
}

// Answers servers that are all slow: extra sends must not add to their load.
TEST_CASE("Extra sends stay within their share of the requests", "[hedge]")
{
    hedging_gateway gateway(0.1);
    const auto before = gateway.state.hedging.counters.sent;
    int hedged = 0;
    constexpr int requests = 100;
    for (int i = 0; i < requests; ++i) {
        const auto sent = gateway.send("/status/1");
        hedged += gateway.waitForHedge() ? 1 : 0;
        gateway.answer(sent);
        gateway.out.clear();
    }
    CHECK(hedged <= requests * 0.1 + gateway.state.settings.hedges.maxSaved + 1);
    CHECK(hedged > 0);
    CHECK(gateway.state.hedging.counters.sent - before == static_cast<std::uint64_t>(hedged));
}

// Answers servers that are full: an extra send would delay others.
TEST_CASE("No request is hedged while the servers are busy", "[hedge]")
{
    hedging_gateway gateway;
    gateway.state.servers.gatewayCount = 20;
    const auto first = gateway.send("/status/1");
    gateway.send("/status/1");
    CHECK_FALSE(gateway.waitForHedge());
    gateway.answer(first);
}

// Guards against a payment that runs twice.
TEST_CASE("What may not be repeated is never hedged, nor are streams", "[hedge]")
{
    hedging_gateway gateway;
    for (const auto* target : { "/pay/1", "/chat/1", "/draft/1" }) {
        gateway.send(target);
        CHECK_FALSE(gateway.waitForHedge());
    }
}

TEST_CASE("Hedging is off by default, and respects the route's attempts", "[hedge]")
{
    hedging_gateway off(0);
    off.send("/status/1");
    CHECK_FALSE(off.waitForHedge());

    hedging_gateway single;
    single.table.version = 2;
    for (auto& route : single.table.routes) {
        route.maxAttempts = 1;
    }
    single.advance(single.state.settings.configPollInterval);
    single.answerPoll({}, true);
    single.send("/status/1");
    CHECK_FALSE(single.waitForHedge());
}

TEST_CASE("The estimate of a quantile follows its series", "[hedge]")
{
    constexpr unsigned seed = 11;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> draw(0, 100);
    quantile_estimate estimate;
    for (int i = 0; i < 4'000; ++i) {
        addSample(estimate, draw(random), 0.95);
    }
    CHECK(estimate.value > 85);
    CHECK(estimate.value < 105);
    for (int i = 0; i < 4'000; ++i) {
        addSample(estimate, draw(random) / 10, 0.95);
    }
    CHECK(estimate.value < 12);
}
