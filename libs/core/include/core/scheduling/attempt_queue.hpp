#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <base/clock.hpp>

/// Which attempt a backend server gets next. Engines know no priorities, so a sidecar queues in front of them.
namespace cuminledge::core::scheduling {

struct queued_attempt {
    std::string attempt; ///< unique
    std::string account;
    std::string program; ///< empty for a call outside of programs
    std::int64_t attainedTokens = 0; ///< service the whole program has got so far
    std::int64_t prefillTokens = 0; ///< expected, without what is cached
    std::int64_t expectedTokens = 0; ///< of the answer
    std::int32_t remainingTurns = -1; ///< below 0: unknown
    time_point arrivedAt {};
    time_point latestStart {}; ///< not started by then: refused as not run
};

struct queue_settings {
    bool fairAcrossAccounts = true;
    bool leastAttainedFirst = true;
    bool useAgeing = true;
    bool refuseEarly = true;
    std::size_t maxQueued = 1024;
    std::size_t maxQueuedPerAccount = 256;
    double completionWeight = 2; ///< cost of a generated token in prefill tokens
    double ageingTokensPerSecond = 100; ///< attained service that a second of waiting outweighs
    double initialCostPerSecond = 20'000; ///< the server's weighted service rate until it has been measured
};

/// An attempt that was handed to the backend server and has not ended.
struct running_attempt {
    std::string account;
    std::string program;
    double charged = 0; ///< to the account so far
    double got = 0; ///< weighted service, of charged
};

struct account_queue {
    double counter = 0; ///< weighted service got, the virtual token counter
    std::uint32_t running = 0;
    double queuedCost = 0;
    std::list<queued_attempt> queued; ///< in order of arrival
};

/**
 * The bounded queue in front of one backend server.
 *
 * Order: the client account with the least weighted service first (virtual token counter: Sheng et al., "Fairness in
 * Serving Large Language Models", OSDI 2024), an account that returns being lifted to the least counter of those that
 * are active; within the account the program with the least attained service (Autellix: Luo et al., 2025), less an
 * allowance for waiting, so that nothing starves.
 */
struct attempt_queue {
    queue_settings settings;
    std::unordered_map<std::string, account_queue> accounts;
    std::set<std::pair<double, std::string>> order; ///< accounts with queued attempts, by counter
    std::unordered_map<std::string, std::string> accountOf; ///< of each queued attempt
    std::unordered_map<std::string, running_attempt> running;
    std::unordered_map<std::string, std::int64_t> attained; ///< of programs with an attempt here
    std::size_t queuedCount = 0;
    double queuedCost = 0;
    double lastCounter = 0; ///< of the account served last, the lift where nobody is active
    double costPerSecond = 0; ///< measured service rate; 0: not yet
    double windowCost = 0;
    time_point windowStart {};
    std::uint64_t pushed = 0;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    std::uint64_t displaced = 0;
    std::uint64_t expired = 0;
};

enum class push_refusal : std::uint8_t {
    None,
    AccountFull,
    QueueFull,
    DeadlineCannotBeMet,
    Duplicate
};

struct push_outcome {
    push_refusal refusal = push_refusal::None; ///< None: queued
    std::chrono::milliseconds retryAfter { 0 }; ///< where refused
    std::optional<queued_attempt> displaced; ///< of the account with the longest queue, to be refused as not run
};

/// Queues an attempt, or refuses it at once where its latest start can't be met. O(log accounts).
push_outcome push(attempt_queue& queue, queued_attempt attempt, time_point now);

/**
 * Takes the attempts to hand to the backend server now, and charges their accounts.
 *
 * @param slots how many may start; see admissionSlots().
 */
std::vector<queued_attempt> next(attempt_queue& queue, time_point now, std::size_t slots);

/// @return how many attempts may start on an engine so that its batch limit is never exceeded: an engine at the limit
///         queues by itself, in an order nobody chose.
std::size_t admissionSlots(std::uint32_t batchLimit, std::uint32_t runningThere);

/// Takes out a queued attempt. @return whether it was there.
bool remove(attempt_queue& queue, const std::string& attempt);

/// Corrects the charge of a running attempt by what it has got. @param prefillTokens, completionTokens totals so far.
void onServiceReceived(attempt_queue& queue, const std::string& attempt, std::int64_t prefillTokens,
    std::int64_t completionTokens, time_point now);

/// The attempt has ended, well or not; what it was charged beyond what it got is given back.
void onAttemptEnded(attempt_queue& queue, const std::string& attempt);

/// Takes out every attempt whose latest start has passed; all of them are to be refused as not run.
std::vector<queued_attempt> expire(attempt_queue& queue, time_point now);

/// @return how long an attempt of the account would wait if it were pushed now.
std::chrono::milliseconds predictedWait(const attempt_queue& queue, const std::string& account);

//------------------------------------------------------------------------------------------------------------------
// Naive version, for differential tests and benches
//------------------------------------------------------------------------------------------------------------------

/// First come, first served, without bounds.
struct fcfs_queue {
    std::list<queued_attempt> queued;
};

void push(fcfs_queue& queue, queued_attempt attempt);
std::vector<queued_attempt> next(fcfs_queue& queue, std::size_t slots);

} // namespace cuminledge::core::scheduling
