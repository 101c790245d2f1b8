#include "call_path_world.hpp"

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core;
using core::testing::call_path_world;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds settling { 300 };
constexpr milliseconds answering { 3'000 };

/// One gateway and two engines, ready to serve.
struct chat_world : call_path_world {
    explicit chat_world(std::uint64_t seed = 1)
        : call_path_world(seed)
    {
        addGateway("g1");
        addGateway("g2");
        addSidecar("s1", wire::backend_kind::Engine);
        addSidecar("s2", wire::backend_kind::Engine);
        advance(milliseconds(1'500));
    }

    [[nodiscard]] std::string code(exchange_id e) const { return results.at(e).json()["code"].asString(); }
    [[nodiscard]] std::string ran(exchange_id e) const { return results.at(e).json()["ran"].asString(); }

    /// @return the sidecar that runs something, or an empty name.
    std::string busySidecar()
    {
        for (const auto* name : { "s1", "s2" }) {
            if (processes.at(name).alive && !sidecarOf(name).running.empty()) {
                return name;
            }
        }
        return {};
    }

    [[nodiscard]] std::int64_t reservedTokens(const std::string& program)
    {
        return shard.programs.at(program).underWay.tokens;
    }
};

} // namespace

TEST_CASE("a streamed call outside of a program gets the whole answer and leaves nothing held")
{
    chat_world w;
    const auto e = w.chat("g1", "", 0, "hello");
    w.advance(answering);
    const auto& r = w.results.at(e);
    INFO(r.body);
    CHECK(r.status == 200);
    CHECK(r.streamed.size() == 39);
    CHECK(r.done);
    CHECK(r.replies == 1);
    CHECK_FALSE(w.isHeld("g1"));
    CHECK(w.keyInUpstream == 0);
}

TEST_CASE("turns of a program run in order, with the whole history in the prompt wherever they run")
{
    chat_world w;
    const auto program = w.openProgram("g1");
    REQUIRE_FALSE(program.empty());
    const auto first = w.chat("g1", program, 1, "one", false);
    w.advance(answering);
    INFO(w.results.at(first).body);
    REQUIRE(w.results.at(first).status == 200);
    const auto answer = w.results.at(first).json()["choices"][0]["message"]["content"].asString();
    w.kill(w.shard.programs.at(program).home == "be-s1" ? "s1" : "s2");
    const auto second = w.chat("g2", program, 2, "two");
    w.advance(answering);
    CHECK(w.results.at(second).done);
    const auto prompt = *parseJson(w.prompts.back(), "test");
    REQUIRE(prompt.size() == 3);
    CHECK(prompt[0]["content"].asString() == "one");
    CHECK(prompt[1]["content"].asString() == answer);
    CHECK(prompt[2]["content"].asString() == "two");
    CHECK(w.shard.programs.at(program).turns.size() == 2);
}

TEST_CASE("a turn sent again gets the committed answer, and another request under its number is a conflict")
{
    chat_world w;
    const auto program = w.openProgram("g1");
    const auto first = w.chat("g1", program, 1, "one");
    w.advance(answering);
    const auto ranBefore = w.prompts.size();
    const auto again = w.chat("g2", program, 1, "one");
    const auto other = w.chat("g2", program, 1, "another");
    const auto early = w.chat("g2", program, 3, "three");
    w.advance(answering);
    CHECK(w.results.at(again).streamed == w.results.at(first).streamed);
    CHECK(w.results.at(again).done);
    CHECK(w.results.at(other).status == 409);
    CHECK(w.code(other) == "conflict");
    CHECK(w.code(early) == "out_of_order");
    CHECK(w.prompts.size() == ranBefore);
}

TEST_CASE("the end of the stream comes only after the turn is durable")
{
    chat_world w;
    const auto program = w.openProgram("g1");
    const auto e = w.chat("g1", program, 1, "one");
    w.onStep = [&] {
        if (w.results.at(e).done) {
            CHECK(w.shard.programs.at(program).turns.size() == 1);
        }
    };
    w.dropMessage = [&](const std::string& from, const std::string&, const wire::message& body) {
        const auto* request = std::get_if<wire::controller_request>(&body);
        const auto command = request != nullptr && !request->isQuery
            ? wire::decodeVariant<wire::command>(request->body, "test", "")
            : result<wire::command>(wire::open_program {});
        return from == "g1" && w.now < time_point(std::chrono::hours(1) + milliseconds(4'000))
            && std::holds_alternative<wire::commit_turn>(*command);
    };
    w.advance(milliseconds(1'500));
    CHECK(w.results.at(e).streamed.size() == 39);
    CHECK_FALSE(w.results.at(e).done);
    w.advance(answering);
    CHECK(w.results.at(e).done);
}

TEST_CASE("a stream goes on at its offset after its sidecar, engine or connection is lost")
{
    const auto fault = GENERATE(0, 1, 2, 3);
    chat_world w;
    const auto undisturbed = w.chat("g1", "", 0, "hello");
    w.advance(answering);
    const auto e = w.chat("g1", "", 0, "hello");
    while (w.results.at(e).streamed.size() < 12) {
        w.advance(milliseconds(5));
    }
    const auto busy = w.busySidecar();
    REQUIRE_FALSE(busy.empty());
    if (fault == 0) {
        w.kill(busy);
    } else if (fault == 1) {
        w.crashBackend(busy);
    } else if (fault == 2) {
        w.cutLink("g1", busy, milliseconds(200));
    } else {
        w.cutLink("g1", busy, milliseconds(60'000));
    }
    w.advance(milliseconds(8'000));
    CAPTURE(fault);
    CHECK(w.results.at(e).streamed == w.results.at(undisturbed).streamed);
    CHECK(w.results.at(e).done);
    CHECK(w.results.at(e).replies == 1);
    CHECK_FALSE(w.isHeld("g1"));
}

TEST_CASE("a caller that disconnects has its attempt cancelled and its reservation settled")
{
    chat_world w;
    const auto program = w.openProgram("g1");
    const auto e = w.chat("g1", program, 1, "one");
    const auto phase = GENERATE(5, 30, 60);
    w.advance(milliseconds(phase));
    w.callerGone("g1", e);
    w.advance(milliseconds(2'000));
    CAPTURE(phase);
    CHECK_FALSE(w.isHeld("g1"));
    CHECK(w.reservedTokens(program) == 0);
    CHECK(w.busySidecar().empty());
    const auto next = w.chat("g1", program, 1, "one");
    w.advance(answering);
    CHECK(w.results.at(next).done);
}

TEST_CASE("a turn that a killed gateway left under way is taken over")
{
    chat_world w;
    const auto program = w.openProgram("g1");
    w.chat("g1", program, 1, "one");
    w.advance(milliseconds(60));
    w.kill("g1");
    const auto e = w.chat("g2", program, 1, "one");
    w.advance(milliseconds(9'000));
    CHECK(w.results.at(e).done);
    CHECK(w.shard.programs.at(program).turns.size() == 1);
    CHECK(store::isWithinBudget(w.shard.programs.at(program)));
}

TEST_CASE("two accounts with equal texts, turns and call ids never see each other's programs")
{
    chat_world w;
    const auto own = w.openProgram("g1", "ka");
    const auto first = w.chat("g1", own, 1, "secret", false, "ka");
    w.advance(answering);
    REQUIRE(w.results.at(first).status == 200);
    const auto foreign = w.chat("g2", own, 2, "what was it", false, "kb");
    const auto resent = w.chat("g1", own, 1, "secret", false, "kb");
    const auto history = w.request("g1", "GET", "/v1/programs/" + own + "/history", "", {}, "kb");
    const auto ending = w.request("g2", "DELETE", "/v1/programs/" + own, "", {}, "kb");
    w.advance(answering);
    for (const auto e : { foreign, resent, history, ending }) {
        CHECK(w.results.at(e).status == 404);
        CHECK(w.ran(e) == "not_run");
    }
    CHECK(w.shard.programs.at(own).endedOrder == 0);
}

//------------------------------------------------------------------------------------------------------------------
// Keys
//------------------------------------------------------------------------------------------------------------------

TEST_CASE("a request without a valid key is refused, and says so")
{
    chat_world w;
    const auto none = w.chat("g1", "", 0, "x", true, "");
    const auto unknown = w.chat("g1", "", 0, "x", true, "kz");
    const auto wrong = w.request("g1", "POST", "/v1/programs", R"({"route":"chat"})",
        { { "authorization", "Bearer ka.wrong" } }, "");
    w.advance(settling);
    for (const auto e : { none, unknown, wrong }) {
        CHECK(w.results.at(e).status == 401);
        CHECK(w.code(e) == "unauthenticated");
        CHECK(w.ran(e) == "not_run");
        CHECK(w.results.at(e).contentType == "application/problem+json");
    }
    CHECK(w.prompts.empty());
}

TEST_CASE("a withdrawn key ends its requests in every phase within seconds")
{
    const auto phase = GENERATE(0, 10, 30, 60, 100);
    chat_world w;
    w.pieceTime = milliseconds(400);
    const auto program = w.openProgram("g1");
    const auto e = w.chat("g1", program, 1, "one");
    w.advance(milliseconds(phase));
    store::applyCommand(w.control, wire::command(wire::withdraw_key { "ka" }));
    w.advance(milliseconds(1'500));
    CAPTURE(phase);
    CHECK(w.results.at(e).replies == 1);
    CHECK_FALSE(w.results.at(e).done);
    CHECK(w.busySidecar().empty());
    CHECK_FALSE(w.isHeld("g1"));
    CHECK(w.reservedTokens(program) == 0);
    const auto& seen = w.processes.at("g1").seen;
    CHECK(std::any_of(seen.begin(), seen.end(),
        [](const effect& each) { return std::holds_alternative<close_key_connections>(each); }));
    const auto later = w.chat("g1", "", 0, "x");
    w.advance(settling);
    CHECK(w.results.at(later).status == 401);
}

TEST_CASE("a gateway whose configuration lease has run out refuses keyed work as not run and ends what is under way")
{
    chat_world w;
    w.pieceTime = milliseconds(2'000);
    const auto streaming = w.chat("g1", "", 0, "long");
    w.advance(settling);
    w.controllerAnswers = false;
    w.advance(milliseconds(2'100));
    const auto ranBefore = w.prompts.size();
    const auto e = w.chat("g1", "", 0, "x");
    w.advance(settling);
    CHECK(w.results.at(e).status == 503);
    CHECK(w.ran(e) == "not_run");
    CHECK(w.prompts.size() == ranBefore);
    w.advance(milliseconds(2'500));
    CHECK(w.results.at(streaming).aborted);
    w.controllerAnswers = true;
    w.advance(milliseconds(2'000));
    w.pieceTime = milliseconds(10);
    const auto back = w.chat("g1", "", 0, "x");
    w.advance(answering);
    CHECK(w.results.at(back).done);
}

//------------------------------------------------------------------------------------------------------------------
// Crashing requests and shutdown
//------------------------------------------------------------------------------------------------------------------

TEST_CASE("a request under which two engines die is quarantined, through another gateway as well")
{
    chat_world w;
    const auto e = w.chat("g1", "", 0, "poison");
    unsigned deaths = 0;
    w.onStep = [&] {
        const auto busy = w.busySidecar();
        if (!busy.empty() && deaths < 10) {
            ++deaths;
            w.crashBackend(busy);
        }
    };
    w.advance(milliseconds(5'000));
    CHECK(w.code(e) == "quarantined");
    CHECK(deaths == 2);
    const auto again = w.chat("g2", "", 0, "poison");
    w.advance(answering);
    CHECK(w.code(again) == "quarantined");
    CHECK(deaths == 2);
    w.onStep = {};
    const auto innocent = w.chat("g2", "", 0, "fine");
    w.advance(answering);
    CHECK(w.results.at(innocent).done);
}

TEST_CASE("a graceful shutdown of a gateway cuts off no request")
{
    chat_world w;
    w.pieceTime = milliseconds(200);
    const auto e = w.chat("g1", "", 0, "long");
    w.advance(milliseconds(100));
    w.leave("g1");
    const auto& first = w.processes.at("g1").seen.back();
    REQUIRE(std::holds_alternative<set_ready>(first));
    CHECK_FALSE(std::get<set_ready>(first).ready);
    bool stoppedEarly = false;
    const auto stopped = [&] {
        const auto& seen = w.processes.at("g1").seen;
        return std::any_of(seen.begin(), seen.end(),
            [](const effect& each) { return std::holds_alternative<stop_process>(each); });
    };
    w.onStep = [&] { stoppedEarly = stoppedEarly || (stopped() && !w.results.at(e).done); };
    w.advance(milliseconds(5'000));
    CHECK(w.results.at(e).done);
    CHECK(stopped());
    CHECK_FALSE(stoppedEarly);
}

TEST_CASE("a sidecar that leaves finishes what it has and gets no new work")
{
    chat_world w;
    w.pieceTime = milliseconds(300);
    const auto e = w.chat("g1", "", 0, "long");
    w.advance(milliseconds(100));
    const auto leaving = w.busySidecar();
    REQUIRE_FALSE(leaving.empty());
    w.leave(leaving);
    w.advance(milliseconds(2'500));
    const auto takenBefore = w.sidecarOf(leaving).counters.attemptsTaken;
    constexpr std::size_t laterCount = 6;
    std::vector<exchange_id> later;
    later.reserve(laterCount);
    for (std::size_t i = 0; i < laterCount; ++i) {
        later.push_back(w.chat("g2", "", 0, "n" + std::to_string(i)));
    }
    w.advance(milliseconds(6'000));
    CHECK(w.results.at(e).done);
    for (const auto each : later) {
        CHECK(w.results.at(each).done);
    }
    CHECK(w.sidecarOf(leaving).counters.attemptsTaken == takenBefore);
}
