#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <base/clock.hpp>

/// A model of a model engine with continuous batching and a prefix cache: plain structs and free functions, on a clock
/// that is passed in. It decides when tokens come, not what they say.
namespace cuminledge::standin {

struct model_settings {
    std::uint32_t batchLimit = 16;
    std::size_t maxWaiting = 1024; ///< further requests are refused
    std::int64_t cacheTokens = 400'000; ///< memory for running and cached sequences together
    double prefillTokensPerSecond = 400'000;
    std::int64_t prefillChunk = 2048; ///< tokens of prefill in one step
    std::chrono::microseconds decodeStep { 200 }; ///< of an empty batch
    std::chrono::microseconds decodeStepPerSequence { 10 }; ///< added for each sequence in the batch
    double slowFactor = 1; ///< multiplies every step
    std::chrono::milliseconds cacheEventLag { 50 }; ///< from a cache event to when it can be read
    std::uint32_t cacheEventDropEvery = 0; ///< each so many-th event is never shown; 0: none
    std::size_t maxCacheEvents = 4096; ///< kept
};

/// The state after a message of a prompt: cached prefixes are found and kept at these.
struct boundary {
    std::int64_t tokens = 0; ///< from the prompt's start
    std::uint64_t hash = 0; ///< of everything from the prompt's start
};

struct sequence {
    std::uint64_t id = 0;
    std::string program; ///< empty: nothing of it is cached
    std::vector<boundary> prompt;
    std::int64_t targetTokens = 0; ///< to generate
    bool hangs = false; ///< takes its place in the batch and never gets on

    std::int64_t cachedTokens = 0; ///< of the prompt, found in the cache
    std::int64_t prefillLeft = 0;
    std::int64_t generated = 0;
    bool releaseAtEnd = false;
};

struct cache_entry {
    std::vector<boundary> boundaries;
    time_point lastUsed;
};

enum class cache_change {
    Stored,
    Evicted,
    Released
};

struct cache_event {
    std::uint64_t number = 0;
    cache_change change = cache_change::Stored;
    std::string program;
    std::int64_t tokens = 0;
    time_point at;
};

/// What one sequence did in a step.
struct step_output {
    std::uint64_t id = 0;
    bool started = false; ///< it has its place in the batch
    std::int64_t generated = 0; ///< so far; grows by one a step once the prefill is done
    bool finished = false;
};

struct engine_model {
    model_settings settings;
    std::deque<std::uint64_t> waiting;
    std::vector<std::uint64_t> running;
    std::unordered_map<std::uint64_t, sequence> sequences;
    std::map<std::string, cache_entry> cache; ///< of programs that are not running
    std::int64_t cachedTokens = 0;
    std::int64_t runningTokens = 0;
    std::deque<cache_event> events;
    std::uint64_t lastEvent = 0;
    std::optional<time_point> stepEnd; ///< of the step under way
    std::vector<std::uint64_t> stepDecodes; ///< sequences that get a token at its end
};

/// @return the tokens of a prompt or cached sequence.
std::int64_t tokensOf(const std::vector<boundary>& boundaries);

/// Takes a sequence into the queue. @return false if the queue is full or it could never fit into the memory.
bool submit(engine_model& model, sequence added);

/// Ends a sequence early. What it has prefilled stays cached.
void cancel(engine_model& model, std::uint64_t id, time_point now);

/// Carries out all steps that end by now, and starts the next one.
void advance(engine_model& model, time_point now, std::vector<step_output>& outputs);

/// Ends a sequence whose last output was `finished`. @param answer the state after its answer, for the cache.
void finish(engine_model& model, std::uint64_t id, boundary answer, time_point now);

/// Frees what is cached for the program, now or when it stops running. @return the tokens freed now.
std::int64_t releaseProgram(engine_model& model, const std::string& program, time_point now);

/// Takes over a sequence from another engine. @return false if it does not fit.
bool importProgram(
    engine_model& model, const std::string& program, std::vector<boundary> boundaries, time_point now);

/// @return the events after that number which are old enough to be seen and are not dropped.
std::vector<cache_event> visibleEvents(const engine_model& model, std::uint64_t after, time_point now);

/// @return prefill tokens that the queue and the batch still need, cached prefixes not counted.
std::int64_t prefillBacklog(const engine_model& model);

} // namespace cuminledge::standin
