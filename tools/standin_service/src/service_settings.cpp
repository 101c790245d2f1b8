#include <standin_service/service_settings.hpp>

#include <base/json.hpp>

namespace cuminledge::standin {

result<service_settings> readServiceSettings(std::string_view json)
{
    using std::chrono::milliseconds;
    constexpr milliseconds hour { 3'600'000 };
    const auto document = parseJson(json, "read_settings");
    if (!document) {
        return tl::unexpected<error>(document.error());
    }
    std::vector<json_fault> faults;
    json_object_reader reader(*document, "$", faults);
    service_settings settings;
    settings.listenAddress = reader.string("listen_address", 1, 64, settings.listenAddress);
    settings.name = reader.string("name", 1, 64, settings.name);
    settings.delay = reader.milliseconds("delay_ms", milliseconds(0), hour, settings.delay);
    settings.lateAnswer = reader.milliseconds("late_answer_ms", milliseconds(0), hour, settings.lateAnswer);
    settings.executionsFile = reader.string("executions_file", 0, 4096, "");
    reader.finish();
    if (!faults.empty()) {
        return failure(error_code::InvalidArgument, describe(faults), "read_settings");
    }
    return settings;
}

} // namespace cuminledge::standin
