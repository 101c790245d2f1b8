#include <catch2/catch.hpp>

#include "forward_gateway.hpp"

using namespace cuminledge;
using namespace cuminledge::core;
using namespace cuminledge::core::forward;
using namespace std::chrono_literals;

TEST_CASE("A forwarding gateway that knows no configuration says that nothing has run", "[forward]")
{
    forward_gateway g;
    g.give(g.makeRequest("/pay/1"));
    const auto refusal = g.take<refuse_caller>();
    REQUIRE(refusal);
    CHECK(refusal->code == error_code::Unavailable);
    CHECK_FALSE(refusal->mayHaveRun);
    CHECK(g.state.calls.empty());
}

TEST_CASE("A request goes to a server of its route with its account and what is left of its time", "[forward]")
{
    forward_gateway g;
    g.configure();
    auto request = g.makeRequest("/pay/1?x=2");
    g.give(request);
    const auto sent = g.take<forward_upstream>();
    REQUIRE(sent);
    CHECK(sent->target == "/pay/1?x=2");
    CHECK(sent->account == "alice");
    CHECK(sent->attempt == request.attempt);
    CHECK(sent->timeLeft == std::chrono::milliseconds(3'000));
    CHECK(sent->backend.front() == 's');

    g.give(forward_gateway::makeHead(*sent, 201));
    g.give(upstream_data { sent->request, "done" });
    CHECK_FALSE(g.take<answer_data>()); // held back until it is whole
    g.give(upstream_finished { sent->request });
    const auto begun = g.take<begin_answer>();
    REQUIRE(begun);
    CHECK(begun->status == 201);
    CHECK(begun->length == 4);
    CHECK(g.take<answer_data>()->data == "done");
    CHECK(g.take<end_answer>());
    CHECK(g.state.calls.empty());
    CHECK(g.state.expiries.empty());
}

TEST_CASE("Unknown routes and keys are refused", "[forward]")
{
    forward_gateway g;
    g.configure();
    g.give(g.makeRequest("/nowhere/"));
    CHECK(g.take<refuse_caller>()->code == error_code::NotFound);
    auto request = g.makeRequest("/pay/1");
    request.key = "stolen";
    g.give(request);
    CHECK(g.take<refuse_caller>()->code == error_code::Unauthenticated);
    CHECK_FALSE(g.take<forward_upstream>());
}

TEST_CASE("The longest prefix of the path selects the route", "[forward]")
{
    forward_gateway g;
    g.table.routes.push_back(forward_gateway::makeRoute("/status/deep/", "engines"));
    g.table.routes.back().isPublic = true;
    g.configure();
    auto request = g.makeRequest("/status/deep/1");
    request.key.clear();
    g.give(request);
    const auto sent = g.take<forward_upstream>();
    REQUIRE(sent);
    CHECK(sent->backend.front() == 'e');
    CHECK(sent->account.empty());
}

TEST_CASE("A request that may not be repeated is sent again only where it is proved not to have run", "[forward]")
{
    forward_gateway g;
    g.configure();
    g.give(g.makeRequest("/pay/1"));
    const auto first = g.take<forward_upstream>();
    REQUIRE(first);
    auto head = forward_gateway::makeHead(*first, 503);
    head.notRun = true;
    g.give(head);
    const auto second = g.take<forward_upstream>();
    REQUIRE(second);
    CHECK(second->backend != first->backend);

    SECTION("a connection that never came about is such a proof")
    {
        g.give(upstream_failed { second->request, upstream_phase::NotSent, "refused" });
        const auto refusal = g.take<refuse_caller>(); // both servers have had it
        REQUIRE(refusal);
        CHECK_FALSE(refusal->mayHaveRun);
    }
    SECTION("a request that was sent and not answered may have run")
    {
        g.give(upstream_failed { second->request, upstream_phase::Sent, "reset" });
        CHECK_FALSE(g.take<forward_upstream>());
        const auto refusal = g.take<refuse_caller>();
        REQUIRE(refusal);
        CHECK(refusal->mayHaveRun);
    }
    SECTION("an answer to another request proves nothing")
    {
        auto foreign = forward_gateway::makeHead(*second, 200);
        foreign.attempt = "other";
        g.give(foreign);
        CHECK_FALSE(g.take<forward_upstream>());
        CHECK(g.take<refuse_caller>()->mayHaveRun);
    }
}

TEST_CASE("An idempotent request runs on no more servers than its route allows", "[forward]")
{
    forward_gateway g;
    g.configure();
    g.give(g.makeRequest("/status/1"));
    const auto first = g.take<forward_upstream>();
    REQUIRE(first);
    g.give(forward_gateway::makeHead(*first, 500));
    const auto second = g.take<forward_upstream>();
    REQUIRE(second);
    CHECK(second->backend != first->backend);
    g.give(upstream_failed { second->request, upstream_phase::Answering, "reset" });
    CHECK_FALSE(g.take<forward_upstream>());
    CHECK(g.take<refuse_caller>()->mayHaveRun);
}

TEST_CASE("A stream goes on at another server behind its last whole event", "[forward]")
{
    forward_gateway g;
    g.configure();
    g.give(g.makeRequest("/draft/1"));
    const auto first = g.take<forward_upstream>();
    REQUIRE(first);
    g.give(forward_gateway::makeHead(*first));
    g.give(upstream_data { first->request, "id: 1\ndata: one\n\nid: 2\nda" });
    CHECK(g.take<begin_answer>());
    CHECK(g.take<answer_data>()->data == "id: 1\ndata: one\n\n");
    g.give(upstream_failed { first->request, upstream_phase::Answering, "reset" });
    const auto second = g.take<forward_upstream>();
    REQUIRE(second);
    CHECK(second->lastEvent == "1");
    g.stream(*second, { "id: 2\ndata: two\n\n" });
    CHECK_FALSE(g.take<begin_answer>());
    CHECK(g.take<answer_data>()->data == "id: 2\ndata: two\n\n");
    CHECK(g.take<end_answer>());
}

TEST_CASE("A failure of the server that a stream goes on at is no part of the stream", "[forward]")
{
    forward_gateway g;
    g.configure();
    g.give(g.makeRequest("/draft/1"));
    const auto first = g.take<forward_upstream>();
    g.give(forward_gateway::makeHead(*first));
    g.give(upstream_data { first->request, "id: 1\ndata: one\n\n" });
    g.give(upstream_failed { first->request, upstream_phase::Answering, "reset" });
    const auto second = g.take<forward_upstream>();
    REQUIRE(second);
    g.out.clear();
    g.give(forward_gateway::makeHead(*second, 500));
    g.give(upstream_data { second->request, "data: not an event of it\n\n" });
    g.give(upstream_finished { second->request });
    CHECK_FALSE(g.take<answer_data>());
    CHECK_FALSE(g.take<end_answer>());
    CHECK(g.take<abort_exchange>());
}

TEST_CASE("A stream that may not be resumed is broken off, not ended", "[forward]")
{
    forward_gateway g;
    g.configure();
    g.give(g.makeRequest("/chat/1"));
    const auto sent = g.take<forward_upstream>();
    REQUIRE(sent);
    g.give(forward_gateway::makeHead(*sent));
    g.give(upstream_data { sent->request, "id: 1\ndata: one\n\nid: 2" });
    SECTION("on a broken connection") { g.give(upstream_failed { sent->request, upstream_phase::Answering, "reset" }); }
    SECTION("on an end within an event") { g.give(upstream_finished { sent->request }); }
    CHECK(g.take<abort_exchange>());
    CHECK_FALSE(g.take<end_answer>());
}

TEST_CASE("A caller that leaves stops the work for it, unless the work may not be repeated", "[forward]")
{
    forward_gateway g;
    g.configure();
    g.give(g.makeRequest("/draft/1"));
    const auto stream = g.take<forward_upstream>();
    g.give(caller_gone { firstExchange });
    CHECK(g.take<cancel_upstream>()->request == stream->request);
    CHECK(g.state.calls.empty());

    g.give(g.makeRequest("/pay/1"));
    const auto payment = g.take<forward_upstream>();
    g.give(caller_gone { firstExchange + 1 });
    CHECK_FALSE(g.take<cancel_upstream>());
    g.give(forward_gateway::makeHead(*payment));
    g.give(upstream_finished { payment->request });
    CHECK(g.state.calls.empty());
}

TEST_CASE("A request whose time is over ends with what is known of it", "[forward]")
{
    forward_gateway g;
    g.configure();
    auto request = g.makeRequest("/pay/1");
    request.timeLeft = std::chrono::milliseconds(500);
    g.give(request);
    g.pass(std::chrono::milliseconds(500));
    CHECK(g.take<cancel_upstream>());
    const auto refusal = g.take<refuse_caller>();
    REQUIRE(refusal);
    CHECK(refusal->code == error_code::Timeout);
    CHECK(refusal->mayHaveRun);
    CHECK(g.state.calls.empty());
}

TEST_CASE("A draining or withdrawn server gets no new request", "[forward]")
{
    forward_gateway g;
    g.configure();
    auto draining = forward_gateway::makeServer("s1", "shop");
    draining.draining = true;
    auto gone = forward_gateway::makeServer("s2", "shop");
    gone.withdrawn = true;
    applyMembership(g.state.servers, { draining, gone }, false);
    g.give(g.makeRequest("/pay/1"));
    CHECK_FALSE(g.take<forward_upstream>());
    const auto refusal = g.take<refuse_caller>();
    REQUIRE(refusal);
    CHECK_FALSE(refusal->mayHaveRun);
    CHECK(refusal->retryAfter.count() > 0);
}

TEST_CASE("A gateway that shuts down serves what comes meanwhile, and ends when nothing is left", "[forward]")
{
    forward_gateway g;
    g.configure();
    g.give(shutdown_requested {});
    CHECK_FALSE(g.take<set_ready>()->ready);
    CHECK(g.take<announce_closing>());
    g.pass(g.state.settings.shutdownDelay);
    CHECK(g.take<close_listeners>());
    g.give(g.makeRequest("/pay/1"));
    const auto sent = g.take<forward_upstream>();
    REQUIRE(sent);
    g.pass(std::chrono::milliseconds(1'500));
    CHECK_FALSE(g.take<stop_process>());
    g.give(forward_gateway::makeHead(*sent));
    g.give(upstream_finished { sent->request });
    CHECK(g.take<end_answer>());
    g.pass(std::chrono::milliseconds(100));
    CHECK(g.take<stop_process>());
}

namespace {

/// The authority grants the account's waiting calls nothing.
void refuseTokens(forward_gateway& g)
{
    std::optional<wire::rate_lease_request> asked;
    for (const auto& effect : g.out) {
        const auto* sent = std::get_if<send_message>(&effect);
        const auto* request = sent == nullptr ? nullptr : std::get_if<wire::rate_lease_request>(&sent->body);
        if (request != nullptr) {
            asked = *request;
        }
    }
    REQUIRE(asked);
    wire::rate_lease_grant grant;
    grant.request = asked->request;
    grant.account = asked->account;
    grant.session = asked->session;
    grant.epoch = 1;
    grant.lease = 1;
    grant.duration = std::chrono::milliseconds(2'000);
    grant.retryAfter = std::chrono::milliseconds(50);
    g.out.clear();
    g.give(peer_message { "c1", 1, grant });
}

} // namespace

TEST_CASE("Where an account's rate is used up, new programs are turned away and those under way wait", "[forward]")
{
    // Pattern: an account sends more than its rate; calls refused one by one would end every program in its middle.
    forward_gateway g;
    g.table.accounts[0].ratePerSecond = 10;
    g.table.accounts[0].burst = 10;
    g.configure();
    noteAdmitted(g.state.programs, "old", g.clock.now());
    auto tool = g.makeRequest("/status/1");
    tool.programContext.program = "old";
    g.give(tool);
    refuseTokens(g);
    CHECK_FALSE(g.take<refuse_caller>()); // waits for the next token

    auto turn = g.makeRequest("/draft/1");
    turn.programContext.program = "new";
    g.give(turn);
    const auto refusal = g.take<refuse_caller>();
    REQUIRE(refusal);
    CHECK(refusal->code == error_code::RateLimited);
    CHECK(refusal->retryAfter.count() > 0);

    auto second = g.makeRequest("/draft/1");
    second.programContext.program = "old";
    g.give(second);
    CHECK_FALSE(g.take<refuse_caller>());

    for (int i = 0; i < 70 && !g.state.calls.empty(); ++i) {
        g.pass(std::chrono::milliseconds(10));
    }
    CHECK(g.state.rateRetries.size() <= g.state.calls.size());
}

TEST_CASE("a gateway without a configuration asks often, and says when the controllers are expected", "[forward]")
{
    forward_gateway gateway;
    gateway.pass(0ms);
    const auto first = gateway.state.configuration.poll.request;
    REQUIRE(first != 0);
    gateway.pass(120ms);
    CHECK(gateway.state.configuration.poll.request > first);

    gateway.pass(80ms);
    gateway.give(gateway.makeRequest("/status/1"));
    const auto early = gateway.take<refuse_caller>();
    REQUIRE(early);
    CHECK(early->code == error_code::Unavailable);
    CHECK(early->retryAfter == 1'300ms);

    gateway.pass(5s);
    gateway.give(gateway.makeRequest("/status/2"));
    const auto late = gateway.take<refuse_caller>();
    REQUIRE(late);
    CHECK(late->retryAfter == gateway.state.settings.retryAdvice);
}

TEST_CASE("a gateway follows the directory of controllers", "[forward]")
{
    forward_gateway gateway;
    auto& client = gateway.state.controllers;
    gateway.give(peer_message { "c1", 1, wire::controller_directory { 5, { "c1", "10.0.0.2:7", "10.0.0.3:7" } } });
    CHECK(client.controllers.size() == 3);
    REQUIRE(gateway.take<connect_peer>());
    gateway.give(peer_connected { "10.0.0.3:7", "controller", 1 });
    client.leaders[0] = "10.0.0.3:7";

    gateway.give(peer_message { "c1", 1, wire::controller_directory { 4, { "c1" } } });
    CHECK(client.controllers.size() == 3);
    // A seed stays, even where it is no controller any more: the settings name it.
    gateway.give(peer_message { "c1", 1, wire::controller_directory { 6, { "10.0.0.2:7" } } });
    CHECK(client.controllers.size() == 2);
    const auto left = gateway.take<disconnect_peer>();
    REQUIRE(left);
    CHECK(left->peer == "10.0.0.3:7");
    CHECK_FALSE(client.leaders.contains(0));
}
