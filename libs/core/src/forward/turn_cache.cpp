#include <core/forward/turn_cache.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

#include <core/store/shard_state.hpp>

namespace cuminledge::core::forward {

namespace {

    constexpr std::size_t entryOverheadBytes = 256;

    /// The first `count` turns of a segment.
    struct segment_part {
        std::uint64_t segment = 0;
        std::size_t count = 0;
    };

    /// The cached end of a chain.
    struct cached_chain {
        std::vector<segment_part> parts; ///< newest first
        std::string missingTurn; ///< empty if all turns are cached
    };

    std::string keyOf(const std::string& account, const std::string& turn)
    {
        return account + '\n' + turn;
    }

    void touch(turn_cache& cache, std::uint64_t number)
    {
        auto& segment = cache.segments.at(number);
        cache.byLastUse.erase(segment.lastUse);
        segment.lastUse = cache.nextNumber++;
        cache.byLastUse[segment.lastUse] = number;
    }

    void evict(turn_cache& cache, std::uint64_t number)
    {
        const auto found = cache.segments.find(number);
        for (const auto& key : found->second.keys) {
            cache.turns.erase(key);
        }
        cache.bytes -= found->second.bytes;
        cache.byLastUse.erase(found->second.lastUse);
        cache.segments.erase(found);
    }

    void evictOverLimit(turn_cache& cache)
    {
        while (cache.bytes > cache.maxBytes && !cache.byLastUse.empty()) {
            evict(cache, cache.byLastUse.begin()->second);
        }
    }

    /// @return the segment whose last turn is `previous`; else a new one.
    std::uint64_t segmentBehind(turn_cache& cache, const std::string& account, const std::string& previous)
    {
        const auto found = cache.turns.find(keyOf(account, previous));
        if (found != cache.turns.end()) {
            const auto& segment = cache.segments.at(found->second.segment);
            if (found->second.position + 1 == segment.texts.size()) {
                return found->second.segment;
            }
        }
        const auto number = cache.nextNumber++;
        cache.segments[number].previous = previous;
        return number;
    }

    cached_chain findChain(const turn_cache& cache, const std::string& account, const std::string& turn)
    {
        cached_chain chain;
        auto next = turn;
        // A loop would have more parts than there are segments.
        while (!next.empty() && chain.parts.size() <= cache.segments.size()) {
            const auto found = cache.turns.find(keyOf(account, next));
            if (found == cache.turns.end()) {
                break;
            }
            chain.parts.push_back({ found->second.segment, found->second.position + 1 });
            next = cache.segments.at(found->second.segment).previous;
        }
        chain.missingTurn = next;
        return chain;
    }

    std::size_t textBytes(const turn_cache& cache, const segment_part& part)
    {
        const auto& texts = cache.segments.at(part.segment).texts;
        return std::accumulate(texts.begin(), texts.begin() + static_cast<std::ptrdiff_t>(part.count), std::size_t { 0 },
            [](std::size_t sum, const std::string& text) { return sum + text.size(); });
    }

} // namespace

void put(turn_cache& cache, const std::string& account, wire::chain_link link)
{
    const auto key = keyOf(account, link.turn);
    const auto existing = cache.turns.find(key);
    if (existing != cache.turns.end()) {
        touch(cache, existing->second.segment);
        return;
    }
    const auto number = segmentBehind(cache, account, link.previous);
    auto& segment = cache.segments.at(number);
    cache.turns[key] = { number, segment.texts.size(), {} };
    const auto bytes = link.text.size() + entryOverheadBytes;
    segment.keys.push_back(key);
    segment.texts.push_back(std::move(link.text));
    segment.bytes += bytes;
    cache.bytes += bytes;
    touch(cache, number);
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

chain_text assembleChain(turn_cache& cache, const std::string& account, const std::string& turn, std::size_t maxBytes)
{
    auto chain = findChain(cache, account, turn);
    chain_text result;
    result.isComplete = chain.missingTurn.empty();
    result.missingTurn = std::move(chain.missingTurn);
    std::size_t bytes = 0;
    std::size_t turns = 0;
    for (const auto& part : chain.parts) {
        touch(cache, part.segment);
        bytes += textBytes(cache, part);
        turns += part.count;
    }
    result.bytes = bytes + turns * store::turnOverheadBytes;
    if (result.bytes > maxBytes) {
        return result;
    }
    result.text.reserve(bytes);
    for (auto part = chain.parts.rbegin(); part != chain.parts.rend(); ++part) {
        const auto& texts = cache.segments.at(part->segment).texts;
        for (std::size_t i = 0; i < part->count; ++i) {
            result.text += texts[i];
        }
    }
    return result;
}

bool holdsChain(const turn_cache& cache, const std::string& account, const std::string& turn)
{
    return findChain(cache, account, turn).missingTurn.empty();
}

} // namespace cuminledge::core::forward
