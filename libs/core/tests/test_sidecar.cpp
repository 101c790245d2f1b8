#include <core/sidecar/sidecar.hpp>

#include <algorithm>

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core;
using std::chrono::milliseconds;

namespace {

/// One sidecar under manual time; its effects are collected.
struct sidecar_driver {
    explicit sidecar_driver(wire::backend_kind kind, std::uint32_t batchLimit = 2)
    {
        state.identity = { "s1", "r", "fd", 0 };
        state.settings.controllers = { { "c1", "c:1" } };
        state.settings.backend = "b1";
        state.settings.kind = kind;
        state.settings.models = { "m" };
        state.settings.batchLimit = batchLimit;
        state.settings.cacheTokens = 10'000;
        give(process_started { 1, incarnation });
        give(peer_connected { "c1", "controller", 1 });
        give(peer_connected { "g1", "gateway", 1 });
        if (kind == wire::backend_kind::Engine) {
            wait(milliseconds(10));
            answer("probe", R"({"incarnation":1})");
        }
        out.clear();
    }

    void give(const event& e) { sidecar::reduceSidecar(state, e, now, random, out); }

    void receive(const wire::message& body, const std::string& peer = "g1") { give(peer_message { peer, 1, body }); }

    void wait(milliseconds span)
    {
        for (const auto until = now + span; now < until;) {
            now += milliseconds(10);
            give(tick {});
        }
    }

    void answer(const std::string& request, const std::string& body, std::uint32_t status = 200)
    {
        give(upstream_response { request, status });
        give(upstream_data { request, body });
        give(upstream_finished { request });
    }

    wire::attempt_start start(const std::string& attempt) const
    {
        wire::attempt_start s;
        s.attempt = attempt;
        s.sidecarIncarnation = incarnation;
        s.latestStart = milliseconds(5'000);
        s.timeout = milliseconds(60'000);
        s.account = "a";
        s.kind = state.settings.kind;
        s.model = "m";
        s.operation = "pay";
        s.call = attempt;
        s.body = R"([{"role":"user","content":"x"}])";
        s.maxTokens = 10;
        return s;
    }

    /// Sends an engine's whole answer.
    void generate(const std::string& attempt, const std::string& text)
    {
        give(upstream_response { attempt, 200 });
        give(upstream_data { attempt, R"({"choices":[{"delta":{"content":")" + text + R"("}}]})" });
        give(upstream_data { attempt,
            R"({"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":5,"cached_tokens":1,"completion_tokens":2}})" });
        give(upstream_data { attempt, "[DONE]" });
        give(upstream_finished { attempt });
    }

    /// @return how often the backend server was given the attempt.
    [[nodiscard]] std::ptrdiff_t timesGiven(const std::string& attempt) const
    {
        return std::count_if(out.begin(), out.end(), [&](const effect& each) {
            const auto* started = std::get_if<start_upstream>(&each);
            return started != nullptr && started->request == attempt;
        });
    }

    [[nodiscard]] const start_upstream* given(const std::string& request) const
    {
        for (const auto& each : out) {
            const auto* started = std::get_if<start_upstream>(&each);
            if (started != nullptr && started->request == request) {
                return started;
            }
        }
        return nullptr;
    }

    /// @return the last message of the kind about the attempt, or null.
    template <typename Message>
    [[nodiscard]] const Message* told(const std::string& attempt) const
    {
        const Message* last = nullptr;
        for (const auto& each : out) {
            const auto* sent = std::get_if<send_message>(&each);
            const auto* body = sent == nullptr ? nullptr : std::get_if<Message>(&sent->body);
            last = body != nullptr && body->attempt == attempt ? body : last;
        }
        return last;
    }

    [[nodiscard]] bool refusedAsNotRun(const std::string& attempt) const
    {
        const auto* failed = told<wire::attempt_failed>(attempt);
        return failed != nullptr && failed->outcome == wire::attempt_outcome::NotRun;
    }

    static constexpr std::uint64_t incarnation = 7;
    sidecar::sidecar_state state;
    std::mt19937_64 random { 1 };
    time_point now { std::chrono::hours(1) };
    effects out;
};

} // namespace

TEST_CASE("a doubled start is given to the backend server once, also long after it has ended")
{
    sidecar_driver d(wire::backend_kind::Service);
    d.receive(d.start("t1"));
    d.receive(d.start("t1"));
    d.answer("t1", "{}");
    d.receive(d.start("t1"));
    CHECK(d.told<wire::attempt_done>("t1") != nullptr);
    d.wait(d.state.settings.finishedRetention + milliseconds(1'000));
    CHECK(d.state.attempts.empty());
    d.receive(d.start("t1"));
    CHECK(d.timesGiven("t1") == 1);
    CHECK_FALSE(d.refusedAsNotRun("t1"));
    SECTION("shown failing: a table that forgets ended attempts runs it again")
    {
        d.state.closed.clear();
        d.receive(d.start("t1"));
        CHECK(d.timesGiven("t1") == 2);
    }
}

TEST_CASE("an attempt reported as not run never starts, however late it comes")
{
    sidecar_driver d(wire::backend_kind::Service);
    wire::attempt_query ask;
    ask.attempt = "t1";
    ask.sidecarIncarnation = sidecar_driver::incarnation;
    ask.refuseIfUnknown = true;
    d.receive(ask);
    REQUIRE(d.refusedAsNotRun("t1"));
    d.wait(milliseconds(300'000));
    d.receive(d.start("t1"));
    CHECK(d.timesGiven("t1") == 0);
    SECTION("shown failing: without the refusal's record it would run")
    {
        d.state.closed.clear();
        d.receive(d.start("t1"));
        CHECK(d.timesGiven("t1") == 1);
    }
}

TEST_CASE("an attempt that was cancelled before it came is refused when it comes")
{
    sidecar_driver d(wire::backend_kind::Service);
    d.receive(wire::attempt_cancel { "t1" });
    d.receive(d.start("t1"));
    CHECK(d.timesGiven("t1") == 0);
    CHECK(d.refusedAsNotRun("t1"));
}

TEST_CASE("an attempt meant for another start of the sidecar is refused, and a query about one is unknown")
{
    sidecar_driver d(wire::backend_kind::Service);
    auto start = d.start("t1");
    --start.sidecarIncarnation;
    d.receive(start);
    CHECK(d.timesGiven("t1") == 0);
    CHECK(d.refusedAsNotRun("t1"));
    wire::attempt_query ask { "t2", sidecar_driver::incarnation - 1, true, 0 };
    d.receive(ask);
    const auto* failed = d.told<wire::attempt_failed>("t2");
    REQUIRE(failed != nullptr);
    CHECK(failed->outcome == wire::attempt_outcome::Unknown);
}

TEST_CASE("an attempt that waits past its latest start is refused as not run, and the batch limit holds")
{
    sidecar_driver d(wire::backend_kind::Service, 1);
    d.receive(d.start("t1"));
    d.receive(d.start("t2"));
    CHECK(d.timesGiven("t1") == 1);
    CHECK(d.timesGiven("t2") == 0);
    d.wait(milliseconds(5'100));
    CHECK(d.refusedAsNotRun("t2"));
    d.answer("t1", "{}");
    d.wait(milliseconds(100));
    CHECK(d.timesGiven("t2") == 0);
}

TEST_CASE("a service that was given a call and lost contact leaves it unknown; one not reached leaves it not run")
{
    sidecar_driver d(wire::backend_kind::Service);
    d.receive(d.start("t1"));
    d.give(upstream_failed { "t1", upstream_phase::Sent, "reset" });
    REQUIRE(d.told<wire::attempt_failed>("t1") != nullptr);
    CHECK(d.told<wire::attempt_failed>("t1")->outcome == wire::attempt_outcome::Unknown);
    d.receive(d.start("t2"));
    d.give(upstream_failed { "t2", upstream_phase::NotSent, "refused" });
    CHECK(d.refusedAsNotRun("t2"));
}

TEST_CASE("a running service call is not cut off by a cancellation, an engine's attempt is")
{
    sidecar_driver service(wire::backend_kind::Service);
    service.receive(service.start("t1"));
    service.receive(wire::attempt_cancel { "t1" });
    service.answer("t1", R"({"paid":true})");
    REQUIRE(service.told<wire::attempt_done>("t1") != nullptr);
    CHECK(service.told<wire::attempt_done>("t1")->body == R"({"paid":true})");

    sidecar_driver engine(wire::backend_kind::Engine);
    engine.receive(engine.start("t1"));
    engine.receive(wire::attempt_cancel { "t1" });
    CHECK(std::any_of(engine.out.begin(), engine.out.end(),
        [](const effect& each) { return std::holds_alternative<cancel_upstream>(each); }));
    CHECK(engine.told<wire::attempt_failed>("t1")->outcome == wire::attempt_outcome::Ran);
}

TEST_CASE("work of a gateway that stays away is cancelled")
{
    sidecar_driver d(wire::backend_kind::Engine);
    d.receive(d.start("t1"));
    d.give(peer_disconnected { "g1", "silent" });
    d.wait(milliseconds(9'000));
    CHECK(d.state.running.size() == 1);
    d.wait(milliseconds(2'000));
    CHECK(d.state.running.empty());
}

//------------------------------------------------------------------------------------------------------------------
// Engines
//------------------------------------------------------------------------------------------------------------------

TEST_CASE("an engine that fails half-way is probed before it is judged")
{
    sidecar_driver d(wire::backend_kind::Engine);
    d.receive(d.start("t1"));
    d.give(upstream_response { "t1", 200 });
    d.give(upstream_failed { "t1", upstream_phase::Answering, "silent" });
    CHECK(d.told<wire::attempt_failed>("t1") == nullptr);
    REQUIRE(d.given("probe") != nullptr);
    CHECK(d.given("probe")->freshConnection);
    SECTION("alive: no death is reported")
    {
        d.answer("probe", R"({"incarnation":1})");
        REQUIRE(d.told<wire::attempt_failed>("t1") != nullptr);
        CHECK_FALSE(d.told<wire::attempt_failed>("t1")->backendDied);
    }
    SECTION("restarted: it died")
    {
        d.answer("probe", R"({"incarnation":2})");
        CHECK(d.told<wire::attempt_failed>("t1")->backendDied);
        CHECK(d.state.health.up);
    }
    SECTION("gone: it died, and new attempts are refused as not run")
    {
        d.give(upstream_failed { "probe", upstream_phase::NotSent, "refused" });
        CHECK(d.told<wire::attempt_failed>("t1")->backendDied);
        d.receive(d.start("t2"));
        CHECK(d.refusedAsNotRun("t2"));
        d.wait(milliseconds(600));
        d.answer("probe", R"({"incarnation":2})");
        d.receive(d.start("t3"));
        CHECK(d.timesGiven("t3") == 1);
    }
}

TEST_CASE("a suspect runs alone")
{
    sidecar_driver d(wire::backend_kind::Engine, 8);
    d.receive(d.start("t1"));
    auto suspect = d.start("t2");
    suspect.suspect = true;
    d.receive(suspect);
    d.receive(d.start("t3"));
    CHECK(d.state.running.size() == 1);
    d.generate("t1", "one");
    CHECK(d.timesGiven("t2") == 1);
    CHECK(d.timesGiven("t3") == 0);
    d.generate("t2", "two");
    d.wait(milliseconds(20));
    CHECK(d.timesGiven("t3") == 1);
}

TEST_CASE("only a committed answer becomes history beside the engine")
{
    sidecar_driver d(wire::backend_kind::Engine);
    auto first = d.start("t1");
    first.program = "p";
    first.turn = 1;
    d.receive(first);
    d.generate("t1", "kept");
    auto second = d.start("t2");
    second.program = "p";
    second.turn = 2;
    second.historyTurns = 1;
    SECTION("not confirmed: the turn is read from the program's group")
    {
        d.receive(second);
        CHECK(d.timesGiven("t2") == 0);
        CHECK(d.state.attemptOfRead.size() == 1);
    }
    SECTION("confirmed: the turn is at hand")
    {
        d.receive(wire::attempt_committed { "t1" });
        d.receive(second);
        REQUIRE(d.given("t2") != nullptr);
        CHECK(d.given("t2")->body.find(R"({"content":"kept","role":"assistant"})") != std::string::npos);
    }
    SECTION("another client account's program of the same id has a history of its own")
    {
        d.receive(wire::attempt_committed { "t1" });
        second.account = "b";
        d.receive(second);
        CHECK(d.timesGiven("t2") == 0);
    }
}

TEST_CASE("a program that has ended holds no cache and no history")
{
    sidecar_driver d(wire::backend_kind::Engine);
    auto first = d.start("t1");
    first.program = "p";
    first.turn = 1;
    d.receive(first);
    d.generate("t1", "kept");
    d.receive(wire::attempt_committed { "t1" });
    CHECK(d.state.pins.pins.size() == 1);
    d.receive(wire::program_ended { "p" });
    const auto* order = d.given("release:p");
    REQUIRE(order != nullptr);
    CHECK(order->method == "DELETE");
    CHECK(order->target == "/cache/p");
    d.answer("release:p", "{}");
    CHECK(d.state.pins.heldTokens == 0);
    CHECK(d.state.histories.programs.empty());
}

TEST_CASE("texts of histories are bounded, the program used longest ago goes first")
{
    sidecar::history_store store;
    store.maxBytes = 100;
    sidecar::addTurn(store, "a\np1", 1, { std::string(40, 'x'), std::string(4, 'y') });
    sidecar::addTurn(store, "a\np2", 1, { std::string(40, 'x'), std::string(4, 'y') });
    sidecar::joinMessages(store, "a\np1", 1, "[]");
    sidecar::addTurn(store, "a\np3", 1, { std::string(40, 'x'), std::string(4, 'y') });
    CHECK(sidecar::heldTurns(store, "a\np1") == 1);
    CHECK(sidecar::heldTurns(store, "a\np2") == 0);
    CHECK(sidecar::heldTurns(store, "a\np3") == 1);
    CHECK(store.bytes == 88);
}

// Guards against a sidecar over its memory by finished answers, which it keeps for late queries.
TEST_CASE("The answers of finished attempts are kept within a bound, the newest longest", "[sidecar]")
{
    sidecar_driver driver(wire::backend_kind::Engine);
    driver.state.settings.finishedBytes = 100'000;
    for (int i = 0; i < 30; ++i) {
        const auto attempt = "a" + std::to_string(i);
        driver.receive(driver.start(attempt));
        driver.generate(attempt, std::string(10'000, 'x'));
        CHECK(driver.state.finishedBytes <= driver.state.settings.finishedBytes);
    }
    CHECK(driver.told<wire::attempt_done>("a29") != nullptr);
    CHECK(driver.state.attempts.contains("a29"));
    CHECK_FALSE(driver.state.attempts.contains("a0"));
    // A late start of a forgotten attempt does not run it again.
    driver.receive(driver.start("a0"));
    CHECK(driver.timesGiven("a0") == 1);
}
