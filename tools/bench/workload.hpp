#pragma once

#include <base/clock.hpp>
#include <base/error.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// Programs of a user, drawn from a workload file. Their graphs are not known to the scheduler.
namespace cuminledge::bench {

/// One condition that a workload is run under.
struct condition {
    std::string name;
    double load = 0.6; ///< of what the engines can do with every prefix cached
    double floodFactor = 1; ///< the flooding account's programs, times its usual share
    bool floodWithinRate = false; ///< the flooding account's rate allows the flood: only scheduling can help
    bool loseDomain = false;
    double slowShare = 0; ///< of the engines that run at half speed
    double eventLossShare = 0;
    std::chrono::milliseconds eventDelay { 50 };
    std::chrono::milliseconds reportInterval { 250 };
    std::chrono::milliseconds reportDelay { 50 };
};

/// How an engine behaves: the parameters of the stand-in's model.
struct engine_parameters {
    std::uint32_t batchLimit = 16;
    double prefillTokensPerSecond = 8'000;
    double stepMilliseconds = 20; ///< of a decoding step, with none in the batch
    double stepMillisecondsPerSequence = 0.75;
    std::int64_t cacheTokens = 200'000;
    double transferTokensPerSecond = 25'000;
};

struct workload {
    std::string name;
    std::string region;
    std::vector<std::string> failureDomains;
    std::uint32_t engines = 10;
    std::vector<double> accountShares; ///< of the programs; the last account floods
    std::uint32_t floodingAccount = 0;
    double meanTurns = 8;
    std::uint32_t maxTurns = 60;
    std::int64_t firstPromptTokens = 1'500;
    std::int64_t deltaTokens = 300;
    std::int64_t answerTokens = 150;
    double meanToolPauseSeconds = 2;
    double longPauseShare = 0.1;
    double meanLongPauseSeconds = 25;
    double subAgentShare = 0.1; ///< of the turns
    std::uint32_t maxSubAgents = 3;
    double abandonedShare = 0.05;
    std::chrono::seconds length { 300 }; ///< programs arrive for so long
    std::chrono::seconds warmUp { 60 }; ///< programs that arrive before do not count
    std::chrono::seconds idleTimeout { 60 };
    double rateHeadroom = 1.3; ///< an account's rate, times the calls it usually makes
    double burstSeconds = 10; ///< an account's burst, in seconds of its rate
    engine_parameters engine;
    std::vector<condition> conditions;
};

struct program_plan;

struct turn_plan {
    std::int64_t deltaTokens = 0;
    std::int64_t answerTokens = 0;
    duration pause { 0 }; ///< of the tool, after the turn
    std::vector<program_plan> subAgents; ///< run in the pause; the next turn waits for them
};

struct program_plan {
    std::uint32_t account = 0;
    duration arrival { 0 };
    bool abandoned = false; ///< its process dies after the last turn here, and nobody ends the program
    std::vector<turn_plan> turns;
};

/// Reads a workload file strictly. @return a fault list as the error's message.
result<workload> readWorkload(const std::string& path);

/// @return the programs of one run, by arrival.
std::vector<program_plan> drawPrograms(const workload& w, const condition& c, std::uint64_t seed);

/// @return calls a second that each account makes when none floods.
std::vector<double> usualCallsPerSecond(const workload& w, const condition& c);

/// @return engine seconds that the program takes with every prefix cached and a full batch.
double engineSeconds(const workload& w, const program_plan& plan);

/// @return seconds that the program takes alone on an engine, without tool pauses.
double idealSeconds(const workload& w, const program_plan& plan);

} // namespace cuminledge::bench
