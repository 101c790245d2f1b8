#include <standin_engine/engine_model.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace cuminledge::standin {

namespace {

    void addEvent(engine_model& model, cache_change change, const std::string& program, std::int64_t tokens, time_point now)
    {
        model.events.push_back({ ++model.lastEvent, change, program, tokens, now });
        if (model.events.size() > model.settings.maxCacheEvents) {
            model.events.pop_front();
        }
    }

    void dropEntry(engine_model& model, std::map<std::string, cache_entry>::iterator entry, cache_change change, time_point now)
    {
        const auto tokens = tokensOf(entry->second.boundaries);
        model.cachedTokens -= tokens;
        addEvent(model, change, entry->first, tokens, now);
        model.cache.erase(entry);
    }

    /// Evicts least recently used entries until so many tokens fit. @return whether they do.
    bool makeRoom(engine_model& model, std::int64_t tokens, time_point now)
    {
        while (model.cachedTokens + model.runningTokens + tokens > model.settings.cacheTokens) {
            const auto oldest = std::min_element(model.cache.begin(), model.cache.end(),
                [](const auto& a, const auto& b) { return a.second.lastUsed < b.second.lastUsed; });
            if (oldest == model.cache.end()) {
                return false;
            }
            dropEntry(model, oldest, cache_change::Evicted, now);
        }
        return true;
    }

    void store(engine_model& model, const std::string& program, std::vector<boundary> boundaries, time_point now)
    {
        const auto tokens = tokensOf(boundaries);
        const auto old = model.cache.find(program);
        if (old != model.cache.end()) {
            if (tokensOf(old->second.boundaries) > tokens) {
                return;
            }
            model.cachedTokens -= tokensOf(old->second.boundaries);
            model.cache.erase(old);
        }
        if (tokens == 0 || !makeRoom(model, tokens, now)) {
            return;
        }
        model.cachedTokens += tokens;
        model.cache[program] = { std::move(boundaries), now };
        addEvent(model, cache_change::Stored, program, tokens, now);
    }

    /// @return how many tokens of the prompt the cached sequence has.
    std::int64_t commonTokens(const std::vector<boundary>& prompt, const std::vector<boundary>& cached)
    {
        std::int64_t tokens = 0;
        for (std::size_t i = 0; i < prompt.size() && i < cached.size() && prompt[i].hash == cached[i].hash; ++i) {
            tokens = prompt[i].tokens;
        }
        return tokens;
    }

    std::int64_t memoryOf(const sequence& s)
    {
        return tokensOf(s.prompt) + s.targetTokens;
    }

    /// Moves a sequence from the queue into the batch, with what the cache has of it. @return whether there was room.
    bool admit(engine_model& model, sequence& s, time_point now)
    {
        const auto entry = model.cache.find(s.program);
        if (entry != model.cache.end()) {
            s.cachedTokens = commonTokens(s.prompt, entry->second.boundaries);
            entry->second.lastUsed = now;
            model.cachedTokens -= tokensOf(entry->second.boundaries);
            auto boundaries = std::move(entry->second.boundaries);
            model.cache.erase(entry);
            if (!makeRoom(model, memoryOf(s), now)) {
                model.cachedTokens += tokensOf(boundaries);
                model.cache[s.program] = { std::move(boundaries), now };
                return false;
            }
        } else if (!makeRoom(model, memoryOf(s), now)) {
            return false;
        }
        model.runningTokens += memoryOf(s);
        s.prefillLeft = tokensOf(s.prompt) - s.cachedTokens;
        model.running.push_back(s.id);
        return true;
    }

    void admitWaiting(engine_model& model, time_point now, std::vector<step_output>& outputs)
    {
        while (!model.waiting.empty() && model.running.size() < model.settings.batchLimit) {
            auto& next = model.sequences.at(model.waiting.front());
            if (!admit(model, next, now)) {
                return;
            }
            model.waiting.pop_front();
            outputs.push_back({ next.id, true, 0, false });
        }
    }

    void startStep(engine_model& model, time_point now, std::vector<step_output>& outputs)
    {
        admitWaiting(model, now, outputs);
        std::int64_t prefill = 0;
        model.stepDecodes.clear();
        for (const auto id : model.running) {
            auto& s = model.sequences.at(id);
            if (s.hangs || s.generated >= s.targetTokens) {
                continue;
            }
            if (s.prefillLeft > 0) {
                const auto tokens = std::min(s.prefillLeft, model.settings.prefillChunk - prefill);
                s.prefillLeft -= tokens;
                prefill += tokens;
            }
            if (s.prefillLeft == 0) {
                model.stepDecodes.push_back(id);
            }
        }
        if (model.stepDecodes.empty() && prefill == 0) {
            model.stepEnd.reset();
            return;
        }
        const std::chrono::duration<double> prefillTime(static_cast<double>(prefill) / model.settings.prefillTokensPerSecond);
        const auto decodeTime = model.settings.decodeStep + model.settings.decodeStepPerSequence * model.stepDecodes.size();
        model.stepEnd = now + std::chrono::duration_cast<duration>((prefillTime + decodeTime) * model.settings.slowFactor);
    }

    void endStep(engine_model& model, std::vector<step_output>& outputs)
    {
        for (const auto id : model.stepDecodes) {
            const auto found = model.sequences.find(id);
            if (found == model.sequences.end()) {
                continue; // cancelled during the step
            }
            auto& s = found->second;
            ++s.generated;
            outputs.push_back({ id, false, s.generated, s.generated >= s.targetTokens });
        }
        model.stepDecodes.clear();
    }

    void leaveBatch(engine_model& model, const sequence& s)
    {
        const auto place = std::find(model.running.begin(), model.running.end(), s.id);
        if (place != model.running.end()) {
            model.running.erase(place);
            model.runningTokens -= memoryOf(s);
        }
        const auto queued = std::find(model.waiting.begin(), model.waiting.end(), s.id);
        if (queued != model.waiting.end()) {
            model.waiting.erase(queued);
        }
    }

} // namespace

std::int64_t tokensOf(const std::vector<boundary>& boundaries)
{
    return boundaries.empty() ? 0 : boundaries.back().tokens;
}

bool submit(engine_model& model, sequence added)
{
    if (model.waiting.size() >= model.settings.maxWaiting || memoryOf(added) > model.settings.cacheTokens) {
        return false;
    }
    model.waiting.push_back(added.id);
    model.sequences.emplace(added.id, std::move(added));
    return true;
}

void cancel(engine_model& model, std::uint64_t id, time_point now)
{
    auto node = model.sequences.extract(id);
    if (node.empty()) {
        return;
    }
    auto& s = node.mapped();
    const bool wasRunning = std::find(model.running.begin(), model.running.end(), id) != model.running.end();
    leaveBatch(model, s);
    if (!wasRunning || s.program.empty() || s.releaseAtEnd) {
        return;
    }
    const auto processed = tokensOf(s.prompt) - s.prefillLeft;
    while (!s.prompt.empty() && s.prompt.back().tokens > processed) {
        s.prompt.pop_back();
    }
    store(model, s.program, std::move(s.prompt), now);
}

void advance(engine_model& model, time_point now, std::vector<step_output>& outputs)
{
    if (!model.stepEnd) {
        startStep(model, now, outputs);
    }
    // The owner must see each finished sequence before the next step, so one step is carried out at a time.
    if (model.stepEnd && *model.stepEnd <= now) {
        const auto ended = *model.stepEnd;
        endStep(model, outputs);
        startStep(model, ended, outputs);
    }
}

void finish(engine_model& model, std::uint64_t id, boundary answer, time_point now)
{
    auto node = model.sequences.extract(id);
    if (node.empty()) {
        return;
    }
    auto& s = node.mapped();
    leaveBatch(model, s);
    if (!s.program.empty() && !s.releaseAtEnd) {
        s.prompt.push_back(answer);
        store(model, s.program, std::move(s.prompt), now);
    }
}

std::int64_t releaseProgram(engine_model& model, const std::string& program, time_point now)
{
    for (auto& [id, s] : model.sequences) {
        if (s.program == program) {
            s.releaseAtEnd = true;
        }
    }
    const auto entry = model.cache.find(program);
    if (entry == model.cache.end()) {
        return 0;
    }
    const auto tokens = tokensOf(entry->second.boundaries);
    dropEntry(model, entry, cache_change::Released, now);
    return tokens;
}

bool importProgram(
    engine_model& model, const std::string& program, std::vector<boundary> boundaries, time_point now)
{
    if (tokensOf(boundaries) > model.settings.cacheTokens - model.runningTokens) {
        return false;
    }
    store(model, program, std::move(boundaries), now);
    return true;
}

std::vector<cache_event> visibleEvents(const engine_model& model, std::uint64_t after, time_point now)
{
    std::vector<cache_event> visible;
    const auto dropEvery = model.settings.cacheEventDropEvery;
    for (const auto& event : model.events) {
        const bool dropped = dropEvery != 0 && event.number % dropEvery == 0;
        if (event.number > after && !dropped && event.at + model.settings.cacheEventLag <= now) {
            visible.push_back(event);
        }
    }
    return visible;
}

std::int64_t prefillBacklog(const engine_model& model)
{
    std::int64_t tokens = 0;
    for (const auto id : model.waiting) {
        tokens += tokensOf(model.sequences.at(id).prompt);
    }
    for (const auto id : model.running) {
        tokens += model.sequences.at(id).prefillLeft;
    }
    return tokens;
}

} // namespace cuminledge::standin
