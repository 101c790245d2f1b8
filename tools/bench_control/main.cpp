#include <cstdio>
#include <filesystem>
#include <map>
#include <stdexcept>
#include <string>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "naive_map.hpp"
#include "replica_process.hpp"

/// Measures the replicated log with real files: commits against a naive map, and catching up. One JSON object a line.
namespace {

using namespace cuminledge;
using namespace cuminledge::bench;
using core::consensus::consensus_settings;

constexpr std::size_t payloadBytes = 256;
constexpr std::chrono::seconds patience { 30 };

struct figure {
    std::string metric;
    std::string unit;
    double value = 0;
    double baseline = 0; ///< 0: there is none
    double maxRatio = 0; ///< target; 0: there is none
    double maxValue = 0; ///< target; 0: there is none
};

void print(const figure& f)
{
    const bool hasBaseline = f.baseline > 0;
    const double ratio = hasBaseline ? f.value / f.baseline : 0;
    const std::string baseline = hasBaseline ? fmt::format("{:.4f}", f.baseline) : "null";
    const std::string ratioText = hasBaseline ? fmt::format("{:.4f}", ratio) : "null";
    std::string target = "null";
    std::string met = "null";
    if (f.maxRatio > 0) {
        target = fmt::format("\"ratio at most {:.1f}\"", f.maxRatio);
        met = ratio <= f.maxRatio ? "true" : "false";
    }
    if (f.maxValue > 0) {
        target = fmt::format("\"value under {:.0f}\"", f.maxValue);
        met = f.value < f.maxValue ? "true" : "false";
    }
    fmt::print("{{\"scenario\":\"control\",\"metric\":\"{}\",\"unit\":\"{}\",\"value\":{:.4f},\"baseline\":{},"
               "\"ratio\":{},\"target\":{},\"met\":{}}}\n",
        f.metric, f.unit, f.value, baseline, ratioText, target, met);
    std::fflush(stdout);
}

/// Steps the group until the condition holds.
template <typename Condition>
void waitFor(replica_group& group, const Condition& isReached, const std::string& what)
{
    const auto start = steady_clock::now();
    while (!isReached()) {
        if (steady_clock::now() - start > patience) {
            throw std::runtime_error("timed out: " + what);
        }
        group.step();
    }
}

void waitForLeader(replica_group& group)
{
    waitFor(
        group, [&group] { return group.leader() < group.size(); }, "election");
}

/// @param inFlight proposals that wait at any time.
commit_figures runCommits(replica_group& group, std::chrono::milliseconds span, std::size_t inFlight)
{
    commit_figures figures;
    std::map<std::uint64_t, steady_clock::time_point> waiting;
    group.onCommit = [&](std::uint64_t index) {
        const auto found = waiting.find(index);
        if (found == waiting.end()) {
            return;
        }
        ++figures.commits;
        figures.latencies.emplace_back(steady_clock::now() - found->second);
        waiting.erase(found);
    };
    const std::string payload(payloadBytes, 'x');
    const auto start = steady_clock::now();
    while (steady_clock::now() - start < span) {
        while (waiting.size() < inFlight) {
            const auto sentAt = steady_clock::now();
            const std::uint64_t index = group.propose(payload);
            if (index == 0) {
                break;
            }
            waiting.emplace(index, sentAt);
        }
        group.step();
    }
    figures.elapsed = steady_clock::now() - start;
    group.onCommit = nullptr;
    return figures;
}

void measureCommits(const std::string& folder, std::chrono::milliseconds span)
{
    for (const std::size_t size : { 1, 3, 5 }) {
        for (const std::size_t inFlight : { 1, 64 }) {
            // The baseline runs next to each figure, since other load on the machine changes both.
            auto naive = runNaiveMap(fmt::format("{}/naive-{}-{}", folder, size, inFlight), span, payloadBytes);
            replica_group group(fmt::format("{}/commits-{}-{}", folder, size, inFlight), size, {});
            waitForLeader(group);
            auto figures = runCommits(group, span, inFlight);
            const std::string suffix = fmt::format("replicas_{}_in_flight_{}", size, inFlight);
            print({ "commits_per_second_" + suffix, "1/s", figures.perSecond(), naive.perSecond() });
            print({ "commit_p50_" + suffix, "ms", figures.latencyMs(0.5), naive.latencyMs(0.5) });
            print({ "commit_p99_" + suffix, "ms", figures.latencyMs(0.99), naive.latencyMs(0.99) });
        }
    }
}

/// Commits that many changes, 64 at a time. @return the index of the last one.
std::uint64_t commitMany(replica_group& group, std::uint64_t count)
{
    constexpr std::uint64_t batch = 64;
    const std::size_t leader = group.leader();
    std::uint64_t last = 0;
    for (std::uint64_t i = 1; i <= count; ++i) {
        last = group.propose(std::string(payloadBytes, 'x'));
        if (last == 0) {
            throw std::runtime_error("the leader changed");
        }
        if (i % batch == 0 || i == count) {
            waitFor(
                group, [&] { return group.at(leader).applied >= last; }, "commit");
        }
    }
    return last;
}

/// @return the median, over some rounds, of how long a follower takes to hold what it has missed. One round alone says
///         little: the heartbeat that finds the follower back comes at any time within its interval.
double catchUpMs(const std::string& folder, std::uint64_t missed)
{
    constexpr int rounds = 9;
    consensus_settings settings;
    settings.snapshotAfterEntries = 500;
    settings.retainedEntries = 100;
    replica_group group(folder, 3, settings);
    group.snapshotState = std::string(payloadBytes * 1000, 's');
    commit_figures figures;
    for (int i = 0; i < rounds; ++i) {
        waitForLeader(group);
        auto& follower = group.at((group.leader() + 1) % 3);
        follower.isAway = true;
        const std::uint64_t last = commitMany(group, missed);
        follower.isAway = false;
        const auto start = steady_clock::now();
        waitFor(
            group, [&] { return follower.applied >= last; }, "catching up");
        figures.latencies.emplace_back(steady_clock::now() - start);
    }
    return figures.latencyMs(0.5);
}

void measureCatchUp(const std::string& folder)
{
    constexpr double maxGrowth = 2;
    const double pastSnapshot = catchUpMs(folder + "/catch-up-1000", 1000);
    print({ "catch_up_p50_missed_10", "ms", catchUpMs(folder + "/catch-up-10", 10), pastSnapshot });
    print({ "catch_up_p50_missed_100", "ms", catchUpMs(folder + "/catch-up-100", 100), pastSnapshot });
    print({ "catch_up_p50_missed_1000", "ms", pastSnapshot });
    print({ "catch_up_p50_missed_10000", "ms", catchUpMs(folder + "/catch-up-10000", 10000), pastSnapshot, maxGrowth });
}

/// Takes the leader away again and again. @return from then until another one serves reads, each time.
commit_figures runFailovers(replica_group& group, int count)
{
    commit_figures figures;
    for (int i = 0; i < count; ++i) {
        waitForLeader(group);
        const std::size_t lost = group.leader();
        const auto start = steady_clock::now();
        group.at(lost).isAway = true;
        waitForLeader(group);
        figures.latencies.emplace_back(steady_clock::now() - start);
        group.at(lost).isAway = false;
        const auto settleUntil = steady_clock::now() + std::chrono::milliseconds(500);
        waitFor(
            group, [settleUntil] { return steady_clock::now() >= settleUntil; }, "settling");
    }
    return figures;
}

void measureFailover(const std::string& folder)
{
    constexpr int count = 20;
    constexpr double maxMs = 2000;
    replica_group group(folder + "/failover", 3, {});
    auto figures = runFailovers(group, count);
    print({ "failover_p50", "ms", figures.latencyMs(0.5) });
    print({ "failover_worst_of_20", "ms", figures.latencyMs(1), 0, 0, maxMs });
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("bench_control", "Measures the replicated log with real files.");
    options.add_options()("folder", "where the files go; must not exist", cxxopts::value<std::string>())(
        "seconds", "length of each run of commits", cxxopts::value<int>()->default_value("3"))("help", "this text");
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0 || given.count("folder") == 0) {
            fmt::print("{}\n", options.help());
            return given.count("help") != 0 ? 0 : 2;
        }
        const auto folder = given["folder"].as<std::string>();
        if (!std::filesystem::create_directories(folder)) {
            fmt::print(stderr, "{}: exists already\n", folder);
            return 2;
        }
        measureCommits(folder, std::chrono::seconds(given["seconds"].as<int>()));
        measureFailover(folder);
        measureCatchUp(folder);
        return 0;
    } catch (const std::exception& e) {
        fmt::print(stderr, "bench_control: {}\n", e.what());
        return 1;
    }
}
