#include <core/forward/turn_cache.hpp>

#include <algorithm>
#include <utility>

#include <core/store/shard_state.hpp>

namespace cuminledge::core::forward {

namespace {

    constexpr std::size_t entryOverheadBytes = 256;

    std::string keyOf(const std::string& account, const std::string& turn)
    {
        return account + '\n' + turn;
    }

    std::size_t sizeOf(const cached_turn& entry)
    {
        return entry.link.text.size() + entryOverheadBytes;
    }

    void touch(turn_cache& cache, const std::string& key, cached_turn& entry)
    {
        cache.byLastUse.erase(entry.lastUse);
        entry.lastUse = cache.nextUse++;
        cache.byLastUse[entry.lastUse] = key;
    }

    void evictOverLimit(turn_cache& cache)
    {
        while (cache.bytes > cache.maxBytes && !cache.byLastUse.empty()) {
            const auto oldest = cache.byLastUse.begin();
            const auto found = cache.turns.find(oldest->second);
            cache.bytes -= sizeOf(found->second);
            cache.turns.erase(found);
            cache.byLastUse.erase(oldest);
        }
    }

} // namespace

void put(turn_cache& cache, const std::string& account, wire::chain_link link)
{
    const auto key = keyOf(account, link.turn);
    const auto [entry, isNew] = cache.turns.try_emplace(key);
    if (isNew) {
        entry->second.link = std::move(link);
        cache.bytes += sizeOf(entry->second);
    }
    touch(cache, key, entry->second);
    evictOverLimit(cache);
}

time_point keptUntil(const turn_cache& cache, const std::string& account, const std::string& turn)
{
    const auto found = cache.turns.find(keyOf(account, turn));
    return found == cache.turns.end() ? time_point {} : found->second.keptUntil;
}

void extendKept(turn_cache& cache, const std::string& account, const std::string& turn, time_point until)
{
    const auto found = cache.turns.find(keyOf(account, turn));
    if (found != cache.turns.end()) {
        found->second.keptUntil = std::max(found->second.keptUntil, until);
    }
}

chain_text assembleChain(turn_cache& cache, const std::string& account, const std::string& turn)
{
    chain_text chain;
    std::vector<const std::string*> texts;
    auto next = turn;
    while (!next.empty() && texts.size() < store::maxChainTurns) {
        const auto key = keyOf(account, next);
        const auto found = cache.turns.find(key);
        if (found == cache.turns.end()) {
            chain.missingTurn = next;
            return chain;
        }
        touch(cache, key, found->second);
        texts.push_back(&found->second.link.text);
        next = found->second.link.previous;
    }
    chain.isComplete = true;
    for (auto text = texts.rbegin(); text != texts.rend(); ++text) {
        chain.text += **text;
    }
    return chain;
}

bool holdsChain(const turn_cache& cache, const std::string& account, const std::string& turn)
{
    auto next = turn;
    for (std::size_t followed = 0; !next.empty() && followed < store::maxChainTurns; ++followed) {
        const auto found = cache.turns.find(keyOf(account, next));
        if (found == cache.turns.end()) {
            return false;
        }
        next = found->second.link.previous;
    }
    return next.empty();
}

} // namespace cuminledge::core::forward
