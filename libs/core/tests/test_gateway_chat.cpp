#include "call_path_world.hpp"

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core;
using core::testing::call_path_simulation;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds settleTime { 300 };
constexpr milliseconds answerTime { 3'000 };

/// Two gateways and two engines, ready to serve.
struct chat_simulation : call_path_simulation {
    explicit chat_simulation(std::uint64_t seed = 1)
        : call_path_simulation(seed)
    {
        addGateway("g1");
        addGateway("g2");
        addSidecar("s1", wire::backend_kind::Engine);
        addSidecar("s2", wire::backend_kind::Engine);
        advance(milliseconds(1'500));
    }

    [[nodiscard]] std::string code(exchange_id exchange) const
    {
        return results.at(exchange).json()["code"].asString();
    }
    [[nodiscard]] std::string ran(exchange_id exchange) const { return results.at(exchange).json()["ran"].asString(); }

    /// @return the name of a sidecar that runs an attempt, or an empty string.
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

TEST_CASE("a streamed call without a program gets the whole answer and leaves no state behind")
{
    chat_simulation simulation;
    const auto exchange = simulation.chat("g1", "", 0, "hello");
    simulation.advance(answerTime);
    const auto& r = simulation.results.at(exchange);
    INFO(r.body);
    CHECK(r.status == 200);
    CHECK(r.streamed.size() == 39);
    CHECK(r.done);
    CHECK(r.replies == 1);
    CHECK_FALSE(simulation.hasPendingState("g1"));
    CHECK(simulation.upstreamsWithKey == 0);
}

TEST_CASE("turns of a program run in order with the whole history in the prompt, on any backend server")
{
    chat_simulation simulation;
    const auto program = simulation.openProgram("g1");
    REQUIRE_FALSE(program.empty());
    const auto first = simulation.chat("g1", program, 1, "one", false);
    simulation.advance(answerTime);
    INFO(simulation.results.at(first).body);
    REQUIRE(simulation.results.at(first).status == 200);
    const auto answer = simulation.results.at(first).json()["choices"][0]["message"]["content"].asString();
    simulation.kill(simulation.shard.programs.at(program).home == "be-s1" ? "s1" : "s2");
    const auto second = simulation.chat("g2", program, 2, "two");
    simulation.advance(answerTime);
    CHECK(simulation.results.at(second).done);
    const auto prompt = *parseJson(simulation.prompts.back(), "test");
    REQUIRE(prompt.size() == 3);
    CHECK(prompt[0]["content"].asString() == "one");
    CHECK(prompt[1]["content"].asString() == answer);
    CHECK(prompt[2]["content"].asString() == "two");
    CHECK(simulation.shard.programs.at(program).turns.size() == 2);
}

TEST_CASE("a resent turn gets the committed answer, and a different request with the same turn number is a conflict")
{
    chat_simulation simulation;
    const auto program = simulation.openProgram("g1");
    const auto first = simulation.chat("g1", program, 1, "one");
    simulation.advance(answerTime);
    const auto promptsBefore = simulation.prompts.size();
    const auto again = simulation.chat("g2", program, 1, "one");
    const auto other = simulation.chat("g2", program, 1, "another");
    const auto early = simulation.chat("g2", program, 3, "three");
    simulation.advance(answerTime);
    CHECK(simulation.results.at(again).streamed == simulation.results.at(first).streamed);
    CHECK(simulation.results.at(again).done);
    CHECK(simulation.results.at(other).status == 409);
    CHECK(simulation.code(other) == "conflict");
    CHECK(simulation.code(early) == "out_of_order");
    CHECK(simulation.prompts.size() == promptsBefore);
}

TEST_CASE("a stream ends only after its turn is durable")
{
    chat_simulation simulation;
    const auto program = simulation.openProgram("g1");
    const auto exchange = simulation.chat("g1", program, 1, "one");
    simulation.onStep = [&] {
        if (simulation.results.at(exchange).done) {
            CHECK(simulation.shard.programs.at(program).turns.size() == 1);
        }
    };
    simulation.dropMessage = [&](const std::string& from, const std::string&, const wire::message& body) {
        const auto* request = std::get_if<wire::controller_request>(&body);
        const auto command = request != nullptr && !request->isQuery
            ? wire::decodeVariant<wire::command>(request->body, "test", "")
            : result<wire::command>(wire::open_program {});
        return from == "g1" && simulation.now < time_point(std::chrono::hours(1) + milliseconds(4'000))
            && std::holds_alternative<wire::commit_turn>(*command);
    };
    simulation.advance(milliseconds(1'500));
    CHECK(simulation.results.at(exchange).streamed.size() == 39);
    CHECK_FALSE(simulation.results.at(exchange).done);
    simulation.advance(answerTime);
    CHECK(simulation.results.at(exchange).done);
}

TEST_CASE("a stream resumes at its offset after the loss of its sidecar, engine or connection")
{
    const auto fault = GENERATE(0, 1, 2, 3);
    chat_simulation simulation;
    const auto undisturbed = simulation.chat("g1", "", 0, "hello");
    simulation.advance(answerTime);
    const auto exchange = simulation.chat("g1", "", 0, "hello");
    while (simulation.results.at(exchange).streamed.size() < 12) {
        simulation.advance(milliseconds(5));
    }
    const auto busy = simulation.busySidecar();
    REQUIRE_FALSE(busy.empty());
    if (fault == 0) {
        simulation.kill(busy);
    } else if (fault == 1) {
        simulation.crashBackend(busy);
    } else if (fault == 2) {
        simulation.cutLink("g1", busy, milliseconds(200));
    } else {
        simulation.cutLink("g1", busy, milliseconds(60'000));
    }
    simulation.advance(milliseconds(8'000));
    CAPTURE(fault);
    CHECK(simulation.results.at(exchange).streamed == simulation.results.at(undisturbed).streamed);
    CHECK(simulation.results.at(exchange).done);
    CHECK(simulation.results.at(exchange).replies == 1);
    CHECK_FALSE(simulation.hasPendingState("g1"));
}

TEST_CASE("a caller's disconnect cancels its attempt and settles its reservation")
{
    chat_simulation simulation;
    const auto program = simulation.openProgram("g1");
    const auto exchange = simulation.chat("g1", program, 1, "one");
    const auto phase = GENERATE(5, 30, 60);
    simulation.advance(milliseconds(phase));
    simulation.disconnectCaller("g1", exchange);
    simulation.advance(milliseconds(2'000));
    CAPTURE(phase);
    CHECK_FALSE(simulation.hasPendingState("g1"));
    CHECK(simulation.reservedTokens(program) == 0);
    CHECK(simulation.busySidecar().empty());
    const auto next = simulation.chat("g1", program, 1, "one");
    simulation.advance(answerTime);
    CHECK(simulation.results.at(next).done);
}

TEST_CASE("another gateway takes over a turn left in progress by a killed gateway")
{
    chat_simulation simulation;
    const auto program = simulation.openProgram("g1");
    simulation.chat("g1", program, 1, "one");
    simulation.advance(milliseconds(60));
    simulation.kill("g1");
    const auto exchange = simulation.chat("g2", program, 1, "one");
    simulation.advance(milliseconds(9'000));
    CHECK(simulation.results.at(exchange).done);
    CHECK(simulation.shard.programs.at(program).turns.size() == 1);
    CHECK(store::isWithinBudget(simulation.shard.programs.at(program)));
}

TEST_CASE("a client account cannot read, continue or end another account's program, even with an equal request")
{
    chat_simulation simulation;
    const auto own = simulation.openProgram("g1", "ka");
    const auto first = simulation.chat("g1", own, 1, "secret", false, "ka");
    simulation.advance(answerTime);
    REQUIRE(simulation.results.at(first).status == 200);
    const auto foreignTurn = simulation.chat("g2", own, 2, "what was it", false, "kb");
    const auto resent = simulation.chat("g1", own, 1, "secret", false, "kb");
    const auto history = simulation.request("g1", "GET", "/v1/programs/" + own + "/history", "", {}, "kb");
    const auto ending = simulation.request("g2", "DELETE", "/v1/programs/" + own, "", {}, "kb");
    simulation.advance(answerTime);
    for (const auto exchange : { foreignTurn, resent, history, ending }) {
        CHECK(simulation.results.at(exchange).status == 404);
        CHECK(simulation.ran(exchange) == "not_run");
    }
    CHECK(simulation.shard.programs.at(own).endedOrder == 0);
}

//------------------------------------------------------------------------------------------------------------------
// Keys
//------------------------------------------------------------------------------------------------------------------

TEST_CASE("a request without a valid key is refused as unauthenticated and not run")
{
    chat_simulation simulation;
    const auto none = simulation.chat("g1", "", 0, "x", true, "");
    const auto unknown = simulation.chat("g1", "", 0, "x", true, "kz");
    const auto wrong = simulation.request("g1", "POST", "/v1/programs", R"({"route":"chat"})",
        { { "authorization", "Bearer ka.wrong" } }, "");
    simulation.advance(settleTime);
    for (const auto exchange : { none, unknown, wrong }) {
        CHECK(simulation.results.at(exchange).status == 401);
        CHECK(simulation.code(exchange) == "unauthenticated");
        CHECK(simulation.ran(exchange) == "not_run");
        CHECK(simulation.results.at(exchange).contentType == "application/problem+json");
    }
    CHECK(simulation.prompts.empty());
}

TEST_CASE("withdrawing a key ends its requests in every phase within seconds")
{
    const auto phase = GENERATE(0, 10, 30, 60, 100);
    chat_simulation simulation;
    simulation.chunkInterval = milliseconds(400);
    const auto program = simulation.openProgram("g1");
    const auto exchange = simulation.chat("g1", program, 1, "one");
    simulation.advance(milliseconds(phase));
    store::applyCommand(simulation.control, wire::command(wire::withdraw_key { "ka" }));
    simulation.advance(milliseconds(1'500));
    CAPTURE(phase);
    CHECK(simulation.results.at(exchange).replies == 1);
    CHECK_FALSE(simulation.results.at(exchange).done);
    CHECK(simulation.busySidecar().empty());
    CHECK_FALSE(simulation.hasPendingState("g1"));
    CHECK(simulation.reservedTokens(program) == 0);
    const auto& recordedEffects = simulation.processes.at("g1").recordedEffects;
    CHECK(std::any_of(recordedEffects.begin(), recordedEffects.end(),
        [](const effect& recorded) { return std::holds_alternative<close_key_connections>(recorded); }));
    const auto later = simulation.chat("g1", "", 0, "x");
    simulation.advance(settleTime);
    CHECK(simulation.results.at(later).status == 401);
}

TEST_CASE("a gateway with an expired configuration lease refuses keyed requests as not run and ends those in progress")
{
    chat_simulation simulation;
    simulation.chunkInterval = milliseconds(2'000);
    const auto streaming = simulation.chat("g1", "", 0, "long");
    simulation.advance(settleTime);
    simulation.controllerAnswers = false;
    simulation.advance(milliseconds(2'100));
    const auto promptsBefore = simulation.prompts.size();
    const auto exchange = simulation.chat("g1", "", 0, "x");
    simulation.advance(settleTime);
    CHECK(simulation.results.at(exchange).status == 503);
    CHECK(simulation.ran(exchange) == "not_run");
    CHECK(simulation.prompts.size() == promptsBefore);
    simulation.advance(milliseconds(2'500));
    CHECK(simulation.results.at(streaming).aborted);
    simulation.controllerAnswers = true;
    simulation.advance(milliseconds(2'000));
    simulation.chunkInterval = milliseconds(10);
    const auto back = simulation.chat("g1", "", 0, "x");
    simulation.advance(answerTime);
    CHECK(simulation.results.at(back).done);
}

//------------------------------------------------------------------------------------------------------------------
// Crashing requests and shutdown
//------------------------------------------------------------------------------------------------------------------

TEST_CASE("a request that crashes two engines is quarantined, also on other gateways")
{
    chat_simulation simulation;
    const auto exchange = simulation.chat("g1", "", 0, "poison");
    unsigned deaths = 0;
    simulation.onStep = [&] {
        const auto busy = simulation.busySidecar();
        if (!busy.empty() && deaths < 10) {
            ++deaths;
            simulation.crashBackend(busy);
        }
    };
    simulation.advance(milliseconds(5'000));
    CHECK(simulation.code(exchange) == "quarantined");
    CHECK(deaths == 2);
    const auto again = simulation.chat("g2", "", 0, "poison");
    simulation.advance(answerTime);
    CHECK(simulation.code(again) == "quarantined");
    CHECK(deaths == 2);
    simulation.onStep = {};
    const auto harmless = simulation.chat("g2", "", 0, "fine");
    simulation.advance(answerTime);
    CHECK(simulation.results.at(harmless).done);
}

TEST_CASE("a graceful shutdown of a gateway aborts no request")
{
    chat_simulation simulation;
    simulation.chunkInterval = milliseconds(200);
    const auto exchange = simulation.chat("g1", "", 0, "long");
    simulation.advance(milliseconds(100));
    simulation.shutDown("g1");
    const auto& first = simulation.processes.at("g1").recordedEffects.back();
    REQUIRE(std::holds_alternative<set_ready>(first));
    CHECK_FALSE(std::get<set_ready>(first).ready);
    bool stoppedEarly = false;
    const auto stopped = [&] {
        const auto& recordedEffects = simulation.processes.at("g1").recordedEffects;
        return std::any_of(recordedEffects.begin(), recordedEffects.end(),
            [](const effect& recorded) { return std::holds_alternative<stop_process>(recorded); });
    };
    simulation.onStep = [&] { stoppedEarly = stoppedEarly || (stopped() && !simulation.results.at(exchange).done); };
    simulation.advance(milliseconds(5'000));
    CHECK(simulation.results.at(exchange).done);
    CHECK(stopped());
    CHECK_FALSE(stoppedEarly);
}

TEST_CASE("a sidecar that shuts down finishes its attempts and gets no new ones")
{
    chat_simulation simulation;
    simulation.chunkInterval = milliseconds(300);
    const auto exchange = simulation.chat("g1", "", 0, "long");
    simulation.advance(milliseconds(100));
    const auto leaving = simulation.busySidecar();
    REQUIRE_FALSE(leaving.empty());
    simulation.shutDown(leaving);
    simulation.advance(milliseconds(2'500));
    const auto attemptsBefore = simulation.sidecarOf(leaving).counters.attemptsTaken;
    constexpr std::size_t laterCount = 6;
    std::vector<exchange_id> later;
    later.reserve(laterCount);
    for (std::size_t i = 0; i < laterCount; ++i) {
        later.push_back(simulation.chat("g2", "", 0, "n" + std::to_string(i)));
    }
    simulation.advance(milliseconds(6'000));
    CHECK(simulation.results.at(exchange).done);
    for (const auto request : later) {
        CHECK(simulation.results.at(request).done);
    }
    CHECK(simulation.sidecarOf(leaving).counters.attemptsTaken == attemptsBefore);
}
