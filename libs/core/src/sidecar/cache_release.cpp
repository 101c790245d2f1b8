#include "cache_release.hpp"

#include <algorithm>

#include <json/value.h>

#include <core/group.hpp>

namespace cuminledge::core::sidecar {

namespace {

    constexpr std::chrono::milliseconds cacheCheckInterval { 1'000 };
    constexpr std::chrono::milliseconds listingInterval { 10'000 };
    constexpr std::chrono::milliseconds askAfterIdle { 5'000 };
    constexpr std::chrono::milliseconds orderTimeout { 5'000 };
    constexpr std::size_t askAtOnce = 256;
    constexpr std::size_t maxListingBytes = 4U << 20U;
    constexpr std::uint32_t statusOk = 200;

    bool isEngine(const context& c)
    {
        return c.state.settings.kind == wire::backend_kind::Engine;
    }

    void orderRelease(context& c, const std::string& program)
    {
        start_upstream order;
        order.request = releasePrefix + program;
        order.address = c.state.settings.backendAddress;
        order.method = "DELETE";
        order.target = "/cache/" + program;
        order.silenceTimeout = orderTimeout;
        if (c.state.announcement.fencingNumber != 0) {
            order.headers.emplace_back("Cuminledge-Fencing", std::to_string(c.state.announcement.fencingNumber));
        }
        c.out.emplace_back(std::move(order));
    }

    void orderReleases(context& c, const std::vector<std::string>& programs)
    {
        for (const auto& program : programs) {
            orderRelease(c, program);
        }
    }

    /// One read for each group, as each answers only for its own programs.
    void askWhetherEnded(context& c, const std::vector<std::string>& programs)
    {
        std::map<std::uint32_t, std::vector<std::string>> byGroup;
        for (const auto& program : programs) {
            byGroup[groupOfProgram(program, c.state.announcement.groupCount)].push_back(program);
        }
        for (auto& [group, members] : byGroup) {
            const auto request = controller_client::send(c.state.controllers, group,
                wire::query(wire::read_ended_programs { members }), "read_ended_programs", c.now, orderTimeout, c.out);
            c.state.endedReads[request] = std::move(members);
        }
    }

    std::int64_t tokensOf(const Json::Value& entry)
    {
        const auto& tokens = entry.isObject() ? entry["tokens"] : entry;
        return tokens.isIntegral() ? tokens.asInt64() : 0;
    }

    /// Reads {"sequence": N, "programs": {ID: TOKENS, …}}, or a list of {"program": ID, "tokens": N}.
    cache::cache_listing readListing(const std::string& body)
    {
        cache::cache_listing listing;
        const auto parsed = parseJson(body, "list_cache");
        if (!parsed || !parsed->isObject()) {
            return listing;
        }
        if ((*parsed)["sequence"].isUInt64()) {
            listing.sequence = (*parsed)["sequence"].asUInt64();
        }
        const auto& programs = (*parsed)["programs"];
        if (programs.isObject()) {
            for (const auto& id : programs.getMemberNames()) {
                listing.programs.emplace_back(id, tokensOf(programs[id]));
            }
        } else if (programs.isArray()) {
            for (const auto& each : programs) {
                if (each.isObject() && each["program"].isString()) {
                    listing.programs.emplace_back(each["program"].asString(), tokensOf(each));
                }
            }
        }
        return listing;
    }

} // namespace

void noteCacheAfter(context& c, const attempt_entry& entry)
{
    if (!isEngine(c)) {
        return;
    }
    const auto& start = entry.start;
    const auto& name = start.program.empty() ? start.attempt : start.program;
    const auto held = entry.done.promptTokens > 0 ? entry.done.promptTokens + entry.done.completionTokens
                                                  : start.historyTokens + start.deltaTokens + entry.completionTokens;
    cache::onTurnEnded(c.state.pins, name, held, c.now);
    const bool over = start.program.empty() || c.state.endedKnown.contains(start.program);
    if (over) {
        c.state.endedKnown.erase(start.program);
        orderReleases(c, cache::releaseProgram(c.state.pins, name, c.now));
    }
}

void onProgramEnded(context& c, const std::string& program)
{
    forgetProgramOfAnyAccount(c.state.histories, program);
    const bool underWay = std::any_of(c.state.attempts.begin(), c.state.attempts.end(), [&](const auto& each) {
        return each.second.start.program == program && each.second.phase != attempt_phase::Finished;
    });
    if (underWay) {
        c.state.endedKnown.insert(program);
        return;
    }
    orderReleases(c, cache::releaseProgram(c.state.pins, program, c.now));
}

void listCache(context& c)
{
    if (!isEngine(c) || c.state.listingCache) {
        return;
    }
    c.state.listingCache = true;
    c.state.listingBody.clear();
    start_upstream listing;
    listing.request = listingRequest;
    listing.address = c.state.settings.backendAddress;
    listing.method = "GET";
    listing.target = "/cache";
    listing.silenceTimeout = orderTimeout;
    c.out.emplace_back(std::move(listing));
}

void onListingData(context& c, const std::string& data)
{
    if (c.state.listingBody.size() + data.size() <= maxListingBytes) {
        c.state.listingBody += data;
    }
}

void onListingFinished(context& c)
{
    c.state.listingCache = false;
    if (c.state.listingStatus != statusOk) {
        return;
    }
    const auto unknown = cache::onListing(c.state.pins, readListing(c.state.listingBody), c.now);
    if (!unknown.empty()) {
        askWhetherEnded(c, unknown);
    }
}

void onListingFailed(context& c)
{
    c.state.listingCache = false;
}

void onReleaseFinished(context& c, const std::string& program)
{
    cache::onReleased(c.state.pins, program);
}

void onEndedRead(context& c, std::uint64_t request, const result<wire::command_result>& outcome)
{
    const auto found = c.state.endedReads.find(request);
    if (found == c.state.endedReads.end()) {
        return;
    }
    const auto asked = std::move(found->second);
    c.state.endedReads.erase(found);
    const auto* ended = outcome ? std::get_if<wire::program_list>(&*outcome) : nullptr;
    if (ended == nullptr) {
        return; // asked again with the next check
    }
    std::vector<std::string> living;
    for (const auto& program : asked) {
        const bool over = std::find(ended->programs.begin(), ended->programs.end(), program) != ended->programs.end();
        if (!over) {
            living.push_back(program);
        }
    }
    cache::onOpenPrograms(c.state.pins, living, c.now);
    orderReleases(c, cache::onEndedPrograms(c.state.pins, ended->programs, c.now));
}

void sweepCache(context& c)
{
    if (!isEngine(c) || c.now < c.state.nextCacheCheckAt || !c.state.health.up) {
        return;
    }
    c.state.nextCacheCheckAt = c.now + cacheCheckInterval;
    orderReleases(c, cache::dueReleases(c.state.pins, c.now));
    // A release and a cancellation may overtake each other on their ways, so what is held is listed now and then.
    const bool due = c.state.pins.resyncNeeded || c.now >= c.state.nextListingAt;
    if (due && c.state.health.incarnation != 0) {
        c.state.nextListingAt = c.now + listingInterval;
        listCache(c);
    }
    if (c.state.endedReads.empty()) {
        const auto idle = cache::programsToCheck(c.state.pins, c.now, askAfterIdle, askAtOnce);
        if (!idle.empty()) {
            askWhetherEnded(c, idle);
        }
    }
}

} // namespace cuminledge::core::sidecar
