#include <catch2/catch.hpp>

#include "forward_gateway.hpp"

using namespace cuminledge;
using namespace cuminledge::core;
using namespace cuminledge::core::forward;

namespace {

forward_request makeTurn(forward_gateway& g, const std::string& target, const std::string& previous = {})
{
    auto turn = g.makeRequest(target);
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

TEST_CASE("A turn runs only after its tokens are reserved, and is refused where the budget does not hold them", "[forward]")
{
    forward_gateway g;
    g.configure();
    g.give(makeTurn(g, "/draft/1"));
    CHECK_FALSE(g.take<forward_upstream>());
    const auto request = g.takeControllerRequest();
    const auto command = decoded<wire::reserve_tokens>(request);
    CHECK(command.tokens == 40);
    CHECK(command.budget == 100);
    SECTION("granted: what was passed on is settled at the end")
    {
        g.answer(*request, wire::token_reservation { true, 100, 0, 40 });
        const auto sent = g.take<forward_upstream>();
        REQUIRE(sent);
        g.stream(*sent, { "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" });
        CHECK(g.take<end_answer>());
        CHECK(decoded<wire::settle_tokens>(g.takeControllerRequest()).used == 20);
    }
    SECTION("not granted")
    {
        g.answer(*request, wire::token_reservation { false, 100, 90, 0 });
        CHECK_FALSE(g.take<forward_upstream>());
        const auto refusal = g.take<refuse_caller>();
        REQUIRE(refusal);
        CHECK(refusal->code == error_code::BudgetExceeded);
        CHECK_FALSE(refusal->mayHaveRun);
    }
    SECTION("not answered: the reservation is given back, in case it holds")
    {
        g.pass(g.state.settings.controllerTimeout);
        CHECK(g.take<refuse_caller>()->code == error_code::Unavailable);
        CHECK(decoded<wire::settle_tokens>(g.takeControllerRequest()).used == 0);
    }
}

TEST_CASE("A retained turn is durable before its answer ends", "[forward]")
{
    forward_gateway g;
    g.configure();
    auto turn = makeTurn(g, "/chat/1");
    turn.programContext.budgetTokens = 0;
    g.give(turn);
    const auto sent = g.take<forward_upstream>();
    REQUIRE(sent);
    g.stream(*sent, { "id: 1\ndata: hello\n\n", "id: 2\ndata: there\n\n" });
    CHECK_FALSE(g.take<end_answer>());
    const auto request = g.takeControllerRequest();
    const auto command = decoded<wire::retain_turn>(request);
    CHECK(command.turn == turn.attempt);
    CHECK(command.text == turn.body + "hello\nthere\n");
    CHECK(command.used == 20);
    SECTION("durable")
    {
        g.answer(*request, wire::acknowledged {});
        CHECK(g.take<end_answer>());

        auto next = makeTurn(g, "/chat/1", turn.attempt);
        next.programContext.budgetTokens = 0;
        g.give(next);
        CHECK(g.take<forward_upstream>()->body == turn.body + "hello\nthere\n" + next.body);
    }
    SECTION("not known to be durable: the answer must not look complete")
    {
        g.pass(g.state.settings.controllerTimeout);
        CHECK(g.take<abort_exchange>());
        CHECK_FALSE(g.take<end_answer>());
    }
}

TEST_CASE("A chain that the gateway does not hold is read from its group", "[forward]")
{
    forward_gateway g;
    g.configure();
    auto turn = makeTurn(g, "/chat/1", "t2");
    turn.programContext.budgetTokens = 0;
    g.give(turn);
    CHECK_FALSE(g.take<forward_upstream>());
    const auto request = g.takeControllerRequest();
    REQUIRE(request);
    CHECK(request->isQuery);
    SECTION("it is there")
    {
        g.answer(*request, wire::turn_chain { { { "t2", "t1", "second;" }, { "t1", "", "first;" } } });
        CHECK(g.take<forward_upstream>()->body == "first;second;" + turn.body);
    }
    SECTION("the leader knows no such turn")
    {
        g.answer(*request, wire::turn_chain {});
        CHECK(g.take<refuse_caller>()->code == error_code::NotFound);
    }
    SECTION("nobody answers: not known is not the same as not there")
    {
        g.pass(g.state.settings.controllerTimeout);
        CHECK(g.take<refuse_caller>()->code == error_code::Unavailable);
    }
}

TEST_CASE("Another account's turn is not in the cache of an account's turns", "[forward]")
{
    turn_cache cache;
    put(cache, "alice", { "t1", "", "secret" });
    CHECK(collect(cache, "alice", "t1").text == "secret");
    CHECK(collect(cache, "bob", "t1").missing == "t1");
}

TEST_CASE("The cache of turns keeps to its size and drops what was used longest ago", "[forward]")
{
    turn_cache cache;
    cache.maxBytes = 4'000;
    put(cache, "a", { "t1", "", std::string(1'000, 'x') });
    put(cache, "a", { "t2", "", std::string(1'000, 'y') });
    CHECK(holdsChain(cache, "a", "t1"));
    CHECK(collect(cache, "a", "t1").isWhole);
    put(cache, "a", { "t3", "", std::string(1'000, 'z') });
    put(cache, "a", { "t4", "", std::string(1'000, 'z') });
    CHECK(cache.bytes <= cache.maxBytes);
    CHECK(holdsChain(cache, "a", "t1"));
    CHECK_FALSE(holdsChain(cache, "a", "t2"));
}

TEST_CASE("Events are told apart wherever the bytes are cut", "[forward]")
{
    const std::string bytes = "id: 1\ndata: a\ndata: b\n\n: note\n\nid:2\r\ndata:c\r\n\r\n";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        event_splitter splitter;
        std::vector<stream_piece> pieces;
        const auto keep = [&](stream_piece&& piece) { pieces.push_back(std::move(piece)); };
        REQUIRE(feed(splitter, bytes.substr(0, cut), keep));
        REQUIRE(feed(splitter, bytes.substr(cut), keep));
        REQUIRE(pieces.size() == 3);
        CHECK(pieces[0].id == "1");
        CHECK(pieces[0].data == "a\nb");
        CHECK(pieces[1].bytes == ": note\n\n");
        CHECK(pieces[2].id == "2");
        CHECK(pieces[2].data == "c");
        CHECK(pieces[0].bytes + pieces[1].bytes + pieces[2].bytes == bytes);
        CHECK(splitter.partial.empty());
    }
}
