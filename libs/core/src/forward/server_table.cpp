#include <core/forward/server_table.hpp>

#include <algorithm>

#include <core/routing/rendezvous.hpp>

namespace cuminledge::core::forward {

namespace {

    std::string keyOf(const std::string& model, const std::string& part)
    {
        return model + '/' + part;
    }

    void evictOldest(prompt_cache_estimate& cache)
    {
        const auto oldest = cache.byLastUse.begin();
        const auto found = cache.parts.find(oldest->second);
        cache.tokens -= found->second.tokens;
        cache.parts.erase(found);
        cache.byLastUse.erase(oldest);
    }

    void recordPart(prompt_cache_estimate& cache, const std::string& key, std::int64_t tokens)
    {
        auto& part = cache.parts[key];
        if (part.lastUse != 0) {
            cache.byLastUse.erase(part.lastUse);
        }
        cache.tokens += tokens - part.tokens;
        part.tokens = tokens;
        part.lastUse = cache.nextUse++;
        cache.byLastUse[part.lastUse] = key;
    }

    void updateServer(server_table& table, const wire::backend_record& record)
    {
        auto& entry = table.servers[record.backend];
        const bool isNewStart = entry.record.incarnation != record.incarnation || entry.record.address != record.address;
        if (isNewStart) {
            entry.promptCache = {};
            entry.failures = 0;
            entry.avoidUntil = {};
            entry.allowance = {};
            entry.time = {};
        }
        entry.record = record;
        entry.isGone = false;
    }

    void removeServer(server_table& table, const std::string& server)
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

    bool hasVersion(const wire::backend_record& record, const std::string* softwareVersion)
    {
        return softwareVersion == nullptr || (!softwareVersion->empty() && record.softwareVersion == *softwareVersion);
    }

    bool isLeaving(const server_table& table, const wire::backend_record& record)
    {
        return !table.leaving.empty() && table.leaving.contains({ record.backend, record.incarnation });
    }

    bool isEligible(const server_table& table, const server_entry& entry, const server_requirements& requirements, time_point now)
    {
        const auto& record = entry.record;
        const bool isExcluded = requirements.excluded != nullptr && requirements.excluded->contains(record.backend);
        return record.service == requirements.service && hasVersion(record, requirements.softwareVersion)
            && takesNewWork(table, entry) && !isLeaving(table, record) && !isExcluded && maySend(entry.allowance, now);
    }

    /// @return how many requests are expected at an engine whose load the gateways share.
    double expectedRequests(const choice_settings& settings, const server_entry& entry)
    {
        return entry.inFlight + entry.othersInFlight + settings.expectedFromOthers * entry.sentSinceReport;
    }

    bool hasRoom(const choice_settings& settings, const server_entry& entry, const server_requirements& requirements)
    {
        const auto most = requirements.slots + settings.queuedRequests;
        const bool isRead = requirements.homes == nullptr || requirements.homes->contains(entry.record.backend);
        return !requirements.needsRoom || (isRead && entry.inFlight + entry.othersInFlight < most);
    }

    /// Requests beyond those that the engine runs at once wait for one of them to end.
    double sharedLoadCostMs(const choice_settings& settings, const server_entry& entry, const server_requirements& requirements)
    {
        const double requests = expectedRequests(settings, entry);
        const double excess = std::max(requests + 1 - requirements.slots, 0.0);
        return requests * settings.engineRequestMs + excess * requirements.occupancyMs / std::max<std::uint32_t>(requirements.slots, 1);
    }

    double ownLoadCostMs(const choice_settings& settings, const server_entry& entry, const server_requirements& requirements)
    {
        double cost = entry.inFlight * (requirements.isEngine ? settings.engineRequestMs : settings.serviceRequestMs);
        if (requirements.slots != 0 && entry.inFlight >= requirements.slots) {
            cost += settings.excessRequestMs * (entry.inFlight - requirements.slots + 1);
        }
        return cost;
    }

    /// @return how many requests wait while the engine reads the prompt of this one.
    double delayedRequests(const choice_settings& settings, const server_entry& entry, const server_requirements& requirements)
    {
        if (!requirements.knowsLoad) {
            return 1;
        }
        return 1 + std::min(expectedRequests(settings, entry), static_cast<double>(requirements.slots));
    }

    first_part firstPartAt(const server_entry& entry, const server_requirements& requirements)
    {
        if (requirements.homes == nullptr) {
            return first_part::Unknown;
        }
        return requirements.homes->contains(entry.record.backend) ? first_part::Kept : first_part::Displaced;
    }

    double timeCostMs(const server_table& table, const server_entry& entry, time_point now)
    {
        const auto times = table.times.find(entry.record.service);
        if (!table.settings.learnsTimes || times == table.times.end()) {
            return 0;
        }
        const double mean = times->second.request.value;
        return std::max(expectedMs(entry.time, mean, table.timeSettings, now) - mean * table.timeSettings.usualFactor, 0.0);
    }

    /// @return the server of the object among the eligible ones; none if the request concerns no object.
    const server_entry* serverOfObject(const server_table& table, const server_requirements& requirements, time_point now)
    {
        if (requirements.affinityKey == nullptr || requirements.affinityKey->empty()) {
            return nullptr;
        }
        const server_entry* best = nullptr;
        std::uint64_t highest = 0;
        for (const auto& [id, entry] : table.servers) {
            if (!isEligible(table, entry, requirements, now)) {
                continue;
            }
            const auto score = routing::rendezvousScore(*requirements.affinityKey, id);
            if (best == nullptr || score > highest) {
                best = &entry;
                highest = score;
            }
        }
        return best;
    }

    /// Estimates how full the servers are that do not limit their requests. The other gateways are taken to have as many
    /// requests under way as this one.
    /// @return 0: idle; 1: every slot is taken; none if all servers limit their requests.
    std::optional<double> utilizationOfOthers(const server_table& table, const server_requirements& requirements, time_point now)
    {
        double slots = 0;
        double inFlight = 0;
        for (const auto& [id, entry] : table.servers) {
            if (!entry.allowance.isLimited && isEligible(table, entry, requirements, now)) {
                slots += requirements.slots != 0 ? requirements.slots : table.settings.defaultSlots;
                inFlight += entry.inFlight;
            }
        }
        return slots == 0 ? std::nullopt : std::optional(inFlight * std::max<std::uint32_t>(table.gatewayCount, 1) / slots);
    }

    /// @return the cost of a server that limits its requests: others come first while they have room.
    double limitedServerCostMs(const server_table& table, const server_requirements& requirements, time_point now)
    {
        const auto& settings = table.settings;
        const bool hasLimits = std::any_of(table.servers.begin(), table.servers.end(), [&](const auto& entry) {
            return entry.second.allowance.isLimited && entry.second.record.service == requirements.service;
        });
        if (!hasLimits) {
            return 0;
        }
        const auto utilization = utilizationOfOthers(table, requirements, now).value_or(0);
        return settings.limitedServerMs * (1 - utilization / settings.fullEnough);
    }

    double estimateCostMs(const server_table& table, const server_entry& entry, const server_requirements& requirements,
        double limitedCostMs, time_point now)
    {
        const auto& settings = table.settings;
        double cost = requirements.knowsLoad ? sharedLoadCostMs(settings, entry, requirements)
                                             : ownLoadCostMs(settings, entry, requirements);
        if (entry.allowance.isLimited) {
            const bool isStale = now - entry.allowance.observedAt >= settings.limitRefreshInterval;
            cost += isStale ? -settings.limitRefreshMs : limitedCostMs;
        }
        if (entry.record.failureDomain != table.failureDomain) {
            cost += requirements.knowsLoad ? settings.sharedOtherDomainMs : settings.otherDomainMs;
        }
        if (requirements.isEngine && requirements.parts != nullptr) {
            const auto uncached = uncachedTokens(entry.promptCache, requirements.model, *requirements.parts, firstPartAt(entry, requirements));
            cost += static_cast<double>(uncached) / settings.promptTokensPerMs * delayedRequests(settings, entry, requirements);
        }
        cost += timeCostMs(table, entry, now);
        return cost;
    }

} // namespace

void applyMembership(server_table& table, const std::vector<wire::backend_record>& records, bool isComplete)
{
    std::set<std::string> present;
    for (const auto& record : records) {
        if (record.withdrawn || !record.sidecar.empty()) {
            removeServer(table, record.backend);
        } else {
            present.insert(record.backend);
            updateServer(table, record);
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
        removeServer(table, id);
    }
}

std::optional<std::string> chooseServer(
    const server_table& table, const server_requirements& requirements, time_point now, std::mt19937_64& random)
{
    // Random jitter spreads requests over equal servers, so that not all gateways choose the same one.
    std::uniform_real_distribution<double> jitter(0, requirements.knowsLoad ? table.settings.sharedJitterMs : 1);
    const double limitedCostMs = limitedServerCostMs(table, requirements, now);
    const auto* ofObject = serverOfObject(table, requirements, now);
    const server_entry* best = nullptr;
    bool isBestAvoided = false;
    double bestCost = 0;
    for (const auto& [id, entry] : table.servers) {
        if (!isEligible(table, entry, requirements, now) || !hasRoom(table.settings, entry, requirements)) {
            continue;
        }
        const bool isAvoided = now < entry.avoidUntil;
        double cost = estimateCostMs(table, entry, requirements, limitedCostMs, now) + jitter(random);
        cost -= &entry == ofObject ? table.settings.affinityMs : 0;
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

bool takesNewWork(const server_table& table, const server_entry& entry)
{
    return !entry.isGone && !entry.record.draining && !table.evacuatedDomains.contains(entry.record.failureDomain);
}

bool hasEligibleServer(const server_table& table, const server_requirements& requirements, time_point now)
{
    return std::any_of(table.servers.begin(), table.servers.end(),
        [&](const auto& entry) { return isEligible(table, entry.second, requirements, now); });
}

void recordServerTime(server_table& table, const std::string& server, double milliseconds, double weight, time_point now)
{
    const auto found = table.servers.find(server);
    if (found == table.servers.end()) {
        return;
    }
    addSample(found->second.time, milliseconds, weight, now);
    addSample(table.times[found->second.record.service].request, milliseconds, table.timeSettings.serviceWeight, now);
}

bool recordLeaving(server_table& table, const server_start& start)
{
    constexpr std::size_t maxLeaving = 10'000;
    if (table.leaving.size() >= maxLeaving) {
        table.leaving.erase(table.leaving.begin());
    }
    return table.leaving.insert(start).second;
}

void recordRequestSent(server_table& table, const std::string& server)
{
    const auto found = table.servers.find(server);
    if (found != table.servers.end()) {
        ++found->second.inFlight;
        ++found->second.sentSinceReport;
    }
}

void recordRequestEnded(server_table& table, const std::string& server, bool hasFailed, time_point now)
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

void recordPromptRead(server_table& table, const std::string& server, const std::string& model,
    const std::vector<prompt_part>& parts, std::int64_t capacity)
{
    const auto found = table.servers.find(server);
    if (found == table.servers.end()) {
        return;
    }
    auto& cache = found->second.promptCache;
    for (const auto& part : parts) {
        recordPart(cache, keyOf(model, part.id), part.tokens);
    }
    const auto limit = capacity > 0 ? capacity : table.settings.defaultCacheTokens;
    while (cache.tokens > limit && !cache.byLastUse.empty()) {
        evictOldest(cache);
    }
}

std::int64_t uncachedTokens(const prompt_cache_estimate& cache, const std::string& model,
    const std::vector<prompt_part>& parts, first_part first)
{
    const auto isKnown = [&](std::size_t index) { return index < parts.size() && cache.parts.contains(keyOf(model, parts[index].id)); };
    const bool isFirstKept = first == first_part::Kept || (first == first_part::Displaced ? isKnown(1) : isKnown(0));
    std::int64_t missing = 0;
    bool isPrefixCached = true;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto& part = parts[i];
        const auto found = cache.parts.find(keyOf(model, part.id));
        const bool isCached = i == 0 ? isFirstKept : found != cache.parts.end();
        isPrefixCached = isPrefixCached && isCached;
        if (!isPrefixCached) {
            missing += part.tokens;
        } else if (found != cache.parts.end()) {
            missing += std::max<std::int64_t>(part.tokens - found->second.tokens, 0);
        }
    }
    return missing;
}

} // namespace cuminledge::core::forward
