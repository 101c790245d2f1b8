#include <core/cache/pin_table.hpp>

#include <algorithm>
#include <set>

namespace cuminledge::core::cache {

namespace {

    std::chrono::milliseconds leaseOf(const pin_table& table)
    {
        return table.settings.keepOverPauses ? table.settings.maxPause : std::chrono::milliseconds { 0 };
    }

    void setTokens(pin_table& table, cache_pin& pin, std::int64_t tokens)
    {
        table.heldTokens += tokens - pin.tokens;
        pin.tokens = tokens;
    }

    void drop(pin_table& table, std::unordered_map<std::string, cache_pin>::iterator position)
    {
        table.heldTokens -= position->second.tokens;
        table.pins.erase(position);
    }

    void orderRelease(pin_table& table, cache_pin& pin, time_point now)
    {
        pin.releasing = true;
        pin.releaseOrderedAt = now;
        ++table.releasesOrdered;
    }

    bool isIdle(const cache_pin& pin)
    {
        return !pin.turnUnderWay && !pin.releasing && pin.tokens > 0;
    }

    /// Gives up pins until enough memory is free, longest idle first.
    void releaseUnderPressure(pin_table& table, time_point now, std::vector<std::string>& due)
    {
        const auto limit
            = static_cast<std::int64_t>(static_cast<double>(table.capacityTokens) * (1 - table.settings.freeShare));
        std::int64_t excess = table.heldTokens - limit;
        for (const auto& [program, pin] : table.pins) {
            excess -= pin.releasing ? pin.tokens : 0;
        }
        if (excess <= 0 || table.capacityTokens == 0) {
            return;
        }
        std::vector<std::pair<time_point, std::string>> idle;
        for (const auto& [program, pin] : table.pins) {
            if (isIdle(pin)) {
                idle.emplace_back(pin.idleSince, program);
            }
        }
        std::sort(idle.begin(), idle.end());
        for (const auto& [since, program] : idle) {
            if (excess <= 0) {
                break;
            }
            auto& pin = table.pins.at(program);
            excess -= pin.tokens;
            orderRelease(table, pin, now);
            ++table.pressureReleases;
            due.push_back(program);
        }
    }

} // namespace

pin_table makePinTable(std::int64_t capacityTokens, const pin_settings& settings)
{
    pin_table table;
    table.settings = settings;
    table.capacityTokens = capacityTokens;
    return table;
}

void onTurnStarted(pin_table& table, const std::string& program, const std::string& account, time_point now)
{
    if (program.empty()) {
        return;
    }
    auto& pin = table.pins[program];
    pin.account = account;
    pin.turnUnderWay = true;
    pin.pinnedUntil = now + leaseOf(table);
    pin.suspectedEnded = false;
    pin.releasing = false;
}

void onTurnEnded(pin_table& table, const std::string& program, std::int64_t cachedTokens, time_point now)
{
    const auto found = table.pins.find(program);
    if (found == table.pins.end()) {
        return;
    }
    auto& pin = found->second;
    setTokens(table, pin, cachedTokens);
    pin.turnUnderWay = false;
    pin.idleSince = now;
    pin.pinnedUntil = now + leaseOf(table);
}

std::vector<std::string> releaseProgram(pin_table& table, const std::string& program, time_point now)
{
    const auto found = table.pins.find(program);
    if (found == table.pins.end()) {
        return {};
    }
    if (found->second.tokens == 0 && !found->second.turnUnderWay && !table.resyncNeeded) {
        drop(table, found);
        return {};
    }
    orderRelease(table, found->second, now);
    return { program };
}

std::vector<std::string> dueReleases(pin_table& table, time_point now)
{
    std::vector<std::string> due;
    for (auto& [program, pin] : table.pins) {
        if (pin.releasing && pin.releaseOrderedAt + table.settings.reorderAfter <= now) {
            pin.releaseOrderedAt = now;
            ++table.releasesRepeated;
            due.push_back(program);
        } else if (isIdle(pin) && !pin.suspectedEnded && pin.pinnedUntil <= now) {
            orderRelease(table, pin, now);
            ++table.expiredPins;
            due.push_back(program);
        }
    }
    releaseUnderPressure(table, now, due);
    return due;
}

void onReleased(pin_table& table, const std::string& program)
{
    const auto found = table.pins.find(program);
    if (found == table.pins.end()) {
        return;
    }
    if (found->second.turnUnderWay) {
        setTokens(table, found->second, 0);
        return;
    }
    drop(table, found);
}

std::int64_t cachedTokens(const pin_table& table, const std::string& program)
{
    const auto found = table.pins.find(program);
    return found == table.pins.end() || found->second.releasing ? 0 : found->second.tokens;
}

//------------------------------------------------------------------------------------------------------------------
// Events and listings of the engine
//------------------------------------------------------------------------------------------------------------------

void onCacheEvent(pin_table& table, const cache_event& event)
{
    const bool isOld = event.sequence < table.nextSequence;
    if (isOld) {
        return;
    }
    const bool isGap = table.nextSequence != 0 && event.sequence != table.nextSequence;
    table.nextSequence = event.sequence + 1;
    if (isGap) {
        ++table.gaps;
        table.resyncNeeded = true;
    }
    if (table.resyncNeeded) {
        return;
    }
    const auto found = table.pins.find(event.program);
    if (found == table.pins.end()) {
        if (event.tokens > 0) {
            // Cache of a program this sidecar has not heard of: an attempt of an earlier incarnation.
            table.resyncNeeded = true;
        }
        return;
    }
    if (event.tokens == 0 && !found->second.turnUnderWay) {
        drop(table, found);
        return;
    }
    setTokens(table, found->second, event.tokens);
}

std::vector<std::string> onListing(pin_table& table, const cache_listing& listing, time_point now)
{
    std::set<std::string> listed;
    std::vector<std::string> unknown;
    for (const auto& [program, tokens] : listing.programs) {
        listed.insert(program);
        auto [position, isNew] = table.pins.try_emplace(program);
        auto& pin = position->second;
        setTokens(table, pin, tokens);
        if (isNew) {
            pin.suspectedEnded = true;
            pin.idleSince = now;
        }
        if (pin.suspectedEnded) {
            unknown.push_back(program);
        }
    }
    for (auto position = table.pins.begin(); position != table.pins.end();) {
        auto& pin = position->second;
        if (listed.count(position->first) > 0) {
            ++position;
        } else if (pin.turnUnderWay) {
            setTokens(table, pin, 0);
            ++position;
        } else {
            table.heldTokens -= pin.tokens;
            position = table.pins.erase(position);
        }
    }
    // Events that were sent before the listing may still come; those after it follow on its sequence.
    table.resyncNeeded = table.nextSequence > listing.sequence + 1;
    table.nextSequence = std::max(table.nextSequence, listing.sequence + 1);
    return unknown;
}

std::vector<std::string> onEndedPrograms(
    pin_table& table, const std::vector<std::string>& programs, time_point now)
{
    std::vector<std::string> release;
    for (const auto& program : programs) {
        const auto found = table.pins.find(program);
        if (found != table.pins.end() && !found->second.releasing && !found->second.turnUnderWay) {
            orderRelease(table, found->second, now);
            release.push_back(program);
        }
    }
    return release;
}

void onOpenPrograms(pin_table& table, const std::vector<std::string>& programs, time_point now)
{
    for (const auto& program : programs) {
        const auto found = table.pins.find(program);
        if (found != table.pins.end() && found->second.suspectedEnded) {
            found->second.suspectedEnded = false;
            found->second.pinnedUntil = now + leaseOf(table);
        }
    }
}

std::vector<std::string> programsToCheck(
    pin_table& table, time_point now, std::chrono::milliseconds idleFor, std::size_t limit)
{
    std::vector<std::pair<time_point, std::string>> idle;
    for (const auto& [program, pin] : table.pins) {
        const bool longIdle = isIdle(pin) && now - pin.idleSince > idleFor;
        if (longIdle || pin.suspectedEnded) {
            idle.emplace_back(std::max(pin.idleSince, pin.askedAt), program);
        }
    }
    // Without turns, living programs with long pauses would keep the others from ever being asked about.
    std::sort(idle.begin(), idle.end());
    std::vector<std::string> programs;
    for (const auto& [since, program] : idle) {
        if (programs.size() == limit) {
            break;
        }
        table.pins.at(program).askedAt = now;
        programs.push_back(program);
    }
    return programs;
}

//------------------------------------------------------------------------------------------------------------------
// Transfer to another backend server
//------------------------------------------------------------------------------------------------------------------

bool isTransferCheaper(std::int64_t tokens, const transfer_costs& costs)
{
    const auto count = static_cast<double>(tokens);
    const std::chrono::duration<double> setup = costs.setup;
    return setup.count() + count / costs.transferTokensPerSecond < count / costs.prefillTokensPerSecond;
}

} // namespace cuminledge::core::cache
