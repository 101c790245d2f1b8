#pragma once

#include "workload.hpp"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

/// The stand-in engine's model: continuous batching with chunked prefill, and a prefix cache with limited memory that
/// evicts the least recently used idle program.
namespace cuminledge::bench {

struct engine_sequence {
    std::string attempt;
    std::string program;
    double prefillLeft = 0;
    double decodeLeft = 0;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t answerTokens = 0;
};

struct cached_program {
    std::int64_t tokens = 0;
    time_point lastUse {};
};

/// A change of what is cached, as the engine will publish it.
struct cache_change {
    std::uint64_t sequence = 0;
    time_point at {};
    std::string program;
    std::int64_t tokens = 0;
};

struct engine_model {
    engine_parameters parameters;
    double speed = 1;
    bool alive = true;
    std::vector<engine_sequence> running;
    std::deque<engine_sequence> waiting; ///< admitted beyond the batch limit, in order of arrival
    std::unordered_map<std::string, cached_program> cache; ///< of programs without a running sequence
    std::int64_t cachedTokens = 0;
    std::vector<cache_change> changes; ///< not published yet
    std::uint64_t lastSequence = 0;
    std::uint64_t evictions = 0;
    double busySeconds = 0;
    double lastPrefillRate = 0; ///< measured over the last steps
    double lastDecodeRate = 0; ///< of one sequence
};

/// Hands a sequence to the engine. @param historyTokens of its prompt, cached there if the engine still has them.
void admit(engine_model& engine, engine_sequence sequence, std::int64_t historyTokens, time_point now);

/// Runs the engine for one step of virtual time. @return the sequences that ended.
std::vector<engine_sequence> step(engine_model& engine, duration length, time_point now);

/// Drops a program's cache.
void releaseCache(engine_model& engine, const std::string& program, time_point now);

/// Puts a copied cache in place.
void importCache(engine_model& engine, const std::string& program, std::int64_t tokens, time_point now);

/// The engine dies. @return the sequences it had.
std::vector<engine_sequence> kill(engine_model& engine);

/// @return prefill tokens of sequences that have not finished their prefill.
std::int64_t waitingPrefill(const engine_model& engine);

} // namespace cuminledge::bench
