#include "attempt_statistics.hpp"

namespace cuminledge::standin {

namespace {

    Json::Value toJson(const attempt_statistics::counts& counts)
    {
        Json::Value value(Json::objectValue);
        value["received"] = Json::UInt64(counts.received);
        value["started"] = Json::UInt64(counts.started);
        value["finished"] = Json::UInt64(counts.finished);
        value["cancelled"] = Json::UInt64(counts.cancelled);
        return value;
    }

} // namespace

void attempt_statistics::add(const std::string& attempt, std::uint64_t counts::*field)
{
    ++(total.*field);
    if (attempt.empty()) {
        return;
    }
    const auto [entry, added] = byAttempt.try_emplace(attempt);
    ++(entry->second.*field);
    if (!added) {
        return;
    }
    order.push_back(attempt);
    if (order.size() > maxAttempts) {
        byAttempt.erase(order.front());
        order.pop_front();
        ++forgotten;
    }
}

Json::Value attempt_statistics::totals() const
{
    auto value = toJson(total);
    value["forgotten"] = Json::UInt64(forgotten);
    return value;
}

Json::Value attempt_statistics::list() const
{
    Json::Value value(Json::objectValue);
    for (const auto& [attempt, each] : byAttempt) {
        value[attempt] = toJson(each);
    }
    return value;
}

} // namespace cuminledge::standin
