#include <core/gateway/gateway_settings.hpp>

namespace cuminledge::core::gateway {

gateway_settings readSettings(json_object_reader& reader)
{
    using std::chrono::milliseconds;
    constexpr milliseconds hour { 3'600'000 };
    constexpr milliseconds second { 1'000 };
    gateway_settings settings;
    const auto readDuration = [&](const char* key, milliseconds minimum, milliseconds& value) {
        value = reader.milliseconds(key, minimum, hour, value);
    };
    settings.controllers = controller_client::readControllers(reader);
    readDuration("config_poll_interval_ms", milliseconds(50), settings.configPollInterval);
    readDuration("controller_timeout_ms", milliseconds(100), settings.controllerTimeout);
    readDuration("queue_timeout_ms", milliseconds(100), settings.queueTimeout);
    readDuration("progress_timeout_ms", milliseconds(100), settings.progressTimeout);
    readDuration("call_timeout_ms", second, settings.callTimeout);
    readDuration("outcome_wait_ms", milliseconds(0), settings.outcomeWait);
    readDuration("retry_pause_ms", milliseconds(1), settings.retryPause);
    readDuration("shutdown_delay_ms", milliseconds(0), settings.shutdownDelay);
    readDuration("shutdown_limit_ms", second, settings.shutdownLimit);
    settings.maxCalls = static_cast<std::size_t>(
        reader.integer("max_calls", 1, 1'000'000, static_cast<std::int64_t>(settings.maxCalls)));
    settings.maxAttempts = static_cast<std::size_t>(
        reader.integer("max_attempts", 1, 16, static_cast<std::int64_t>(settings.maxAttempts)));
    return settings;
}

} // namespace cuminledge::core::gateway
