#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <base/clock.hpp>

/**
 * Learns how much programs retain at each age, and tells from it what those under way will still retain.
 *
 * Programs that began within the same second form a cohort. What a cohort retained in a second of its life is learnt as
 * soon as that second has passed, so the estimate does not wait for programs to end (the chain ladder method of insurance
 * reserving). A program that ends early is no error: it counts in the averages of the seconds in which it retains nothing.
 */
namespace cuminledge::core::limits {

constexpr std::chrono::milliseconds growthStep { 1'000 };

/// Programs older than so many steps are taken to retain nothing more.
constexpr std::size_t growthSteps = 16;

/// Programs that began in the same step.
struct program_cohort {
    std::vector<std::string> programs; ///< ids
    std::size_t stepBytes = 0; ///< that they have retained in the current step
};

/// What programs retained in one step of their life. Later programs weigh more.
struct growth_average {
    double programs = 0;
    double bytes = 0;
};

struct program_growth {
    std::array<growth_average, growthSteps> averages; ///< by age in steps
    double initialBytes = 0; ///< that a program is taken to retain until programs have been seen
    bool isSizeKnown = false; ///< initialBytes is what earlier programs have retained
    std::deque<program_cohort> cohorts; ///< youngest first; the first one is that of the current step
    std::map<std::string, std::uint64_t> begunIn; ///< number of the step, by id, for all programs of the cohorts
    std::uint64_t step = 0; ///< number of the current step
    time_point stepEnd {};
};

/// Forgets all programs, and what was learnt. @param knownBytes that earlier programs have retained on average; 0: not known.
void startLearning(program_growth& growth, double knownBytes, time_point now);

/// Learns from the steps that have passed.
void advance(program_growth& growth, time_point now);

/// A program begins. The same program twice counts once.
void addProgram(program_growth& growth, const std::string& program);

/// @return whether the program began within the last steps.
bool isYoung(const program_growth& growth, const std::string& program);

/// A turn of `bytes` was retained. Programs that are not known change nothing.
void addRetained(program_growth& growth, const std::string& program, std::size_t bytes);

/// @return what one more program will retain on average.
double programBytes(const program_growth& growth);

/// @return what the programs under way will still retain.
double remainingBytes(const program_growth& growth);

} // namespace cuminledge::core::limits
