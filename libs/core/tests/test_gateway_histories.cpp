#include "call_path_world.hpp"

#include <iostream>

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core;
using core::testing::call_path_simulation;
using std::chrono::milliseconds;

namespace {

constexpr unsigned turnCount = 4;

/// A caller that runs one program turn by turn and resends each turn until it has the whole answer.
struct program_caller {
    std::string key;
    std::string program;
    std::string tag;
    unsigned turn = 1;
    exchange_id exchange = 0;
    std::string gateway;
    std::uint64_t incarnation = 0;
    std::vector<std::string> answers;
};

struct history_run {
    explicit history_run(std::uint64_t seed)
        : simulation(seed)
    {
        for (const auto* name : { "g1", "g2" }) {
            simulation.addGateway(name);
        }
        for (const auto* name : { "s1", "s2", "s3" }) {
            simulation.addSidecar(name, wire::backend_kind::Engine);
        }
        simulation.advance(milliseconds(1'500));
        for (unsigned i = 0; i < 6; ++i) {
            program_caller caller;
            caller.key = i % 2 == 0 ? "ka" : "kb";
            caller.program = simulation.openProgram("g1", caller.key);
            caller.tag = caller.program + "/";
            callers.push_back(caller);
        }
        simulation.faults.duplicatedPercent = 10;
        simulation.faults.lostPercent = 5;
        simulation.faults.maxDelay = milliseconds(15);
    }

    void send(program_caller& caller)
    {
        caller.gateway = simulation.random() % 2 == 0 ? "g1" : "g2";
        if (!simulation.processes.at(caller.gateway).alive) {
            caller.exchange = 0;
            return;
        }
        caller.incarnation = simulation.processes.at(caller.gateway).incarnation;
        caller.exchange = simulation.chat(
            caller.gateway, caller.program, caller.turn, caller.tag + std::to_string(caller.turn), true, caller.key);
    }

    void step(program_caller& caller)
    {
        if (caller.turn > turnCount) {
            return;
        }
        if (caller.exchange == 0) {
            send(caller);
            return;
        }
        const auto& r = simulation.results.at(caller.exchange);
        const bool gatewayLost = !simulation.processes.at(caller.gateway).alive
            || simulation.processes.at(caller.gateway).incarnation != caller.incarnation;
        if (r.done) {
            caller.answers.push_back(r.streamed);
            ++caller.turn;
            caller.exchange = 0;
        } else if (r.replies > 0 || gatewayLost) {
            caller.exchange = 0;
        } else if (faultsEnabled && simulation.random() % 400 == 0) {
            simulation.disconnectCaller(caller.gateway, caller.exchange);
            caller.exchange = 0;
        }
    }

    void injectFault()
    {
        static const std::vector<std::string> names { "g1", "g2", "s1", "s2", "s3" };
        const auto& name = names[simulation.random() % names.size()];
        switch (simulation.random() % 8) {
        case 0:
            if (simulation.processes.at(name).alive) {
                simulation.kill(name);
            }
            return;
        case 1:
        case 2:
        case 3:
            simulation.cutLink(simulation.random() % 2 == 0 ? "g1" : "g2",
                "s" + std::to_string(1 + simulation.random() % 3),
                milliseconds(static_cast<std::int64_t>(simulation.random() % 500)));
            return;
        default:
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

    void run()
    {
        constexpr unsigned faultySteps = 1'200;
        constexpr unsigned quietSteps = 8'000;
        for (unsigned i = 0; i < faultySteps; ++i) {
            simulation.advance(milliseconds(5));
            for (auto& caller : callers) {
                step(caller);
            }
            if (simulation.random() % 25 == 0) {
                injectFault();
            }
            if (simulation.random() % 60 == 0) {
                restartAll();
            }
        }
        restartAll();
        simulation.faults = {};
        faultsEnabled = false;
        for (unsigned i = 0; i < quietSteps; ++i) {
            simulation.advance(milliseconds(5));
            for (auto& caller : callers) {
                step(caller);
            }
        }
    }

    call_path_simulation simulation;
    std::vector<program_caller> callers;
    bool faultsEnabled = true; ///< callers disconnect at random
};

/// @return whether all user messages of the prompt belong to one program, with their turns complete and in order.
bool isHistoryOfOneProgram(const std::string& prompt)
{
    const auto messages = *parseJson(prompt, "test");
    std::string tag;
    unsigned turn = 0;
    for (const auto& message : messages) {
        if (message["role"].asString() != "user") {
            continue;
        }
        const auto text = message["content"].asString();
        const auto slash = text.find('/');
        if (turn == 0) {
            tag = text.substr(0, slash);
        }
        if (text.substr(0, slash) != tag || text.substr(slash + 1) != std::to_string(++turn)) {
            return false;
        }
    }
    return messages.size() == 2 * turn - 1;
}

} // namespace

TEST_CASE("histories stay complete, ordered and separate, and callers get the committed answers, under random faults")
{
    constexpr std::uint64_t seedCount = 12;
    std::size_t prompts = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        history_run run(seed);
        run.run();
        CAPTURE(seed);
        for (const auto& caller : run.callers) {
            CAPTURE(caller.program, caller.turn);
            CHECK(caller.turn == turnCount + 1);
            const auto& program = run.simulation.shard.programs.at(caller.program);
            REQUIRE(program.turns.size() == turnCount);
            for (unsigned i = 0; i < turnCount && i < caller.answers.size(); ++i) {
                CHECK(program.turns[i].delta.find(caller.tag + std::to_string(i + 1)) != std::string::npos);
                CHECK(program.turns[i].answer.find(caller.answers[i]) != std::string::npos);
                CHECK(caller.answers[i].size() == 39);
            }
            CHECK(store::isWithinBudget(program));
            CHECK(program.underWay.turn == 0);
        }
        CHECK(std::all_of(run.simulation.prompts.begin(), run.simulation.prompts.end(), isHistoryOfOneProgram));
        CHECK_FALSE(run.simulation.hasPendingState("g1"));
        CHECK_FALSE(run.simulation.hasPendingState("g2"));
        prompts += run.simulation.prompts.size();
    }
    std::cout << "histories, seeds 1 to " << seedCount << ": " << prompts << " attempts at engines for "
              << seedCount * 6 * turnCount << " turns\n";
}
