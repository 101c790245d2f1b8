#include <core/forward/server_table.hpp>

#include <algorithm>

namespace cuminledge::core::forward {

namespace {

    std::string keyOf(const std::string& model, const std::string& part)
    {
        return model + '/' + part;
    }

    void forgetOldest(part_memory& memory)
    {
        const auto oldest = memory.byUse.begin();
        const auto found = memory.parts.find(oldest->second);
        memory.tokens -= found->second.tokens;
        memory.parts.erase(found);
        memory.byUse.erase(oldest);
    }

    void remember(part_memory& memory, const std::string& key, std::int64_t tokens)
    {
        auto& part = memory.parts[key];
        if (part.lastUse != 0) {
            memory.byUse.erase(part.lastUse);
        }
        memory.tokens += tokens - part.tokens;
        part.tokens = tokens;
        part.lastUse = memory.nextUse++;
        memory.byUse[part.lastUse] = key;
    }

    void put(server_table& table, const wire::backend_record& record)
    {
        auto& entry = table.servers[record.backend];
        const bool isNewStart = entry.record.incarnation != record.incarnation || entry.record.address != record.address;
        if (isNewStart) {
            entry.parts = {};
            entry.failures = 0;
            entry.avoidUntil = {};
        }
        entry.record = record;
        entry.isGone = false;
    }

    void remove(server_table& table, const std::string& server)
    {
        const auto found = table.servers.find(server);
        if (found == table.servers.end()) {
            return;
        }
        found->second.isGone = true;
        if (found->second.inFlight == 0) {
            table.servers.erase(found);
        }
    }

    bool maySend(const server_entry& entry, const server_wish& wish)
    {
        const auto& record = entry.record;
        const bool isExcluded = wish.excluded != nullptr && wish.excluded->contains(record.backend);
        return record.service == wish.service && !entry.isGone && !record.draining && !isExcluded;
    }

    double expectedMs(const server_table& table, const server_entry& entry, const server_wish& wish)
    {
        const auto& settings = table.settings;
        double cost = entry.inFlight * (wish.isEngine ? settings.engineRequestMs : settings.serviceRequestMs);
        if (wish.slots != 0 && entry.inFlight >= wish.slots) {
            cost += settings.fullMs * (entry.inFlight - wish.slots + 1);
        }
        if (entry.record.failureDomain != table.failureDomain) {
            cost += settings.otherDomainMs;
        }
        if (wish.isEngine && wish.parts != nullptr) {
            cost += static_cast<double>(missingTokens(entry.parts, wish.model, *wish.parts)) / settings.promptTokensPerMs;
        }
        return cost;
    }

} // namespace

void applyMembership(server_table& table, const std::vector<wire::backend_record>& records, bool isComplete)
{
    std::set<std::string> present;
    for (const auto& record : records) {
        if (record.withdrawn || !record.sidecar.empty()) {
            remove(table, record.backend);
        } else {
            present.insert(record.backend);
            put(table, record);
        }
    }
    if (!isComplete) {
        return;
    }
    std::vector<std::string> gone;
    for (const auto& [id, entry] : table.servers) {
        if (!present.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        remove(table, id);
    }
}

std::optional<std::string> chooseServer(
    const server_table& table, const server_wish& wish, time_point now, std::mt19937_64& random)
{
    // Equal servers share the work by chance, so that gateways do not all take the same one.
    std::uniform_real_distribution<double> jitter(0, 1);
    const server_entry* best = nullptr;
    bool isBestAvoided = false;
    double bestCost = 0;
    for (const auto& [id, entry] : table.servers) {
        if (!maySend(entry, wish)) {
            continue;
        }
        const bool isAvoided = now < entry.avoidUntil;
        const double cost = expectedMs(table, entry, wish) + jitter(random);
        const bool isBetter = best == nullptr || (isBestAvoided && !isAvoided)
            || (isBestAvoided == isAvoided && cost < bestCost);
        if (isBetter) {
            best = &entry;
            isBestAvoided = isAvoided;
            bestCost = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return best->record.backend;
}

void noteSent(server_table& table, const std::string& server)
{
    const auto found = table.servers.find(server);
    if (found != table.servers.end()) {
        ++found->second.inFlight;
    }
}

void noteEnded(server_table& table, const std::string& server, bool hasFailed, time_point now)
{
    const auto found = table.servers.find(server);
    if (found == table.servers.end()) {
        return;
    }
    auto& entry = found->second;
    entry.inFlight -= entry.inFlight > 0 ? 1 : 0;
    if (entry.isGone && entry.inFlight == 0) {
        table.servers.erase(found);
        return;
    }
    if (!hasFailed) {
        entry.failures = 0;
        return;
    }
    constexpr std::uint32_t maxDoublings = 8;
    const auto pause = table.settings.avoidTime * (1 << std::min(entry.failures, maxDoublings));
    entry.avoidUntil = now + std::min<std::chrono::milliseconds>(pause, table.settings.maxAvoidTime);
    ++entry.failures;
}

void noteRead(server_table& table, const std::string& server, const std::string& model,
    const std::vector<prompt_part>& parts, std::int64_t capacity)
{
    const auto found = table.servers.find(server);
    if (found == table.servers.end()) {
        return;
    }
    auto& memory = found->second.parts;
    for (const auto& part : parts) {
        remember(memory, keyOf(model, part.id), part.tokens);
    }
    const auto limit = capacity > 0 ? capacity : table.settings.defaultCacheTokens;
    while (memory.tokens > limit && !memory.byUse.empty()) {
        forgetOldest(memory);
    }
}

std::int64_t missingTokens(const part_memory& memory, const std::string& model, const std::vector<prompt_part>& parts)
{
    std::int64_t missing = 0;
    bool isHeld = true;
    for (const auto& part : parts) {
        const auto found = isHeld ? memory.parts.find(keyOf(model, part.id)) : memory.parts.end();
        if (found == memory.parts.end()) {
            isHeld = false;
            missing += part.tokens;
        } else {
            missing += std::max<std::int64_t>(part.tokens - found->second.tokens, 0);
        }
    }
    return missing;
}

} // namespace cuminledge::core::forward
