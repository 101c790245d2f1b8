#include "policy_run.hpp"

#include <functional>

namespace cuminledge::bench {

std::vector<policy_variant> policyVariants()
{
    std::vector<policy_variant> variants;
    const auto add = [&variants](const std::string& name, const std::function<void(policy_variant&)>& change) {
        policy_variant variant;
        variant.name = name;
        change(variant);
        variants.push_back(std::move(variant));
    };
    const auto naive = [](policy_variant& v, router_kind router) {
        v.router = router;
        v.useQueue = false;
        v.usePins = false;
        v.useLimits = false;
        v.routing.useEjection = false;
    };
    add("ours", [](policy_variant&) {});
    add("fcfs_round_robin", [&naive](policy_variant& v) { naive(v, router_kind::RoundRobin); });
    add("fcfs_cache_affinity", [&naive](policy_variant& v) { naive(v, router_kind::CacheAffinity); });
    add("least_loaded", [&naive](policy_variant& v) { naive(v, router_kind::LeastLoaded); });
    add("without_limits", [](policy_variant& v) { v.useLimits = false; });
    add("without_fair_shares", [](policy_variant& v) { v.queue.fairAcrossAccounts = false; });
    add("without_least_attained", [](policy_variant& v) { v.queue.leastAttainedFirst = false; });
    add("without_ageing", [](policy_variant& v) { v.queue.useAgeing = false; });
    add("without_early_refusal", [](policy_variant& v) { v.queue.refuseEarly = false; });
    add("without_queue", [](policy_variant& v) { v.useQueue = false; });
    add("with_headroom_of_one", [](policy_variant& v) { v.headroom = 1; });
    add("without_home", [](policy_variant& v) { v.routing.useCacheAffinity = false; });
    add("without_own_in_flight", [](policy_variant& v) { v.routing.useOwnInFlight = false; });
    add("without_slow_start", [](policy_variant& v) { v.routing.useSlowStart = false; });
    add("without_ejection", [](policy_variant& v) { v.routing.useEjection = false; });
    add("without_transfer", [](policy_variant& v) { v.routing.useTransfer = false; });
    add("without_own_domain_first", [](policy_variant& v) { v.routing.preferOwnFailureDomain = false; });
    add("with_one_random_candidate", [](policy_variant& v) { v.routing.randomCandidates = 1; });
    add("with_all_candidates", [](policy_variant& v) { v.routing.randomCandidates = 0; });
    add("without_pins", [](policy_variant& v) { v.usePins = false; });
    add("without_cache_over_pauses", [](policy_variant& v) { v.pins.keepOverPauses = false; });
    return variants;
}

} // namespace cuminledge::bench
