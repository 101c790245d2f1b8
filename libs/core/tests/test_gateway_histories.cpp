#include "call_path_world.hpp"

#include <iostream>

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core;
using core::testing::call_path_world;
using std::chrono::milliseconds;

namespace {

constexpr unsigned turnCount = 4;

/// A caller that runs one program turn by turn, and sends a turn again until it has its whole answer.
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
        : world(seed)
    {
        for (const auto* name : { "g1", "g2" }) {
            world.addGateway(name);
        }
        for (const auto* name : { "s1", "s2", "s3" }) {
            world.addSidecar(name, wire::backend_kind::Engine);
        }
        world.advance(milliseconds(1'500));
        for (unsigned i = 0; i < 6; ++i) {
            program_caller caller;
            caller.key = i % 2 == 0 ? "ka" : "kb";
            caller.program = world.openProgram("g1", caller.key);
            caller.tag = caller.program + "/";
            callers.push_back(caller);
        }
        world.faults.doubledPercent = 10;
        world.faults.lostPercent = 5;
        world.faults.maxDelay = milliseconds(15);
    }

    void send(program_caller& caller)
    {
        caller.gateway = world.random() % 2 == 0 ? "g1" : "g2";
        if (!world.processes.at(caller.gateway).alive) {
            caller.exchange = 0;
            return;
        }
        caller.incarnation = world.processes.at(caller.gateway).incarnation;
        caller.exchange = world.chat(
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
        const auto& r = world.results.at(caller.exchange);
        const bool lost = !world.processes.at(caller.gateway).alive
            || world.processes.at(caller.gateway).incarnation != caller.incarnation;
        if (r.done) {
            caller.answers.push_back(r.streamed);
            ++caller.turn;
            caller.exchange = 0;
        } else if (r.replies > 0 || lost) {
            caller.exchange = 0;
        } else if (disturbed && world.random() % 400 == 0) {
            world.callerGone(caller.gateway, caller.exchange);
            caller.exchange = 0;
        }
    }

    void injectFault()
    {
        static const std::vector<std::string> names { "g1", "g2", "s1", "s2", "s3" };
        const auto& name = names[world.random() % names.size()];
        switch (world.random() % 8) {
        case 0:
            if (world.processes.at(name).alive) {
                world.kill(name);
            }
            return;
        case 1:
        case 2:
        case 3:
            world.cutLink(world.random() % 2 == 0 ? "g1" : "g2", "s" + std::to_string(1 + world.random() % 3),
                milliseconds(static_cast<std::int64_t>(world.random() % 500)));
            return;
        default:
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

    void run()
    {
        constexpr unsigned disturbedSteps = 1'200;
        constexpr unsigned quietSteps = 8'000;
        for (unsigned i = 0; i < disturbedSteps; ++i) {
            world.advance(milliseconds(5));
            for (auto& caller : callers) {
                step(caller);
            }
            if (world.random() % 25 == 0) {
                injectFault();
            }
            if (world.random() % 60 == 0) {
                reviveAll();
            }
        }
        reviveAll();
        world.faults = {};
        disturbed = false;
        for (unsigned i = 0; i < quietSteps; ++i) {
            world.advance(milliseconds(5));
            for (auto& caller : callers) {
                step(caller);
            }
        }
    }

    call_path_world world;
    std::vector<program_caller> callers;
    bool disturbed = true; ///< callers hang up now and then
};

/// @return whether every message of the prompt that a caller wrote belongs to the same program, with turns in order.
bool isOneProgram(const std::string& prompt)
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

TEST_CASE("histories are whole, in order and never mixed, and callers get the committed answers, whatever fails")
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
            const auto& program = run.world.shard.programs.at(caller.program);
            REQUIRE(program.turns.size() == turnCount);
            for (unsigned i = 0; i < turnCount && i < caller.answers.size(); ++i) {
                CHECK(program.turns[i].delta.find(caller.tag + std::to_string(i + 1)) != std::string::npos);
                CHECK(program.turns[i].answer.find(caller.answers[i]) != std::string::npos);
                CHECK(caller.answers[i].size() == 39);
            }
            CHECK(store::isWithinBudget(program));
            CHECK(program.underWay.turn == 0);
        }
        CHECK(std::all_of(run.world.prompts.begin(), run.world.prompts.end(), isOneProgram));
        CHECK_FALSE(run.world.isHeld("g1"));
        CHECK_FALSE(run.world.isHeld("g2"));
        prompts += run.world.prompts.size();
    }
    std::cout << "histories, seeds 1 to " << seedCount << ": " << prompts << " attempts at engines for "
              << seedCount * 6 * turnCount << " turns\n";
}
