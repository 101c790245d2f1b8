#include <catch2/catch.hpp>

#include "forward_gateway.hpp"

using namespace cuminledge;
using namespace cuminledge::core;
using namespace cuminledge::core::forward;

namespace {

forward_request makeTurn(forward_gateway& gateway, const std::string& target, const std::string& previous = {})
{
    auto turn = gateway.makeRequest(target);
    turn.programContext.program = "p";
    turn.programContext.budgetTokens = 100;
    turn.programContext.previousTurn = previous;
    turn.maxOutputTokens = 40;
    return turn;
}

template <typename Command>
Command decoded(const std::optional<wire::controller_request>& request)
{
    REQUIRE(request);
    const auto command = wire::decodeVariant<wire::command>(request->body, "test", "");
    REQUIRE(command);
    REQUIRE(std::holds_alternative<Command>(*command));
    return std::get<Command>(*command);
}

} // namespace

TEST_CASE("A turn runs only after its tokens are reserved and is refused if they exceed the budget", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.dispatch(makeTurn(gateway, "/draft/1"));
    CHECK_FALSE(gateway.takeEffect<forward_upstream>());
    const auto request = gateway.takeControllerRequest();
    const auto command = decoded<wire::reserve_tokens>(request);
    CHECK(command.tokens == 40);
    CHECK(command.budget == 100);
    SECTION("granted: the forwarded tokens are settled at the end")
    {
        gateway.answer(*request, wire::token_reservation { true, 100, 0, 40 });
        const auto sent = gateway.takeEffect<forward_upstream>();
        REQUIRE(sent);
        gateway.streamAnswer(*sent, { "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" });
        CHECK(gateway.takeEffect<end_answer>());
        CHECK(decoded<wire::settle_tokens>(gateway.takeControllerRequest()).used == 20);
    }
    SECTION("not granted")
    {
        gateway.answer(*request, wire::token_reservation { false, 100, 90, 0 });
        CHECK_FALSE(gateway.takeEffect<forward_upstream>());
        const auto refusal = gateway.takeEffect<refuse_caller>();
        REQUIRE(refusal);
        CHECK(refusal->code == error_code::BudgetExceeded);
        CHECK_FALSE(refusal->mayHaveRun);
    }
    SECTION("not answered: the reservation is released in case it was granted")
    {
        gateway.advance(gateway.state.settings.controllerTimeout);
        CHECK(gateway.takeEffect<refuse_caller>()->code == error_code::Unavailable);
        CHECK(decoded<wire::settle_tokens>(gateway.takeControllerRequest()).used == 0);
    }
    // Guards against tokens that stay reserved until the program is forgotten, so that its next turn gets a 402.
    SECTION("the caller leaves first: the reservation is released in case it was granted")
    {
        gateway.dispatch(caller_gone { firstExchange, "" });
        CHECK(decoded<wire::settle_tokens>(gateway.takeControllerRequest()).used == 0);
        CHECK(gateway.state.calls.empty());
    }
}

TEST_CASE("A retained turn is durable before its answer ends", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    auto turn = makeTurn(gateway, "/chat/1");
    turn.programContext.budgetTokens = 0;
    gateway.dispatch(turn);
    const auto sent = gateway.takeEffect<forward_upstream>();
    REQUIRE(sent);
    gateway.streamAnswer(*sent, { "id: 1\ndata: hello\n\n", "id: 2\ndata: there\n\n" });
    CHECK_FALSE(gateway.takeEffect<end_answer>());
    const auto request = gateway.takeControllerRequest();
    const auto command = decoded<wire::retain_turn>(request);
    CHECK(command.turn == turn.attempt);
    CHECK(command.text == turn.body + "hello\nthere\n");
    CHECK(command.used == 20);
    SECTION("durable")
    {
        gateway.answer(*request, wire::acknowledged {});
        CHECK(gateway.takeEffect<end_answer>());

        auto next = makeTurn(gateway, "/chat/1", turn.attempt);
        next.programContext.budgetTokens = 0;
        gateway.dispatch(next);
        CHECK(gateway.takeEffect<forward_upstream>()->body == turn.body + "hello\nthere\n" + next.body);
    }
    SECTION("not confirmed as durable: the answer is aborted, so that it does not look complete")
    {
        gateway.advance(gateway.state.settings.controllerTimeout);
        CHECK(gateway.takeEffect<abort_exchange>());
        CHECK_FALSE(gateway.takeEffect<end_answer>());
    }
}

TEST_CASE("A chain that is not cached is read from its group", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    auto turn = makeTurn(gateway, "/chat/1", "t2");
    turn.programContext.budgetTokens = 0;
    gateway.dispatch(turn);
    CHECK_FALSE(gateway.takeEffect<forward_upstream>());
    const auto request = gateway.takeControllerRequest();
    REQUIRE(request);
    CHECK(request->isQuery);
    SECTION("the group has the chain")
    {
        gateway.answer(*request, wire::turn_chain { { { "t2", "t1", "second;" }, { "t1", "", "first;" } }, std::chrono::minutes(1) });
        CHECK(gateway.takeEffect<forward_upstream>()->body == "first;second;" + turn.body);
    }
    SECTION("the leader knows no such turn")
    {
        gateway.answer(*request, wire::turn_chain {});
        CHECK(gateway.takeEffect<refuse_caller>()->code == error_code::NotFound);
    }
    SECTION("no answer: reported as unavailable, not as missing")
    {
        gateway.advance(gateway.state.settings.controllerTimeout);
        CHECK(gateway.takeEffect<refuse_caller>()->code == error_code::Unavailable);
    }
}

// Guards against a conversation that is forgotten as an earlier turn runs out while its next one is under way.
TEST_CASE("A turn has the chain that it continues held, if the chain may run out before its end", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    auto first = makeTurn(gateway, "/chat/1");
    first.programContext.budgetTokens = 0;
    gateway.dispatch(first);
    gateway.streamAnswer(*gateway.takeEffect<forward_upstream>(), { "id: 1\ndata: hello\n\n" });
    gateway.answer(*gateway.takeControllerRequest(), wire::acknowledged {});
    const auto continueAfter = [&](std::chrono::milliseconds pause) {
        gateway.advance(pause);
        gateway.out.clear();
        auto next = makeTurn(gateway, "/chat/1", first.attempt);
        next.programContext.budgetTokens = 0;
        gateway.dispatch(next);
    };
    SECTION("it is kept past the deadline: the turn is sent at once")
    {
        continueAfter(std::chrono::milliseconds(56'999));
        CHECK(gateway.takeEffect<forward_upstream>());
        CHECK_FALSE(gateway.takeControllerRequest());
    }
    SECTION("it may run out: the turn is sent once the hold is confirmed")
    {
        continueAfter(std::chrono::milliseconds(57'001));
        CHECK_FALSE(gateway.takeEffect<forward_upstream>());
        const auto request = gateway.takeControllerRequest();
        const auto command = decoded<wire::hold_chain>(request);
        CHECK(command.turn == first.attempt);
        CHECK(command.duration == std::chrono::milliseconds(3'000));
        SECTION("confirmed; it then holds for other turns too")
        {
            gateway.answer(*request, wire::acknowledged {});
            CHECK(gateway.takeEffect<forward_upstream>());
            continueAfter(std::chrono::milliseconds(0));
            CHECK(gateway.takeEffect<forward_upstream>());
        }
        SECTION("the group does not have it any more")
        {
            gateway.answer(*request, wire::refused { static_cast<std::uint32_t>(error_code::NotFound), "", "", "" });
            CHECK_FALSE(gateway.takeEffect<forward_upstream>());
            CHECK(gateway.takeEffect<refuse_caller>()->code == error_code::NotFound);
        }
        SECTION("not confirmed: reported as unavailable, not as missing")
        {
            gateway.advance(gateway.state.settings.controllerTimeout);
            CHECK_FALSE(gateway.takeEffect<forward_upstream>());
            CHECK(gateway.takeEffect<refuse_caller>()->code == error_code::Unavailable);
        }
    }
}

TEST_CASE("A chain that was read from its group is held, if the group keeps it for less than the turn may take", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    auto turn = makeTurn(gateway, "/chat/1", "t2");
    turn.programContext.budgetTokens = 0;
    gateway.dispatch(turn);
    const auto request = gateway.takeControllerRequest();
    const auto answerKept = [&](std::chrono::milliseconds keptFor) {
        gateway.answer(*request, wire::turn_chain { { { "t2", "t1", "second;" }, { "t1", "", "first;" } }, keptFor });
    };
    SECTION("long enough")
    {
        answerKept(std::chrono::milliseconds(3'000));
        CHECK(gateway.takeEffect<forward_upstream>());
    }
    SECTION("too short, or not said by a controller of the version before")
    {
        answerKept(GENERATE(std::chrono::milliseconds(2'999), std::chrono::milliseconds(0)));
        CHECK_FALSE(gateway.takeEffect<forward_upstream>());
        const auto hold = gateway.takeControllerRequest();
        CHECK(decoded<wire::hold_chain>(hold).turn == "t2");
        gateway.answer(*hold, wire::acknowledged {});
        CHECK(gateway.takeEffect<forward_upstream>()->body == "first;second;" + turn.body);
    }
}

// Guards against a budget that is forgotten, and begins anew, while a turn of its program is under way.
TEST_CASE("A budget is remembered until its turn has ended and for its retention from then on", "[forward]")
{
    forward_gateway gateway;
    gateway.configure();
    gateway.dispatch(makeTurn(gateway, "/draft/1"));
    const auto command = decoded<wire::reserve_tokens>(gateway.takeControllerRequest());
    CHECK(command.retention == std::chrono::milliseconds(60'000 + 3'000));
}

TEST_CASE("Cached turns are kept apart by account", "[forward]")
{
    turn_cache cache;
    put(cache, "alice", { "t1", "", "secret" });
    CHECK(assembleChain(cache, "alice", "t1").text == "secret");
    CHECK(assembleChain(cache, "bob", "t1").missingTurn == "t1");
}

TEST_CASE("The turn cache stays within its size limit and evicts the least recently used turn", "[forward]")
{
    turn_cache cache;
    cache.maxBytes = 4'000;
    put(cache, "a", { "t1", "", std::string(1'000, 'x') });
    put(cache, "a", { "t2", "", std::string(1'000, 'y') });
    CHECK(holdsChain(cache, "a", "t1"));
    CHECK(assembleChain(cache, "a", "t1").isComplete);
    put(cache, "a", { "t3", "", std::string(1'000, 'z') });
    put(cache, "a", { "t4", "", std::string(1'000, 'z') });
    CHECK(cache.bytes <= cache.maxBytes);
    CHECK(holdsChain(cache, "a", "t1"));
    CHECK_FALSE(holdsChain(cache, "a", "t2"));
}

TEST_CASE("Events are split correctly at every chunk boundary", "[forward]")
{
    const std::string bytes = "id: 1\ndata: a\ndata: b\n\n: note\n\nid:2\r\ndata:c\r\n\r\n";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        event_splitter splitter;
        std::vector<sse_event> events;
        const auto keep = [&](sse_event&& event) { events.push_back(std::move(event)); };
        REQUIRE(feed(splitter, bytes.substr(0, cut), keep));
        REQUIRE(feed(splitter, bytes.substr(cut), keep));
        REQUIRE(events.size() == 3);
        CHECK(events[0].id == "1");
        CHECK(events[0].data == "a\nb");
        CHECK(events[1].bytes == ": note\n\n");
        CHECK(events[2].id == "2");
        CHECK(events[2].data == "c");
        CHECK(events[0].bytes + events[1].bytes + events[2].bytes == bytes);
        CHECK(splitter.partial.empty());
    }
}
