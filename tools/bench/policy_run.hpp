#pragma once

#include "workload.hpp"

#include <core/cache/pin_table.hpp>
#include <core/limits/rate_limit.hpp>
#include <core/routing/choose_backend.hpp>
#include <core/scheduling/attempt_queue.hpp>

/// One run of a workload under one set of decisions, on a virtual clock.
namespace cuminledge::bench {

enum class router_kind : std::uint8_t {
    Scored,
    RoundRobin,
    CacheAffinity,
    LeastLoaded
};

/// The decisions of one run.
struct policy_variant {
    std::string name;
    router_kind router = router_kind::Scored;
    bool useQueue = true; ///< the sidecar's queue; otherwise the engine's own, first come first served
    bool useLimits = true; ///< rate and burst of each account, as a bucket with no delay
    bool usePins = true; ///< otherwise only the engine evicts
    std::uint32_t headroom = 0;
    core::scheduling::queue_settings queue;
    core::routing::routing_settings routing;
    core::cache::pin_settings pins;
};

struct run_figures {
    std::vector<double> latencies; ///< seconds, of programs that ended, tool pauses included
    std::vector<double> accountSlowdowns; ///< mean, by account
    double worstSlowdown = 0; ///< of the accounts that do not flood
    double worstSlowdownP95 = 0;
    double jain = 0;
    double goneTokenSeconds = 0; ///< cache held for programs that are gone
    double goneAfter5s = 0; ///< most tokens held for a program gone for more than 5 s
    double idleTokenSeconds = 0; ///< cache held for programs in a pause
    double prefillSavedShare = 0; ///< of the history tokens of all prompts
    double crossDomainShare = 0; ///< attempts that left the gateway's failure domain
    std::uint64_t programs = 0;
    std::uint64_t unfinished = 0;
    std::uint64_t refusedAttempts = 0;
    std::uint64_t failedPrograms = 0; ///< given up after too many refusals
    std::uint64_t rateRefusals = 0; ///< calls over the rate and burst of their account
    std::uint64_t othersRateRefused = 0; ///< the same, of accounts that do not flood
    double longestWait = 0; ///< seconds that an attempt waited in a sidecar's queue
    std::uint64_t failedAttempts = 0; ///< met a dead engine
    std::uint64_t invariantBreaks = 0; ///< order of turns, lost or doubled attempts, queue bounds
    double utilisation = 0;
};

run_figures runPolicy(
    const workload& w, const condition& c, const policy_variant& variant, std::uint64_t seed);

/// Ours, the three baselines, and ours with each mechanism off.
std::vector<policy_variant> policyVariants();

} // namespace cuminledge::bench
