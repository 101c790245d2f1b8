#include "call_path_world.hpp"

#include <iostream>

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core;
using core::testing::call_path_simulation;
using std::chrono::milliseconds;

namespace {

struct run_options {
    std::uint64_t seed = 1;
    bool disableRecords = false; ///< marks the operation as repeatable: no idempotency records, and retries
};

struct run_outcome {
    unsigned executedTwice = 0;
    unsigned falseNotRunCount = 0;
    unsigned answersWithoutExecution = 0; ///< successful answers to calls that were not executed
    unsigned unanswered = 0;
    unsigned done = 0;
    unsigned notRun = 0;
    unsigned unknown = 0;
    bool pendingState = false;
};

/// Sends payments through two gateways to two services while processes die, connections break, and messages are lost,
/// delayed and duplicated.
struct payment_run {
    explicit payment_run(run_options o)
        : options(o)
        , simulation(o.seed)
    {
        if (options.disableRecords) {
            simulation.acceptManifest(call_path_simulation::manifestText(true), 2);
        }
        simulation.addGateway("g1");
        simulation.addGateway("g2");
        simulation.addSidecar("s1", wire::backend_kind::Service);
        simulation.addSidecar("s2", wire::backend_kind::Service);
        simulation.advance(milliseconds(1'500));
        simulation.faults.duplicatedPercent = 10;
        simulation.faults.lostPercent = 5;
        simulation.faults.maxDelay = milliseconds(20);
        simulation.serviceTime = milliseconds(40);
    }

    std::string randomGateway() { return simulation.random() % 2 == 0 ? "g1" : "g2"; }

    void send(const std::string& call)
    {
        const auto gateway = randomGateway();
        if (!simulation.processes.at(gateway).alive) {
            return;
        }
        sent.push_back(
            { simulation.pay(gateway, call), gateway, call, simulation.processes.at(gateway).incarnation, false });
    }

    void injectFault()
    {
        static const std::vector<std::string> names { "g1", "g2", "s1", "s2" };
        const auto& name = names[simulation.random() % names.size()];
        switch (simulation.random() % 5) {
        case 0:
            if (simulation.processes.at(name).alive) {
                simulation.kill(name);
            }
            return;
        case 1:
        case 2:
            simulation.cutLink(randomGateway(), simulation.random() % 2 == 0 ? "s1" : "s2",
                milliseconds(static_cast<std::int64_t>(simulation.random() % 400)));
            return;
        case 3:
            simulation.cutLink(
                name, "controller-1", milliseconds(static_cast<std::int64_t>(simulation.random() % 700)));
            return;
        default:
            if (simulation.processes.at(name).alive && name.front() == 's') {
                simulation.crashBackend(name);
            }
            return;
        }
    }

    void restartAll()
    {
        for (auto& [name, process] : simulation.processes) {
            if (!process.alive) {
                simulation.restart(name);
            }
        }
    }

    /// Counts the new answers. A "not_run" refusal is false if the call was executed before the refusal.
    void checkNotRun(run_outcome& outcome)
    {
        for (auto& request : sent) {
            const auto& r = simulation.results.at(request.exchange);
            if (request.checked || r.replies == 0) {
                continue;
            }
            request.checked = true;
            const auto executed = simulation.executions["a/" + request.call];
            const auto ran = r.json()["ran"].asString();
            outcome.falseNotRunCount += ran == "not_run" && executed > 0 ? 1U : 0U;
            outcome.answersWithoutExecution += r.status == 200 && executed == 0 ? 1U : 0U;
            outcome.done += r.status == 200 ? 1U : 0U;
            outcome.notRun += ran == "not_run" ? 1U : 0U;
            outcome.unknown += ran == "unknown" ? 1U : 0U;
            if (ran == "not_run") {
                lastRefused[request.call] = sent.size();
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
            if (simulation.random() % 3 == 0) {
                send(call); // two concurrent requests for one call
            }
            for (unsigned step = 0; step < 20; ++step) {
                simulation.advance(milliseconds(5));
                checkNotRun(outcome);
                if (simulation.random() % 12 == 0) {
                    injectFault();
                }
                if (simulation.random() % 20 == 0) {
                    restartAll();
                }
            }
            if (simulation.random() % 2 == 0) {
                send("call-" + std::to_string(simulation.random() % (i + 1)));
            }
        }
        restartAll();
        simulation.faults = {};
        for (unsigned step = 0; step < 10'000; ++step) {
            simulation.advance(milliseconds(5));
            checkNotRun(outcome);
        }
        for (const auto& [call, count] : simulation.executions) {
            outcome.executedTwice += count > 1 ? 1U : 0U;
        }
        for (const auto& request : sent) {
            const bool sameProcess = simulation.processes.at(request.gateway).incarnation == request.incarnation;
            outcome.unanswered += sameProcess && simulation.results.at(request.exchange).replies != 1 ? 1U : 0U;
            // A call that was refused as not run and not sent again must never run.
            const auto refused = lastRefused.find(request.call);
            const bool last = &request == lastSent(request.call);
            const auto ran = simulation.results.at(request.exchange).json()["ran"].asString();
            if (last && refused != lastRefused.end() && ran == "not_run" && !wasSentRepeatedly(request.call)) {
                outcome.falseNotRunCount += simulation.executions["a/" + request.call] > 0 ? 1U : 0U;
            }
        }
        outcome.pendingState = simulation.hasPendingState("g1") || simulation.hasPendingState("g2");
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
        for (const auto& request : sent) {
            last = request.call == call ? &request : last;
        }
        return last;
    }

    /// @return whether the call was sent more than once; if so, another request may have run it later.
    bool wasSentRepeatedly(const std::string& call)
    {
        return std::count_if(sent.begin(), sent.end(), [&](const auto& request) { return request.call == call; }) > 1;
    }

    run_options options;
    call_path_simulation simulation;
    std::vector<sent_request> sent;
    std::map<std::string, std::size_t> lastRefused;
};

constexpr std::uint64_t seedCount = 25;

} // namespace

TEST_CASE("a payment runs at most once and every \"not_run\" report is true under injected faults")
{
    unsigned done = 0;
    unsigned notRun = 0;
    unsigned unknown = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        payment_run run({ seed });
        const auto outcome = run.run();
        CAPTURE(seed);
        CHECK(outcome.executedTwice == 0);
        CHECK(outcome.falseNotRunCount == 0);
        CHECK(outcome.answersWithoutExecution == 0);
        CHECK(outcome.unanswered == 0);
        CHECK_FALSE(outcome.pendingState);
        done += outcome.done;
        notRun += outcome.notRun;
        unknown += outcome.unknown;
    }
    std::cout << "payments, seeds 1 to " << seedCount << ": done " << done << ", not_run " << notRun << ", unknown "
              << unknown << "\n";
    CHECK(done > 0);
    CHECK(unknown > 0);
}

TEST_CASE("without idempotency records the same faults execute payments twice")
{
    unsigned executedTwice = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        payment_run run({ seed, true });
        executedTwice += run.run().executedTwice;
    }
    CHECK(executedTwice > 0);
}

TEST_CASE("equal call ids of two client accounts denote separate calls")
{
    call_path_simulation simulation(1);
    simulation.addGateway("g1");
    simulation.addSidecar("s1", wire::backend_kind::Service);
    simulation.advance(milliseconds(1'500));
    const auto a = simulation.pay("g1", "same", "ka");
    const auto b = simulation.pay("g1", "same", "kb");
    simulation.advance(milliseconds(1'000));
    CHECK(simulation.results.at(a).status == 200);
    CHECK(simulation.results.at(b).status == 200);
    CHECK(simulation.executions["a/same"] == 1);
    CHECK(simulation.executions["b/same"] == 1);
}

TEST_CASE("reusing a call id with another body is a conflict, and a resend or a state query returns the outcome")
{
    call_path_simulation simulation(1);
    simulation.addGateway("g1");
    simulation.addGateway("g2");
    simulation.addSidecar("s1", wire::backend_kind::Service);
    simulation.advance(milliseconds(1'500));
    simulation.pay("g1", "c1");
    simulation.advance(milliseconds(1'000));
    const auto other = simulation.request("g2", "POST", "/v1/services/ledger/pay", R"({"amount":2})",
        { { "idempotency-key", "c1" } });
    const auto again = simulation.pay("g2", "c1");
    const auto state = simulation.request("g2", "GET", "/v1/calls/c1", "");
    const auto none = simulation.request("g2", "GET", "/v1/calls/c2", "");
    simulation.advance(milliseconds(1'000));
    CHECK(simulation.results.at(other).status == 409);
    CHECK(simulation.results.at(again).json()["paid"].asBool());
    CHECK(simulation.results.at(state).json()["state"].asString() == "done");
    CHECK(simulation.results.at(none).status == 404);
    CHECK(simulation.executions["a/c1"] == 1);
}

TEST_CASE("a call whose gateway dies at any step is completed by the next gateway that receives it")
{
    const auto step = GENERATE(range(0, 130, 5));
    call_path_simulation simulation(7);
    simulation.addGateway("g1");
    simulation.addGateway("g2");
    simulation.addSidecar("s1", wire::backend_kind::Service);
    simulation.advance(milliseconds(1'500));
    simulation.serviceTime = milliseconds(40);
    simulation.pay("g1", "c1");
    simulation.advance(milliseconds(step));
    simulation.kill("g1");
    const auto exchange = simulation.pay("g2", "c1");
    simulation.advance(milliseconds(25'000));
    CAPTURE(step, simulation.results.at(exchange).body);
    CHECK(simulation.results.at(exchange).status == 200);
    CHECK(simulation.executions["a/c1"] == 1);
    CHECK_FALSE(simulation.hasPendingState("g2"));
}
