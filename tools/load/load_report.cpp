#include "load_report.hpp"

#include <algorithm>

#include <base/json.hpp>

namespace cuminledge::load {

namespace {

    double toMilliseconds(std::chrono::microseconds span)
    {
        return std::chrono::duration<double, std::milli>(span).count();
    }

    Json::Value describeLatencies(std::vector<std::chrono::microseconds>& samples)
    {
        Json::Value value(Json::objectValue);
        value["count"] = Json::UInt64(samples.size());
        if (samples.empty()) {
            return value;
        }
        std::sort(samples.begin(), samples.end());
        const auto at = [&samples](double quantile) {
            return toMilliseconds(samples[static_cast<std::size_t>(quantile * static_cast<double>(samples.size() - 1))]);
        };
        value["p50_ms"] = at(0.5);
        value["p95_ms"] = at(0.95);
        value["p99_ms"] = at(0.99);
        value["max_ms"] = toMilliseconds(samples.back());
        return value;
    }

} // namespace

std::string toJson(load_report& report)
{
    Json::Value value(Json::objectValue);
    const auto seconds = std::chrono::duration<double>(report.elapsed).count();
    value["seconds"] = seconds;
    value["calls"] = Json::UInt64(report.callLatencies.size());
    value["calls_per_second"] = seconds > 0 ? static_cast<double>(report.callLatencies.size()) / seconds : 0;
    value["programs"] = Json::UInt64(report.programs);
    value["incomplete"] = Json::UInt64(report.incomplete);
    value["call"] = describeLatencies(report.callLatencies);
    value["first_token"] = describeLatencies(report.firstTokenLatencies);
    value["program"] = describeLatencies(report.programLatencies);
    value["failures"] = Json::Value(Json::objectValue);
    for (const auto& [what, count] : report.failures) {
        value["failures"][what] = Json::UInt64(count);
    }
    return writeJson(value);
}

} // namespace cuminledge::load
