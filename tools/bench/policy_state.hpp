#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine_model.hpp"
#include "policy_run.hpp"

/// The state of one run and the steps that its files share.
namespace cuminledge::bench::policy {

using seconds = std::chrono::duration<double>;
namespace cache = core::cache;
namespace routing = core::routing;
namespace scheduling = core::scheduling;
using std::chrono::milliseconds;

constexpr milliseconds tickLength { 20 };
constexpr milliseconds sampleInterval { 500 };
constexpr milliseconds latestStart { 20'000 };
constexpr milliseconds connectFailure { 100 };
constexpr milliseconds announceLease { 3'000 };
constexpr milliseconds domainOutage { 30'000 };
constexpr milliseconds crossDomainRoundTrip { 3 };
constexpr std::uint32_t maxRefusals = 20;
inline const std::string model = "model";

inline double toSeconds(duration d)
{
    return seconds(d).count();
}

struct live_program {
    const program_plan* plan = nullptr;
    std::string id;
    std::int64_t parent = -1;
    std::uint32_t turn = 0;
    std::uint32_t attempt = 0;
    std::int64_t history = 0;
    std::int64_t attained = 0;
    std::int32_t home = -1;
    std::size_t gateway = 0;
    time_point started {};
    std::uint32_t agentsLeft = 0;
    bool pauseOver = false;
    bool turnUnderWay = false;
    bool admitted = false; ///< the turn is within its account's rate
    std::uint32_t refusals = 0;
    std::vector<std::string> exclude;
    bool done = false;
    bool gone = false;
    time_point goneAt {};
};

struct live_attempt {
    std::size_t program = 0;
    std::uint32_t turn = 0;
    std::size_t engine = 0;
    std::size_t gateway = 0;
    std::int64_t prefillTokens = 0;
};

struct bench_sidecar {
    engine_model engine;
    scheduling::attempt_queue queue;
    cache::pin_table pins;
    std::uint64_t incarnation = 1;
    std::string name;
    std::string domain;
};

struct bench_gateway {
    routing::backend_table table;
    std::string domain;
    std::uint64_t turn = 0;
    bool alive = true;
};

struct run_state {
    const workload& w;
    const condition& c;
    const policy_variant& variant;
    std::mt19937_64 random;
    time_point start { std::chrono::hours(1) };
    time_point now { std::chrono::hours(1) };
    std::vector<program_plan> plans;
    std::vector<live_program> programs;
    std::unordered_map<std::string, std::size_t> byId;
    std::unordered_map<std::string, live_attempt> attempts;
    std::vector<bench_sidecar> sidecars;
    std::vector<bench_gateway> gateways;
    std::vector<core::limits::token_bucket> buckets; ///< by account
    std::multimap<time_point, std::function<void()>> timers;
    run_figures figures;
    double historyTokens = 0;
    double savedTokens = 0;
    std::uint64_t sent = 0;
    std::uint64_t crossed = 0;
};

void after(run_state& run, duration delay, std::function<void()> what);

void markGone(run_state& run, live_program& program);

/// What a sidecar does every second: due releases, and a question about programs idle for long.
void tendCache(run_state& run, std::size_t engine);

void publishCacheEvents(run_state& run, std::size_t engine);

void pump(run_state& run, std::size_t engine);

void onRefused(run_state& run, const std::string& attempt, milliseconds retryAfter);

void failConnect(run_state& run, const std::string& attempt);

void startTurn(run_state& run, std::size_t index);

std::size_t addProgram(run_state& run, const program_plan& plan, std::int64_t parent);

void onFinished(run_state& run, std::size_t engine, const engine_sequence& sequence);

void sendReports(run_state& run);

void announce(run_state& run, const bench_sidecar& sidecar, bool withdrawn);

void loseDomain(run_state& run);

void sample(run_state& run);

/// Programs that have not ended count with the time they have taken so far: dropping them would flatter a policy
/// that leaves many.
void collect(run_state& run, const std::vector<double>& ends);

} // namespace cuminledge::bench::policy
