#include <core/limits/program_growth.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cuminledge::core::limits {

namespace {

    /// That a program is taken to retain if nothing is known.
    constexpr double unknownProgramBytes = 32.0 * 1024;
    /// The averages follow about so many programs.
    constexpr double learntPrograms = 500;
    /// An age that so many programs have passed is known from them as well as from what is taken if nothing is known.
    constexpr double priorPrograms = 5;
    /// A known size holds while programs are not seen to exceed it by more than this factor.
    constexpr double knownSizeTolerance = 1.25;
    /// Steps before an age that its average is assumed to be like; more than one, as turns come at intervals.
    constexpr std::size_t similarSteps = 2;

    using step_bytes = std::array<double, growthSteps>;

    /// @return the number of ages that programs have passed.
    std::size_t seenSteps(const program_growth& growth)
    {
        const auto unseen = std::find_if(growth.averages.begin(), growth.averages.end(),
            [](const growth_average& average) { return average.programs == 0; });
        return static_cast<std::size_t>(unseen - growth.averages.begin());
    }

    double meanOfStepsBefore(const step_bytes& bytes, std::size_t age)
    {
        const auto count = std::min(age, similarSteps);
        const auto* end = bytes.data() + age;
        return std::accumulate(end - count, end, 0.0) / static_cast<double>(count);
    }

    /// @return what a program retains in a step of its life that no program has passed yet.
    /// @param before of the steps before it.
    double assumedBytes(const program_growth& growth, const step_bytes& before, std::size_t age, std::size_t seen)
    {
        const double seenBytes = std::accumulate(before.begin(), before.begin() + static_cast<std::ptrdiff_t>(seen), 0.0);
        const bool isPlausible = growth.isSizeKnown && seenBytes <= knownSizeTolerance * growth.initialBytes;
        if (seen == 0 || isPlausible) {
            return std::max(0.0, growth.initialBytes - seenBytes) / static_cast<double>(growthSteps - seen);
        }
        // Nobody knows how long the programs last: they are taken to go on for as long again.
        return age < 2 * seen ? meanOfStepsBefore(before, age) : 0;
    }

    double averageBytes(const growth_average& seen, double assumed)
    {
        return (seen.bytes + priorPrograms * assumed) / (seen.programs + priorPrograms);
    }

    /// @return what a program retains in each step of its life.
    step_bytes expectedSteps(const program_growth& growth)
    {
        const auto seen = seenSteps(growth);
        step_bytes expected {};
        for (std::size_t age = 0; age < growthSteps; ++age) {
            expected.at(age) = age < seen ? averageBytes(growth.averages.at(age), growth.initialBytes / growthSteps)
                                          : assumedBytes(growth, expected, age, seen);
        }
        return expected;
    }

    void learn(growth_average& average, const program_cohort& cohort)
    {
        const auto programs = static_cast<double>(cohort.programs.size());
        const double kept = std::pow(1 - 1 / learntPrograms, programs);
        average.programs = average.programs * kept + programs;
        average.bytes = average.bytes * kept + static_cast<double>(cohort.stepBytes);
    }

    void dropOldest(program_growth& growth)
    {
        for (const auto& program : growth.cohorts.back().programs) {
            growth.begunIn.erase(program);
        }
        growth.cohorts.pop_back();
    }

    void endStep(program_growth& growth)
    {
        for (std::size_t age = 0; age < growth.cohorts.size(); ++age) {
            auto& cohort = growth.cohorts.at(age);
            learn(growth.averages.at(age), cohort);
            cohort.stepBytes = 0;
        }
        growth.cohorts.emplace_front();
        if (growth.cohorts.size() > growthSteps) {
            dropOldest(growth);
        }
        ++growth.step;
        growth.stepEnd += growthStep;
    }

} // namespace

void startLearning(program_growth& growth, double knownBytes, time_point now)
{
    growth = {};
    growth.isSizeKnown = knownBytes > 0;
    growth.initialBytes = growth.isSizeKnown ? knownBytes : unknownProgramBytes;
    growth.cohorts.emplace_front();
    growth.stepEnd = now + growthStep;
}

void advance(program_growth& growth, time_point now)
{
    while (growth.stepEnd <= now) {
        endStep(growth);
        if (growth.begunIn.empty()) {
            growth.stepEnd = std::max(growth.stepEnd, now + growthStep); // nothing can be learnt from a time without programs
        }
    }
}

void addProgram(program_growth& growth, const std::string& program)
{
    if (growth.begunIn.try_emplace(program, growth.step).second) {
        growth.cohorts.front().programs.push_back(program);
    }
}

bool isYoung(const program_growth& growth, const std::string& program)
{
    return growth.begunIn.contains(program);
}

void addRetained(program_growth& growth, const std::string& program, std::size_t bytes)
{
    const auto found = growth.begunIn.find(program);
    if (found != growth.begunIn.end()) {
        growth.cohorts.at(growth.step - found->second).stepBytes += bytes;
    }
}

double programBytes(const program_growth& growth)
{
    const auto expected = expectedSteps(growth);
    return std::max(1.0, std::accumulate(expected.begin(), expected.end(), 0.0));
}

double remainingBytes(const program_growth& growth)
{
    const auto expected = expectedSteps(growth);
    double later = 0; // in the steps behind the age
    double remaining = 0;
    for (std::size_t age = growthSteps; age-- > 0;) {
        if (age < growth.cohorts.size()) {
            const auto& cohort = growth.cohorts.at(age);
            const auto programs = static_cast<double>(cohort.programs.size());
            const double step = programs * expected.at(age) - static_cast<double>(cohort.stepBytes);
            remaining += programs * later + std::max(0.0, step);
        }
        later += expected.at(age);
    }
    return remaining;
}

} // namespace cuminledge::core::limits
