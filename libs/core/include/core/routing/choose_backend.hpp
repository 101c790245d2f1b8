#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <core/routing/backend_table.hpp>

/// Chooses the backend server for an attempt.
namespace cuminledge::core::routing {

struct route_request {
    std::string model; ///< model, or name of the service
    std::string cacheBackend; ///< backend server that holds the program's KV cache; empty: none
    std::int64_t historyTokens = 0; ///< tokens cached at cacheBackend, as far as known
    std::int64_t deltaTokens = 0; ///< new prompt tokens after the history
    std::int64_t expectedTokens = 0; ///< expected length of the answer
    std::vector<std::string> exclude; ///< servers that failed this attempt
    std::function<bool(const std::string& backend)> isReachable {}; ///< called for candidates only; empty: all are reachable
};

struct backend_choice {
    backend_index index = noBackend; ///< noBackend: no server can take the attempt
    std::chrono::microseconds predicted { 0 }; ///< predicted time until the answer is complete
    bool transferCache = false; ///< copying the KV cache from cacheBackend is cheaper than a new prefill
    std::int64_t prefillTokens = 0; ///< tokens that the server has to prefill
};

/**
 * Compares the server that holds the program's KV cache and two random candidates ("power of two choices", Mitzenmacher
 * 2001) by predicted completion time: queue, prefill of the uncached tokens or transfer of the KV cache, and decoding.
 * Candidates come from the gateway's own failure domain; if it has none, or all of them would queue, from its own
 * region, then from anywhere.
 *
 * @return index noBackend if the model has no server, or all are draining, unreachable or excluded. An ejected server is chosen
 *         only if there is no other.
 */
backend_choice chooseBackend(
    backend_table& table, const route_request& request, time_point now, std::mt19937_64& random);

/// @return the choice of that server with its predicted completion time, by transfer of the KV cache if this is cheaper.
backend_choice predictAt(
    const backend_table& table, const route_request& request, backend_index index, time_point now);

//------------------------------------------------------------------------------------------------------------------
// Baseline policies for differential tests and benchmarks
//------------------------------------------------------------------------------------------------------------------

/// Chooses the usable servers of the model in turn.
/// @param turn position in the rotation, kept by the caller between calls.
backend_choice chooseRoundRobin(const backend_table& table, const route_request& request, std::uint64_t& turn);

/// Chooses the server that holds the program's KV cache if it is usable, otherwise round robin.
backend_choice chooseByCacheAffinity(
    const backend_table& table, const route_request& request, std::uint64_t& turn);

/// Chooses the server with the fewest running and waiting attempts as last reported.
backend_choice chooseLeastLoaded(const backend_table& table, const route_request& request);

} // namespace cuminledge::core::routing
