#include "engine_reports.hpp"

namespace cuminledge::standin {

namespace {

    constexpr std::size_t maxBoundaries = 4096; ///< of an imported sequence

    const char* toString(cache_change change)
    {
        switch (change) {
        case cache_change::Stored:
            return "stored";
        case cache_change::Evicted:
            return "evicted";
        case cache_change::Released:
            return "released";
        }
        return "stored";
    }

} // namespace

Json::Value cachedPrograms(const engine_model& model)
{
    Json::Value programs(Json::objectValue);
    for (const auto& [program, entry] : model.cache) {
        programs[program] = Json::Int64(tokensOf(entry.boundaries));
    }
    return programs;
}

Json::Value listCache(const engine_model& model)
{
    Json::Value body(Json::objectValue);
    body["sequence"] = Json::UInt64(model.lastEvent);
    body["programs"] = cachedPrograms(model);
    return body;
}

Json::Value listEvents(const engine_model& model, std::uint64_t after, time_point now)
{
    Json::Value body(Json::objectValue);
    body["oldest"] = Json::UInt64(model.events.empty() ? model.lastEvent + 1 : model.events.front().number);
    body["events"] = Json::arrayValue;
    for (const auto& event : visibleEvents(model, after, now)) {
        Json::Value each(Json::objectValue);
        each["sequence"] = Json::UInt64(event.number);
        each["kind"] = toString(event.change);
        each["program"] = event.program;
        each["tokens"] = Json::Int64(event.tokens);
        body["events"].append(std::move(each));
    }
    return body;
}

Json::Value reportLoad(const engine_model& model)
{
    Json::Value load(Json::objectValue);
    load["running"] = Json::UInt64(model.running.size());
    load["waiting"] = Json::UInt64(model.waiting.size());
    load["waiting_prefill_tokens"] = Json::Int64(prefillBacklog(model));
    load["cache_free_tokens"] = Json::Int64(model.settings.cacheTokens - model.runningTokens - model.cachedTokens);
    load["batch_limit"] = model.settings.batchLimit;
    return load;
}

Json::Value boundariesToJson(const std::vector<boundary>& boundaries)
{
    Json::Value list(Json::arrayValue);
    for (const auto& each : boundaries) {
        Json::Value pair(Json::arrayValue);
        pair.append(Json::Int64(each.tokens));
        pair.append(Json::UInt64(each.hash));
        list.append(std::move(pair));
    }
    return list;
}

result<std::vector<boundary>> boundariesFromJson(const Json::Value& list)
{
    std::vector<boundary> boundaries;
    const auto wrong = failure(error_code::InvalidArgument, "not an exported sequence", "import");
    if (!list.isArray() || list.empty() || list.size() > maxBoundaries) {
        return wrong;
    }
    for (const auto& pair : list) {
        if (!pair.isArray() || pair.size() != 2 || !pair[0].isInt64() || !pair[1].isUInt64()) {
            return wrong;
        }
        const boundary next { pair[0].asInt64(), pair[1].asUInt64() };
        if (next.tokens <= tokensOf(boundaries)) {
            return wrong;
        }
        boundaries.push_back(next);
    }
    return boundaries;
}

} // namespace cuminledge::standin
