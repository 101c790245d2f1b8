#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <core/routing/backend_table.hpp>

/// Picks the backend server for an attempt.
namespace cuminledge::core::routing {

struct route_request {
    std::string model; ///< or the service's name
    std::string cacheBackend; ///< backend server that holds the program's KV cache; empty: none
    std::int64_t historyTokens = 0; ///< cached at the home, as far as known
    std::int64_t deltaTokens = 0;
    std::int64_t expectedTokens = 0; ///< of the answer
    std::vector<std::string> exclude; ///< servers that failed this attempt
    std::function<bool(const std::string& backend)> isReachable {}; ///< asked of candidates alone; empty: all are
};

struct backend_choice {
    backend_index index = noBackend; ///< noBackend: nobody can take it
    std::chrono::microseconds predicted { 0 }; ///< until the answer is complete
    bool transferCache = false; ///< copying the KV cache from the home is cheaper than a new prefill
    std::int64_t prefillTokens = 0; ///< what the server has to prefill
};

/**
 * Weighs the home and two random candidates ("power of two choices", Mitzenmacher 2001) by predicted completion: queue,
 * prefill of what is not cached there or transfer of the KV cache, and decoding. Candidates come from the own failure
 * domain; where it has none, or all of them would queue, from the own region, then from anywhere.
 *
 * @return index noBackend where no server of the model is in use, not draining and not excluded. Ejected servers are
 *         chosen only where there is nothing else.
 */
backend_choice chooseBackend(
    backend_table& table, const route_request& request, time_point now, std::mt19937_64& random);

/// @return the predicted time until the attempt's answer is complete at that server, transfer considered.
backend_choice predictAt(
    const backend_table& table, const route_request& request, backend_index index, time_point now);

//------------------------------------------------------------------------------------------------------------------
// Naive versions, for differential tests and benches
//------------------------------------------------------------------------------------------------------------------

/// Each server of the model in turn. @param turn kept by the caller between calls.
backend_choice chooseRoundRobin(const backend_table& table, const route_request& request, std::uint64_t& turn);

/// The home wherever it lives; else round robin.
backend_choice chooseByCacheAffinity(
    const backend_table& table, const route_request& request, std::uint64_t& turn);

/// The server with the fewest running and waiting attempts as last reported.
backend_choice chooseLeastLoaded(const backend_table& table, const route_request& request);

} // namespace cuminledge::core::routing
