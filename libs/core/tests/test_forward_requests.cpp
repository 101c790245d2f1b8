#include <catch2/catch.hpp>

#include "forward_gateway.hpp"

using namespace cuminledge;
using namespace cuminledge::core;
using namespace cuminledge::core::forward;
using namespace std::chrono_literals;

TEST_CASE("A forwarding gateway without a configuration refuses a request as not run", "[forward]")
{
    forward_gateway gateway;
    gateway.dispatch(gateway.makeRequest("/pay/1"));
    const auto refusal = gateway.takeEffect<refuse_caller>();
    REQUIRE(refusal);
    CHECK(refusal->code == error_code::Unavailable);
    CHECK_FALSE(refusal->mayHaveRun);
    CHECK(gateway.state.calls.empty());
}

TEST_CASE("A request is sent to a server of its route with its account and remaining time", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    auto request = gateway.makeRequest("/pay/1?x=2");
    gateway.dispatch(request);
    const auto sent = gateway.takeEffect<forward_upstream>();
    REQUIRE(sent);
    CHECK(sent->target == "/pay/1?x=2");
    CHECK(sent->account == "alice");
    CHECK(sent->attempt == request.attempt);
    CHECK(sent->timeLeft == std::chrono::milliseconds(3'000));
    CHECK(sent->backend.front() == 's');

    gateway.dispatch(forward_gateway::makeHead(*sent, 201));
    gateway.dispatch(upstream_data { sent->request, "done" });
    CHECK_FALSE(gateway.takeEffect<answer_data>()); // buffered until it is complete
    gateway.dispatch(upstream_finished { sent->request });
    const auto begun = gateway.takeEffect<begin_answer>();
    REQUIRE(begun);
    CHECK(begun->status == 201);
    CHECK(begun->length == 4);
    CHECK(gateway.takeEffect<answer_data>()->data == "done");
    CHECK(gateway.takeEffect<end_answer>());
    CHECK(gateway.state.calls.empty());
    CHECK(gateway.state.expiries.empty());
}

TEST_CASE("Requests with an unknown route or key are refused", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.dispatch(gateway.makeRequest("/nowhere/"));
    CHECK(gateway.takeEffect<refuse_caller>()->code == error_code::NotFound);
    auto request = gateway.makeRequest("/pay/1");
    request.key = "stolen";
    gateway.dispatch(request);
    CHECK(gateway.takeEffect<refuse_caller>()->code == error_code::Unauthenticated);
    CHECK_FALSE(gateway.takeEffect<forward_upstream>());
}

TEST_CASE("The longest prefix of the path selects the route", "[forward]")
{
    forward_gateway gateway;
    gateway.table.routes.push_back(forward_gateway::makeRoute("/status/deep/", "engines"));
    gateway.table.routes.back().isPublic = true;
    gateway.configure();
    auto request = gateway.makeRequest("/status/deep/1");
    request.key.clear();
    gateway.dispatch(request);
    const auto sent = gateway.takeEffect<forward_upstream>();
    REQUIRE(sent);
    CHECK(sent->backend.front() == 'e');
    CHECK(sent->account.empty());
}

TEST_CASE("A request that may not be repeated is sent again only if it is proved not to have run", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.dispatch(gateway.makeRequest("/pay/1"));
    const auto first = gateway.takeEffect<forward_upstream>();
    REQUIRE(first);
    auto head = forward_gateway::makeHead(*first, 503);
    head.notRun = true;
    gateway.dispatch(head);
    const auto second = gateway.takeEffect<forward_upstream>();
    REQUIRE(second);
    CHECK(second->backend != first->backend);

    SECTION("a failed connection attempt proves that the request has not run")
    {
        gateway.dispatch(upstream_failed { second->request, upstream_phase::NotSent, "refused" });
        const auto refusal = gateway.takeEffect<refuse_caller>(); // it was sent to both servers
        REQUIRE(refusal);
        CHECK_FALSE(refusal->mayHaveRun);
    }
    SECTION("a request that was sent but not answered may have run")
    {
        gateway.dispatch(upstream_failed { second->request, upstream_phase::Sent, "reset" });
        CHECK_FALSE(gateway.takeEffect<forward_upstream>());
        const auto refusal = gateway.takeEffect<refuse_caller>();
        REQUIRE(refusal);
        CHECK(refusal->mayHaveRun);
    }
    SECTION("an answer to another request proves nothing")
    {
        auto foreign = forward_gateway::makeHead(*second, 200);
        foreign.attempt = "other";
        gateway.dispatch(foreign);
        CHECK_FALSE(gateway.takeEffect<forward_upstream>());
        CHECK(gateway.takeEffect<refuse_caller>()->mayHaveRun);
    }
}

TEST_CASE("An idempotent request is run at most as often as its route allows", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.dispatch(gateway.makeRequest("/status/1"));
    const auto first = gateway.takeEffect<forward_upstream>();
    REQUIRE(first);
    gateway.dispatch(forward_gateway::makeHead(*first, 500));
    const auto second = gateway.takeEffect<forward_upstream>();
    REQUIRE(second);
    CHECK(second->backend != first->backend);
    gateway.dispatch(upstream_failed { second->request, upstream_phase::Answering, "reset" });
    CHECK_FALSE(gateway.takeEffect<forward_upstream>());
    CHECK(gateway.takeEffect<refuse_caller>()->mayHaveRun);
}

TEST_CASE("A broken stream resumes on another server after its last complete event", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.dispatch(gateway.makeRequest("/draft/1"));
    const auto first = gateway.takeEffect<forward_upstream>();
    REQUIRE(first);
    gateway.dispatch(forward_gateway::makeHead(*first));
    gateway.dispatch(upstream_data { first->request, "id: 1\ndata: one\n\nid: 2\nda" });
    CHECK(gateway.takeEffect<begin_answer>());
    CHECK(gateway.takeEffect<answer_data>()->data == "id: 1\ndata: one\n\n");
    gateway.dispatch(upstream_failed { first->request, upstream_phase::Answering, "reset" });
    const auto second = gateway.takeEffect<forward_upstream>();
    REQUIRE(second);
    CHECK(second->lastEvent == "1");
    gateway.streamAnswer(*second, { "id: 2\ndata: two\n\n" });
    CHECK_FALSE(gateway.takeEffect<begin_answer>());
    CHECK(gateway.takeEffect<answer_data>()->data == "id: 2\ndata: two\n\n");
    CHECK(gateway.takeEffect<end_answer>());
}

TEST_CASE("An error response of the server that resumes a stream is not forwarded to the caller", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.dispatch(gateway.makeRequest("/draft/1"));
    const auto first = gateway.takeEffect<forward_upstream>();
    gateway.dispatch(forward_gateway::makeHead(*first));
    gateway.dispatch(upstream_data { first->request, "id: 1\ndata: one\n\n" });
    gateway.dispatch(upstream_failed { first->request, upstream_phase::Answering, "reset" });
    const auto second = gateway.takeEffect<forward_upstream>();
    REQUIRE(second);
    gateway.out.clear();
    gateway.dispatch(forward_gateway::makeHead(*second, 500));
    gateway.dispatch(upstream_data { second->request, "data: not an event of it\n\n" });
    gateway.dispatch(upstream_finished { second->request });
    CHECK_FALSE(gateway.takeEffect<answer_data>());
    CHECK_FALSE(gateway.takeEffect<end_answer>());
    CHECK(gateway.takeEffect<abort_exchange>());
}

TEST_CASE("A broken stream that may not be resumed is aborted, not ended", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.dispatch(gateway.makeRequest("/chat/1"));
    const auto sent = gateway.takeEffect<forward_upstream>();
    REQUIRE(sent);
    gateway.dispatch(forward_gateway::makeHead(*sent));
    gateway.dispatch(upstream_data { sent->request, "id: 1\ndata: one\n\nid: 2" });
    SECTION("when the connection breaks") { gateway.dispatch(upstream_failed { sent->request, upstream_phase::Answering, "reset" }); }
    SECTION("when the answer ends within an event") { gateway.dispatch(upstream_finished { sent->request }); }
    CHECK(gateway.takeEffect<abort_exchange>());
    CHECK_FALSE(gateway.takeEffect<end_answer>());
}

TEST_CASE("A caller's disconnect cancels its request, unless the request may not be repeated", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.dispatch(gateway.makeRequest("/draft/1"));
    const auto stream = gateway.takeEffect<forward_upstream>();
    gateway.dispatch(caller_gone { firstExchange, "" });
    CHECK(gateway.takeEffect<cancel_upstream>()->request == stream->request);
    CHECK(gateway.state.calls.empty());

    gateway.dispatch(gateway.makeRequest("/pay/1"));
    const auto payment = gateway.takeEffect<forward_upstream>();
    gateway.dispatch(caller_gone { firstExchange + 1, "" });
    CHECK_FALSE(gateway.takeEffect<cancel_upstream>());
    gateway.dispatch(forward_gateway::makeHead(*payment));
    gateway.dispatch(upstream_finished { payment->request });
    CHECK(gateway.state.calls.empty());
}

// Guards against a gateway behind a freeze that answers 404 or 401 from a configuration that has been replaced meanwhile.
TEST_CASE("A missing route or account is confirmed by the controllers before the request is refused for it", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.clock.advance(3s);
    auto request = gateway.makeRequest("/pay/1");
    const bool isRouteMissing = GENERATE(true, false);
    if (isRouteMissing) {
        request.target = "/new/1";
    } else {
        request.key = "key-new";
    }
    gateway.dispatch(request);
    CHECK_FALSE(gateway.takeEffect<refuse_caller>());
    gateway.dispatch(tick {});
    SECTION("it has been added")
    {
        ++gateway.table.version;
        gateway.table.routes.push_back(forward_gateway::makeRoute("/new/", "shop"));
        gateway.table.accounts[0].keys.emplace_back("key-new");
        gateway.answerPoll({}, true);
        CHECK(gateway.takeEffect<forward_upstream>()->timeLeft == 3s);
        CHECK(gateway.state.expiries.size() == 1);
    }
    SECTION("it is not there")
    {
        gateway.answerPoll();
        CHECK(gateway.takeEffect<refuse_caller>()->code
            == (isRouteMissing ? error_code::NotFound : error_code::Unauthenticated));
        CHECK(gateway.state.calls.empty());
        CHECK(gateway.state.expiries.empty());
    }
    SECTION("the controllers do not answer")
    {
        gateway.advance(gateway.state.settings.controllerTimeout);
        const auto refusal = gateway.takeEffect<refuse_caller>();
        CHECK(refusal->code == error_code::Unavailable);
        CHECK(refusal->retryAfter > 0ms);
        CHECK_FALSE(refusal->mayHaveRun);
        CHECK(gateway.state.unconfirmed.empty());
    }
    SECTION("no controller is connected: refused at once, without a wait")
    {
        gateway.dispatch(peer_disconnected { "c1", "" });
        gateway.out.clear();
        gateway.dispatch(gateway.makeRequest("/new/2"));
        CHECK(gateway.takeEffect<refuse_caller>()->code == error_code::Unavailable);
    }
    SECTION("the caller leaves first")
    {
        gateway.dispatch(caller_gone { firstExchange, "" });
        CHECK(gateway.state.calls.empty());
        CHECK(gateway.state.unconfirmed.empty());
        gateway.answerPoll();
        CHECK_FALSE(gateway.takeEffect<refuse_caller>());
    }
}

// Guards against a poll that was sent before the request came, and so may have been answered before the change.
TEST_CASE("A poll from before the request confirms nothing for it", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.advance(gateway.state.settings.configPollInterval);
    gateway.clock.advance(10ms);
    gateway.dispatch(gateway.makeRequest("/new/1"));
    gateway.answerPoll();
    CHECK_FALSE(gateway.takeEffect<refuse_caller>());
    gateway.advance(50ms);
    gateway.answerPoll();
    CHECK(gateway.takeEffect<refuse_caller>()->code == error_code::NotFound);
}

TEST_CASE("A request whose deadline passes while it runs is refused as possibly run", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    auto request = gateway.makeRequest("/pay/1");
    request.timeLeft = std::chrono::milliseconds(500);
    gateway.dispatch(request);
    gateway.advance(std::chrono::milliseconds(500));
    CHECK(gateway.takeEffect<cancel_upstream>());
    const auto refusal = gateway.takeEffect<refuse_caller>();
    REQUIRE(refusal);
    CHECK(refusal->code == error_code::Timeout);
    CHECK(refusal->mayHaveRun);
    CHECK(gateway.state.calls.empty());
}

TEST_CASE("A draining or withdrawn server receives no new request", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    auto draining = forward_gateway::makeServer("s1", "shop");
    draining.draining = true;
    auto gone = forward_gateway::makeServer("s2", "shop");
    gone.withdrawn = true;
    applyMembership(gateway.state.servers, { draining, gone }, false);
    gateway.dispatch(gateway.makeRequest("/pay/1"));
    CHECK_FALSE(gateway.takeEffect<forward_upstream>());
    const auto refusal = gateway.takeEffect<refuse_caller>();
    REQUIRE(refusal);
    CHECK_FALSE(refusal->mayHaveRun);
    CHECK(refusal->retryAfter.count() > 0);
}

// Guards against a stop that cuts requests which connections still hold, or answers that they have not sent.
TEST_CASE("A gateway that shuts down serves requests that still arrive and stops when its connections have closed", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.dispatch(shutdown_requested {});
    CHECK_FALSE(gateway.takeEffect<set_ready>()->ready);
    CHECK(gateway.takeEffect<announce_closing>());
    gateway.advance(gateway.state.settings.shutdownDelay);
    CHECK(gateway.takeEffect<close_listeners>());
    gateway.dispatch(gateway.makeRequest("/pay/1"));
    const auto sent = gateway.takeEffect<forward_upstream>();
    REQUIRE(sent);
    gateway.advance(std::chrono::milliseconds(1'500));
    CHECK_FALSE(gateway.takeEffect<stop_process>());
    gateway.dispatch(forward_gateway::makeHead(*sent));
    gateway.dispatch(upstream_finished { sent->request });
    CHECK(gateway.takeEffect<end_answer>());
    gateway.advance(std::chrono::milliseconds(100));
    CHECK_FALSE(gateway.takeEffect<stop_process>()); // the answer may still be on its way to a slow reader
    gateway.dispatch(listeners_drained {});
    gateway.advance(std::chrono::milliseconds(100));
    CHECK(gateway.takeEffect<stop_process>());
}

// Guards against a stop that waits for ever, or fails, because a caller keeps its connection open.
TEST_CASE("A gateway that shuts down waits for its connections up to a limit", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.dispatch(shutdown_requested {});
    gateway.advance(gateway.state.settings.shutdownDelay);
    gateway.advance(gateway.state.settings.shutdownLimit - 1ms);
    CHECK_FALSE(gateway.takeEffect<stop_process>());
    gateway.advance(1ms);
    CHECK(gateway.takeEffect<stop_process>()->exitCode == 0);
}

// Guards against calls that a stop leaves without an answer or a refusal.
TEST_CASE("A gateway that stops refuses the calls that are left", "[forward]")
{
    forward_gateway gateway;
    gateway.table.routes.back().timeout = 60s;
    gateway.table.routes[1].timeout = 60s;
    gateway.configure();
    auto payment = gateway.makeRequest("/pay/1");
    payment.timeLeft = 60s;
    auto turn = gateway.makeRequest("/draft/1");
    turn.timeLeft = 60s;
    turn.programContext.program = "p";
    turn.programContext.budgetTokens = 100;
    gateway.dispatch(payment);
    gateway.dispatch(turn);
    SECTION("at its limit")
    {
        gateway.dispatch(shutdown_requested {});
        gateway.advance(gateway.state.settings.shutdownDelay);
        gateway.advance(gateway.state.settings.shutdownLimit);
    }
    SECTION("at once")
    {
        gateway.dispatch(shutdown_requested { true });
    }
    std::map<exchange_id, bool> mayHaveRun;
    while (const auto refusal = gateway.takeEffect<refuse_caller>()) {
        mayHaveRun[refusal->exchange] = refusal->mayHaveRun;
    }
    CHECK(mayHaveRun == std::map<exchange_id, bool> { { payment.exchange, true }, { turn.exchange, false } });
    CHECK(gateway.takeEffect<stop_process>()->exitCode == 1);
    CHECK(gateway.state.calls.empty());
}

// Guards against a payment that is taken after SIGTERM, while connections are still accepted, and cut at the stop.
TEST_CASE("A gateway that is asked to stop refuses a call that may not be repeated and may outlive it", "[forward]")
{
    forward_gateway gateway;
    const auto untilStop = gateway.state.settings.shutdownDelay + gateway.state.settings.shutdownLimit;
    for (auto& route : gateway.table.routes) {
        route.timeout = 60s;
    }
    gateway.configure();
    gateway.dispatch(shutdown_requested {});
    gateway.advance(1s);
    const auto dispatch = [&](const std::string& target, std::chrono::milliseconds timeLeft) {
        auto request = gateway.makeRequest(target);
        request.timeLeft = timeLeft;
        gateway.dispatch(request);
        return gateway.takeEffect<forward_upstream>().has_value();
    };
    CHECK(dispatch("/pay/1", untilStop - 1s));
    CHECK(dispatch("/status/1", 60s));
    CHECK(dispatch("/draft/1", 60s));
    CHECK_FALSE(dispatch("/pay/1", untilStop - 999ms));
    const auto refusal = gateway.takeEffect<refuse_caller>();
    REQUIRE(refusal);
    CHECK(refusal->code == error_code::Unavailable);
    CHECK_FALSE(refusal->mayHaveRun);
    CHECK(refusal->retryAfter > 0ms);
}

// Guards against a request that is taken shortly before the process stops, and cut then.
TEST_CASE("A gateway that shuts down refuses a request that it may not be able to finish", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.dispatch(shutdown_requested {});
    gateway.advance(gateway.state.settings.shutdownDelay);
    gateway.advance(gateway.state.settings.shutdownLimit - 2s);
    auto request = gateway.makeRequest("/pay/1");
    SECTION("whose caller waits longer than the process runs")
    {
        gateway.dispatch(request);
        CHECK_FALSE(gateway.takeEffect<forward_upstream>());
        const auto refusal = gateway.takeEffect<refuse_caller>();
        REQUIRE(refusal);
        CHECK_FALSE(refusal->mayHaveRun);
        CHECK(refusal->retryAfter.count() > 0);
    }
    SECTION("but not one that ends in time")
    {
        request.timeLeft = 1s;
        gateway.dispatch(request);
        CHECK(gateway.takeEffect<forward_upstream>());
    }
}

namespace {

/// Answers the pending lease request with a grant of no tokens, which refuses the account's waiting calls.
void refuseTokens(forward_gateway& gateway)
{
    std::optional<wire::rate_lease_request> asked;
    for (const auto& effect : gateway.out) {
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
    gateway.out.clear();
    gateway.dispatch(peer_message { "c1", 1, grant });
}

} // namespace

TEST_CASE("When an account's rate is used up, new programs are refused and programs under way wait", "[forward]")
{
    // Guards against refusing calls at random when an account exceeds its rate, which would fail every program midway.
    forward_gateway gateway;
    gateway.table.accounts[0].ratePerSecond = 10;
    gateway.table.accounts[0].burst = 10;
    gateway.configure();
    recordAdmission(gateway.state.programs, "old", gateway.clock.now());
    auto tool = gateway.makeRequest("/status/1");
    tool.programContext.program = "old";
    gateway.dispatch(tool);
    refuseTokens(gateway);
    CHECK_FALSE(gateway.takeEffect<refuse_caller>()); // waits for the next token

    auto turn = gateway.makeRequest("/draft/1");
    turn.programContext.program = "new";
    gateway.dispatch(turn);
    const auto refusal = gateway.takeEffect<refuse_caller>();
    REQUIRE(refusal);
    CHECK(refusal->code == error_code::RateLimited);
    CHECK(refusal->retryAfter.count() > 0);

    auto second = gateway.makeRequest("/draft/1");
    second.programContext.program = "old";
    gateway.dispatch(second);
    CHECK_FALSE(gateway.takeEffect<refuse_caller>());

    for (int i = 0; i < 70 && !gateway.state.calls.empty(); ++i) {
        gateway.advance(std::chrono::milliseconds(10));
    }
    CHECK(gateway.state.rateRetries.size() <= gateway.state.calls.size());
}

TEST_CASE("A gateway without a configuration polls often and advises a retry when controllers are expected", "[forward]")
{
    forward_gateway gateway;
    gateway.advance(0ms);
    const auto first = gateway.state.configuration.poll.request;
    REQUIRE(first != 0);
    gateway.advance(120ms);
    CHECK(gateway.state.configuration.poll.request > first);

    gateway.advance(80ms);
    gateway.dispatch(gateway.makeRequest("/status/1"));
    const auto early = gateway.takeEffect<refuse_caller>();
    REQUIRE(early);
    CHECK(early->code == error_code::Unavailable);
    CHECK(early->retryAfter == 1'300ms);

    gateway.advance(5s);
    gateway.dispatch(gateway.makeRequest("/status/2"));
    const auto late = gateway.takeEffect<refuse_caller>();
    REQUIRE(late);
    CHECK(late->retryAfter == gateway.state.settings.defaultRetryAfter);
}

TEST_CASE("A gateway follows the directory of controllers", "[forward]")
{
    forward_gateway gateway;
    auto& client = gateway.state.controllers;
    gateway.dispatch(peer_message { "c1", 1, wire::controller_directory { 5, { "c1", "10.0.0.2:7", "10.0.0.3:7" } } });
    CHECK(client.controllers.size() == 3);
    REQUIRE(gateway.takeEffect<connect_peer>());
    gateway.dispatch(peer_connected { "10.0.0.3:7", "controller", 1 });
    client.leaders[0] = "10.0.0.3:7";

    gateway.dispatch(peer_message { "c1", 1, wire::controller_directory { 4, { "c1" } } });
    CHECK(client.controllers.size() == 3);
    // A seed from the settings stays even if it is no longer in the directory.
    gateway.dispatch(peer_message { "c1", 1, wire::controller_directory { 6, { "10.0.0.2:7" } } });
    CHECK(client.controllers.size() == 2);
    const auto left = gateway.takeEffect<disconnect_peer>();
    REQUIRE(left);
    CHECK(left->peer == "10.0.0.3:7");
    CHECK_FALSE(client.leaders.contains(0));
}

// Guards against a server that writes an earlier refusal once more, which is believed for a request that it runs.
TEST_CASE("A refusal that does not name the request proves nothing", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    const auto target = GENERATE(as<std::string>(), "/pay/1", "/chat/1");
    gateway.dispatch(gateway.makeRequest(target));
    const auto sent = gateway.takeEffect<forward_upstream>();
    REQUIRE(sent);
    auto refusal = forward_gateway::makeHead(*sent, GENERATE(503U, 429U, 421U));
    refusal.isSigned = false;
    refusal.notRun = true;
    refusal.attempt = GENERATE(as<std::string>(), "", "an earlier request");
    gateway.dispatch(refusal);
    CHECK_FALSE(gateway.takeEffect<forward_upstream>());
    CHECK(gateway.takeEffect<cancel_upstream>());
    const auto answer = gateway.takeEffect<refuse_caller>();
    REQUIRE(answer);
    CHECK(answer->mayHaveRun);
}

namespace {

/// Begins a resumable stream, breaks it after its first event and takes the send that resumes it.
forward_upstream breakStream(forward_gateway& gateway)
{
    gateway.dispatch(gateway.makeRequest("/draft/1"));
    const auto first = gateway.takeEffect<forward_upstream>();
    REQUIRE(first);
    auto head = forward_gateway::makeHead(*first);
    head.headers = { { "content-type", "text/event-stream" } };
    gateway.dispatch(head);
    gateway.dispatch(upstream_data { first->request, "id: 1\ndata: one\n\n" });
    gateway.dispatch(upstream_failed { first->request, upstream_phase::Answering, "reset" });
    const auto second = gateway.takeEffect<forward_upstream>();
    REQUIRE(second);
    gateway.out.clear();
    return *second;
}

} // namespace

// Guards against an error that reaches the caller in the middle of its stream, or ends the stream as if it were complete.
TEST_CASE("What the next server of a broken stream sends in place of events is not forwarded", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    const auto second = breakStream(gateway);
    auto head = forward_gateway::makeHead(second);
    head.headers = { { "content-type", "text/event-stream" } };
    std::string bytes;
    SECTION("an error under status 200")
    {
        head.headers = { { "content-type", "application/json" } };
        bytes = "data: {\"error\": \"overloaded\"}\n\n";
    }
    SECTION("an error without a type")
    {
        head.headers.clear();
        bytes = "id: 2\ndata: error\n\n";
    }
    SECTION("a text") { bytes = "Internal error\n\n"; }
    SECTION("an error as JSON") { bytes = "{\"error\": {\"message\": \"data: none\"}}\r\n\r\n"; }
    SECTION("a whole answer") { bytes = "HTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain\r\n\r\nno\n\n"; }
    SECTION("an error event without an id") { bytes = "event: error\ndata: overloaded\n\n"; }
    SECTION("the stream from its start") { bytes = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"; }
    gateway.dispatch(head);
    gateway.dispatch(upstream_data { second.request, bytes });
    gateway.dispatch(upstream_finished { second.request });
    CHECK_FALSE(gateway.takeEffect<answer_data>());
    CHECK_FALSE(gateway.takeEffect<end_answer>());
    CHECK(gateway.takeEffect<abort_exchange>());
    CHECK(gateway.state.calls.empty());
}

// Guards against sound streams that are given up: comments, retry times, gaps in the ids and lines that servers add.
TEST_CASE("All that an event stream may hold is forwarded", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    const auto second = breakStream(gateway);
    auto head = forward_gateway::makeHead(second);
    head.headers = { { "content-type", "text/event-stream" } };
    gateway.dispatch(head);
    const std::string bytes = ": keep-alive\n\nretry: 100\n\nweight-versions: 3\nid: 2\ndata: two\n\nid: 7\nevent: end\ndata\ndata:\n\n";
    gateway.dispatch(upstream_data { second.request, bytes });
    gateway.dispatch(upstream_finished { second.request });
    std::string forwarded;
    while (const auto data = gateway.takeEffect<answer_data>()) {
        forwarded.insert(0, data->data);
    }
    CHECK(forwarded == bytes);
    CHECK(gateway.takeEffect<end_answer>());
}

// Guards against a stream that breaks off before its first event and reaches the caller as a whole, empty answer.
TEST_CASE("A stream without an event is broken off, not complete", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    const auto isResumable = GENERATE(false, true);
    gateway.dispatch(gateway.makeRequest(isResumable ? "/draft/1" : "/chat/1"));
    const auto sent = gateway.takeEffect<forward_upstream>();
    REQUIRE(sent);
    gateway.dispatch(forward_gateway::makeHead(*sent));
    gateway.dispatch(upstream_finished { sent->request });
    CHECK_FALSE(gateway.takeEffect<end_answer>());
    if (isResumable) {
        CHECK(gateway.takeEffect<forward_upstream>());
    } else {
        CHECK(gateway.takeEffect<refuse_caller>()->mayHaveRun);
    }
}

// Guards against requests that reach a server after it has said in an answer that it ends, while its announcements still
// call it ready or are missing for a while.
TEST_CASE("A server that says in an answer that it leaves gets no further request", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.dispatch(gateway.makeRequest("/status/1"));
    const auto sent = gateway.takeEffect<forward_upstream>();
    REQUIRE(sent);
    auto head = forward_gateway::makeHead(*sent, GENERATE(200U, 503U));
    head.notRun = head.status != 200;
    head.isLeaving = true;
    gateway.dispatch(head);
    gateway.dispatch(upstream_finished { sent->request });
    gateway.out.clear();
    SECTION("its announcements go on") { applyMembership(gateway.state.servers, { forward_gateway::makeServer(sent->backend, "shop") }, false); }
    SECTION("it was missing for a while")
    {
        auto gone = forward_gateway::makeServer(sent->backend, "shop");
        gone.withdrawn = true;
        applyMembership(gateway.state.servers, { gone }, false);
        applyMembership(gateway.state.servers, { forward_gateway::makeServer(sent->backend, "shop") }, false);
    }
    constexpr int requests = 20;
    for (int i = 0; i < requests; ++i) {
        gateway.dispatch(gateway.makeRequest("/pay/1"));
        CHECK(gateway.takeEffect<forward_upstream>()->backend != sent->backend);
    }
    auto restarted = forward_gateway::makeServer(sent->backend, "shop");
    restarted.incarnation = 2;
    auto other = forward_gateway::makeServer(sent->backend == "s1" ? "s2" : "s1", "shop");
    other.withdrawn = true;
    applyMembership(gateway.state.servers, { restarted, other }, false);
    gateway.dispatch(gateway.makeRequest("/pay/1"));
    CHECK(gateway.takeEffect<forward_upstream>()->backend == sent->backend);
}
