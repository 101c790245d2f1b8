#include "engine_model.hpp"

#include <algorithm>

namespace cuminledge::bench {

namespace {

    using seconds = std::chrono::duration<double>;

    void noteChange(engine_model& engine, const std::string& program, std::int64_t tokens, time_point now)
    {
        engine.changes.push_back({ ++engine.lastSequence, now, program, tokens });
    }

    std::int64_t runningTokens(const engine_model& engine)
    {
        std::int64_t total = 0;
        for (const auto& sequence : engine.running) {
            total += sequence.promptTokens + sequence.answerTokens;
        }
        return total;
    }

    void evictUntilFits(engine_model& engine, time_point now)
    {
        const auto limit = engine.parameters.cacheTokens - runningTokens(engine);
        while (engine.cachedTokens > limit && !engine.cache.empty()) {
            const auto oldest = std::min_element(engine.cache.begin(), engine.cache.end(),
                [](const auto& left, const auto& right) { return left.second.lastUse < right.second.lastUse; });
            const auto program = oldest->first;
            ++engine.evictions;
            releaseCache(engine, program, now);
        }
    }

    void startWaiting(engine_model& engine, time_point now)
    {
        bool started = false;
        while (engine.running.size() < engine.parameters.batchLimit && !engine.waiting.empty()) {
            auto sequence = std::move(engine.waiting.front());
            engine.waiting.pop_front();
            const auto found = engine.cache.find(sequence.program);
            if (found != engine.cache.end()) {
                sequence.cachedTokens = std::min(found->second.tokens, sequence.cachedTokens);
                engine.cachedTokens -= found->second.tokens;
                engine.cache.erase(found);
            } else {
                sequence.cachedTokens = 0;
            }
            sequence.prefillLeft = static_cast<double>(sequence.promptTokens - sequence.cachedTokens);
            sequence.decodeLeft = static_cast<double>(sequence.answerTokens);
            engine.running.push_back(std::move(sequence));
            started = true;
        }
        if (started) {
            evictUntilFits(engine, now);
        }
    }

    /// Prefill is chunked: it takes at most this share of a step while sequences decode beside it.
    constexpr double prefillShare = 0.7;

    double prefill(engine_model& engine, double budget)
    {
        const double rate = engine.parameters.prefillTokensPerSecond * engine.speed;
        double tokens = budget * rate;
        for (auto& sequence : engine.running) {
            const double part = std::min(tokens, sequence.prefillLeft);
            sequence.prefillLeft -= part;
            tokens -= part;
        }
        return budget - tokens / rate;
    }

    void decode(engine_model& engine, double budget, duration length)
    {
        std::size_t batch = 0;
        for (const auto& sequence : engine.running) {
            batch += sequence.prefillLeft <= 0 ? 1 : 0;
        }
        if (batch == 0) {
            return;
        }
        const auto& p = engine.parameters;
        const double stepSeconds
            = (p.stepMilliseconds + p.stepMillisecondsPerSequence * static_cast<double>(batch)) / 1000 / engine.speed;
        const double tokens = budget / stepSeconds;
        for (auto& sequence : engine.running) {
            if (sequence.prefillLeft <= 0) {
                sequence.decodeLeft -= tokens;
            }
        }
        constexpr double newShare = 0.05;
        const double rate = tokens / seconds(length).count();
        engine.lastDecodeRate
            = engine.lastDecodeRate > 0 ? (1 - newShare) * engine.lastDecodeRate + newShare * rate : rate;
    }

    std::vector<engine_sequence> takeFinished(engine_model& engine, time_point now)
    {
        std::vector<engine_sequence> finished;
        for (auto& sequence : engine.running) {
            if (sequence.prefillLeft <= 0 && sequence.decodeLeft <= 0) {
                finished.push_back(sequence);
            }
        }
        std::erase_if(engine.running,
            [](const engine_sequence& s) { return s.prefillLeft <= 0 && s.decodeLeft <= 0; });
        for (const auto& sequence : finished) {
            importCache(engine, sequence.program, sequence.promptTokens + sequence.answerTokens, now);
        }
        return finished;
    }

} // namespace

void admit(engine_model& engine, engine_sequence sequence, std::int64_t historyTokens, time_point now)
{
    sequence.cachedTokens = historyTokens; // what it may find; looked up when it starts
    engine.waiting.push_back(std::move(sequence));
    startWaiting(engine, now);
}

std::vector<engine_sequence> step(engine_model& engine, duration length, time_point now)
{
    if (!engine.alive) {
        return {};
    }
    startWaiting(engine, now);
    if (engine.running.empty()) {
        return {};
    }
    const double budget = seconds(length).count();
    engine.busySeconds += budget;
    const bool anyDecodes = std::any_of(engine.running.begin(), engine.running.end(),
        [](const engine_sequence& sequence) { return sequence.prefillLeft <= 0; });
    const double used = prefill(engine, budget * (anyDecodes ? prefillShare : 1));
    engine.lastPrefillRate = engine.parameters.prefillTokensPerSecond * engine.speed;
    decode(engine, budget - used, length);
    return takeFinished(engine, now);
}

void releaseCache(engine_model& engine, const std::string& program, time_point now)
{
    const auto found = engine.cache.find(program);
    if (found == engine.cache.end()) {
        return;
    }
    engine.cachedTokens -= found->second.tokens;
    engine.cache.erase(found);
    noteChange(engine, program, 0, now);
}

void importCache(engine_model& engine, const std::string& program, std::int64_t tokens, time_point now)
{
    auto& entry = engine.cache[program];
    engine.cachedTokens += tokens - entry.tokens;
    entry = { tokens, now };
    noteChange(engine, program, tokens, now);
    evictUntilFits(engine, now);
}

std::vector<engine_sequence> kill(engine_model& engine)
{
    auto lost = engine.running;
    lost.insert(lost.end(), engine.waiting.begin(), engine.waiting.end());
    engine.running.clear();
    engine.waiting.clear();
    engine.cache.clear();
    engine.cachedTokens = 0;
    engine.changes.clear();
    engine.lastSequence = 0;
    engine.alive = false;
    return lost;
}

std::int64_t waitingPrefill(const engine_model& engine)
{
    double total = 0;
    for (const auto& sequence : engine.running) {
        total += sequence.prefillLeft;
    }
    for (const auto& sequence : engine.waiting) {
        total += static_cast<double>(sequence.promptTokens - sequence.cachedTokens);
    }
    return static_cast<std::int64_t>(total);
}

} // namespace cuminledge::bench
