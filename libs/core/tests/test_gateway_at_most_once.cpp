#include "call_path_world.hpp"

#include <iostream>

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core;
using core::testing::call_path_world;
using std::chrono::milliseconds;

namespace {

struct run_options {
    std::uint64_t seed = 1;
    bool withoutRecords = false; ///< the operation is marked repeatable: no idempotency record, and retries
};

struct run_outcome {
    unsigned executedTwice = 0;
    unsigned falseNotRun = 0;
    unsigned lostAnswers = 0; ///< answers of calls that were not executed
    unsigned unanswered = 0;
    unsigned done = 0;
    unsigned notRun = 0;
    unsigned unknown = 0;
    bool held = false;
};

/// Payments through two gateways and two services while processes die, connections break and messages are lost,
/// late and doubled.
struct payment_run {
    explicit payment_run(run_options o)
        : options(o)
        , world(o.seed)
    {
        if (options.withoutRecords) {
            world.acceptManifest(call_path_world::manifestText(true), 2);
        }
        world.addGateway("g1");
        world.addGateway("g2");
        world.addSidecar("s1", wire::backend_kind::Service);
        world.addSidecar("s2", wire::backend_kind::Service);
        world.advance(milliseconds(1'500));
        world.faults.doubledPercent = 10;
        world.faults.lostPercent = 5;
        world.faults.maxDelay = milliseconds(20);
        world.serviceTime = milliseconds(40);
    }

    std::string randomGateway() { return world.random() % 2 == 0 ? "g1" : "g2"; }

    void send(const std::string& call)
    {
        const auto gateway = randomGateway();
        if (!world.processes.at(gateway).alive) {
            return;
        }
        sent.push_back({ world.pay(gateway, call), gateway, call, world.processes.at(gateway).incarnation, false });
    }

    void injectFault()
    {
        static const std::vector<std::string> names { "g1", "g2", "s1", "s2" };
        const auto& name = names[world.random() % names.size()];
        switch (world.random() % 5) {
        case 0:
            if (world.processes.at(name).alive) {
                world.kill(name);
            }
            return;
        case 1:
        case 2:
            world.cutLink(randomGateway(), world.random() % 2 == 0 ? "s1" : "s2",
                milliseconds(static_cast<std::int64_t>(world.random() % 400)));
            return;
        case 3:
            world.cutLink(name, "controller-1", milliseconds(static_cast<std::int64_t>(world.random() % 700)));
            return;
        default:
            if (world.processes.at(name).alive && name.front() == 's') {
                world.crashBackend(name);
            }
            return;
        }
    }

    void reviveAll()
    {
        for (auto& [name, process] : world.processes) {
            if (!process.alive) {
                world.restart(name);
            }
        }
    }

    /// A refusal as "not run" must be true at the time it is given.
    void checkNotRun(run_outcome& outcome)
    {
        for (auto& each : sent) {
            const auto& r = world.results.at(each.exchange);
            if (each.checked || r.replies == 0) {
                continue;
            }
            each.checked = true;
            const auto executed = world.executions["a/" + each.call];
            const auto ran = r.json()["ran"].asString();
            outcome.falseNotRun += ran == "not_run" && executed > 0 ? 1U : 0U;
            outcome.lostAnswers += r.status == 200 && executed == 0 ? 1U : 0U;
            outcome.done += r.status == 200 ? 1U : 0U;
            outcome.notRun += ran == "not_run" ? 1U : 0U;
            outcome.unknown += ran == "unknown" ? 1U : 0U;
            if (ran == "not_run") {
                lastRefused[each.call] = sent.size();
            }
        }
    }

    run_outcome run()
    {
        run_outcome outcome;
        constexpr unsigned calls = 25;
        for (unsigned i = 0; i < calls; ++i) {
            const auto call = "call-" + std::to_string(i);
            send(call);
            if (world.random() % 3 == 0) {
                send(call); // both at once
            }
            for (unsigned step = 0; step < 20; ++step) {
                world.advance(milliseconds(5));
                checkNotRun(outcome);
                if (world.random() % 12 == 0) {
                    injectFault();
                }
                if (world.random() % 20 == 0) {
                    reviveAll();
                }
            }
            if (world.random() % 2 == 0) {
                send("call-" + std::to_string(world.random() % (i + 1)));
            }
        }
        reviveAll();
        world.faults = {};
        for (unsigned step = 0; step < 10'000; ++step) {
            world.advance(milliseconds(5));
            checkNotRun(outcome);
        }
        for (const auto& [call, count] : world.executions) {
            outcome.executedTwice += count > 1 ? 1U : 0U;
        }
        for (const auto& each : sent) {
            const bool sameProcess = world.processes.at(each.gateway).incarnation == each.incarnation;
            outcome.unanswered += sameProcess && world.results.at(each.exchange).replies != 1 ? 1U : 0U;
            // Not sent again after its refusal, it must stay not run.
            const auto refused = lastRefused.find(each.call);
            const bool last = &each == lastSent(each.call);
            const auto ran = world.results.at(each.exchange).json()["ran"].asString();
            if (last && refused != lastRefused.end() && ran == "not_run" && !overlaps(each.call)) {
                outcome.falseNotRun += world.executions["a/" + each.call] > 0 ? 1U : 0U;
            }
        }
        outcome.held = world.isHeld("g1") || world.isHeld("g2");
        return outcome;
    }

    struct sent_request {
        exchange_id exchange = 0;
        std::string gateway;
        std::string call;
        std::uint64_t incarnation = 0;
        bool checked = false;
    };

    const sent_request* lastSent(const std::string& call)
    {
        const sent_request* last = nullptr;
        for (const auto& each : sent) {
            last = each.call == call ? &each : last;
        }
        return last;
    }

    /// @return whether the call was sent more than once, so that another request may have run it later.
    bool overlaps(const std::string& call)
    {
        return std::count_if(sent.begin(), sent.end(), [&](const auto& each) { return each.call == call; }) > 1;
    }

    run_options options;
    call_path_world world;
    std::vector<sent_request> sent;
    std::map<std::string, std::size_t> lastRefused;
};

constexpr std::uint64_t seedCount = 25;

} // namespace

TEST_CASE("a payment runs at most once and every \"not run\" is true, whatever dies or is lost")
{
    unsigned done = 0;
    unsigned notRun = 0;
    unsigned unknown = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        payment_run run({ seed });
        const auto outcome = run.run();
        CAPTURE(seed);
        CHECK(outcome.executedTwice == 0);
        CHECK(outcome.falseNotRun == 0);
        CHECK(outcome.lostAnswers == 0);
        CHECK(outcome.unanswered == 0);
        CHECK_FALSE(outcome.held);
        done += outcome.done;
        notRun += outcome.notRun;
        unknown += outcome.unknown;
    }
    std::cout << "payments, seeds 1 to " << seedCount << ": done " << done << ", not_run " << notRun << ", unknown "
              << unknown << "\n";
    CHECK(done > 0);
    CHECK(unknown > 0);
}

TEST_CASE("without idempotency records the same faults run payments twice")
{
    unsigned executedTwice = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        payment_run run({ seed, true });
        executedTwice += run.run().executedTwice;
    }
    CHECK(executedTwice > 0);
}

TEST_CASE("equal call ids of two client accounts are two calls")
{
    call_path_world w(1);
    w.addGateway("g1");
    w.addSidecar("s1", wire::backend_kind::Service);
    w.advance(milliseconds(1'500));
    const auto a = w.pay("g1", "same", "ka");
    const auto b = w.pay("g1", "same", "kb");
    w.advance(milliseconds(1'000));
    CHECK(w.results.at(a).status == 200);
    CHECK(w.results.at(b).status == 200);
    CHECK(w.executions["a/same"] == 1);
    CHECK(w.executions["b/same"] == 1);
}

TEST_CASE("the same call id with another body is a conflict, and asking for the outcome gives the answer")
{
    call_path_world w(1);
    w.addGateway("g1");
    w.addGateway("g2");
    w.addSidecar("s1", wire::backend_kind::Service);
    w.advance(milliseconds(1'500));
    w.pay("g1", "c1");
    w.advance(milliseconds(1'000));
    const auto other = w.request("g2", "POST", "/v1/services/ledger/pay", R"({"amount":2})",
        { { "idempotency-key", "c1" } });
    const auto again = w.pay("g2", "c1");
    const auto state = w.request("g2", "GET", "/v1/calls/c1", "");
    const auto none = w.request("g2", "GET", "/v1/calls/c2", "");
    w.advance(milliseconds(1'000));
    CHECK(w.results.at(other).status == 409);
    CHECK(w.results.at(again).json()["paid"].asBool());
    CHECK(w.results.at(state).json()["state"].asString() == "done");
    CHECK(w.results.at(none).status == 404);
    CHECK(w.executions["a/c1"] == 1);
}

TEST_CASE("a call whose gateway dies at any step is resolved by whoever asks next")
{
    const auto step = GENERATE(range(0, 130, 5));
    call_path_world w(7);
    w.addGateway("g1");
    w.addGateway("g2");
    w.addSidecar("s1", wire::backend_kind::Service);
    w.advance(milliseconds(1'500));
    w.serviceTime = milliseconds(40);
    w.pay("g1", "c1");
    w.advance(milliseconds(step));
    w.kill("g1");
    const auto e = w.pay("g2", "c1");
    w.advance(milliseconds(25'000));
    CAPTURE(step, w.results.at(e).body);
    CHECK(w.results.at(e).status == 200);
    CHECK(w.executions["a/c1"] == 1);
    CHECK_FALSE(w.isHeld("g2"));
}
