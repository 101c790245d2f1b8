#include <core/forward/forwarder_settings.hpp>

namespace cuminledge::core::forward {

forwarder_settings readSettings(json_object_reader& reader)
{
    using std::chrono::milliseconds;
    constexpr milliseconds minute { 60'000 };
    forwarder_settings settings;
    const auto span = [&](const char* key, milliseconds minimum, milliseconds& value) {
        value = reader.milliseconds(key, minimum, minute, value);
    };
    settings.controllers = controller_client::readControllers(reader);
    span("config_poll_interval_ms", milliseconds(50), settings.configPollInterval);
    span("first_poll_interval_ms", milliseconds(20), settings.firstPollInterval);
    span("start_up_time_ms", milliseconds(0), settings.startUpTime);
    span("controller_timeout_ms", milliseconds(100), settings.controllerTimeout);
    span("settle_timeout_ms", milliseconds(100), settings.settleTimeout);
    span("rate_patience_ms", milliseconds(0), settings.rateWaitLimit);
    span("retry_advice_ms", milliseconds(1), settings.defaultRetryAfter);
    span("shutdown_delay_ms", milliseconds(0), settings.shutdownDelay);
    span("shutdown_limit_ms", milliseconds(100), settings.shutdownLimit);
    settings.cacheBytes = static_cast<std::size_t>(
        reader.integer("cache_bytes", 0, 1 << 30, static_cast<std::int64_t>(settings.cacheBytes)));
    settings.maxChainBytes = static_cast<std::size_t>(
        reader.integer("chain_bytes", 0, 1 << 30, static_cast<std::int64_t>(settings.maxChainBytes)));
    settings.maxAnswerBytes = static_cast<std::size_t>(
        reader.integer("answer_bytes", 1 << 20, 1 << 30, static_cast<std::int64_t>(settings.maxAnswerBytes)));
    constexpr std::int64_t maxGateways = 1'000'000;
    settings.shareLoadsFrom = static_cast<std::uint32_t>(reader.integer("share_loads_from", 0, maxGateways, settings.shareLoadsFrom));
    span("load_report_interval_ms", milliseconds(20), settings.loadReportInterval);
    settings.learnsServerTimes = reader.boolean("learn_server_times", settings.learnsServerTimes);
    settings.roomQueue.maxFirstWait = reader.number("max_first_wait", 0, 1000, settings.roomQueue.maxFirstWait);
    settings.hedges.share = reader.number("hedge_share", 0, 1, settings.hedges.share);
    settings.maxCalls = static_cast<std::size_t>(
        reader.integer("max_calls", 1, 1'000'000, static_cast<std::int64_t>(settings.maxCalls)));
    return settings;
}

} // namespace cuminledge::core::forward
