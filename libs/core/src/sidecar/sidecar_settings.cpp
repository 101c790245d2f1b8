#include <core/sidecar/sidecar_settings.hpp>

namespace cuminledge::core::sidecar {

namespace {

    wire::backend_kind readKind(json_object_reader& reader)
    {
        const auto kind = reader.string("kind", 1, 16);
        if (kind != "engine" && kind != "service") {
            reader.fault("kind", "expected \"engine\" or \"service\"");
        }
        return kind == "service" ? wire::backend_kind::Service : wire::backend_kind::Engine;
    }

} // namespace

sidecar_settings readSettings(json_object_reader& reader)
{
    using std::chrono::milliseconds;
    constexpr milliseconds hour { 3'600'000 };
    constexpr std::size_t maxAddressBytes = 64;
    sidecar_settings settings;
    settings.controllers = controller_client::readControllers(reader);
    settings.backend = reader.string("backend", 1, 64);
    settings.kind = readKind(reader);
    settings.backendAddress = reader.string("backend_address", 1, maxAddressBytes);
    settings.peerAddress = reader.string("peer_address", 1, maxAddressBytes);
    settings.models = reader.strings("models", 256, 128);
    if (settings.models.empty()) {
        reader.fault("models", "expected a list of at least one model (for a service: its name)");
    }
    settings.batchLimit = static_cast<std::uint32_t>(reader.integer("batch_limit", 1, 4'096, settings.batchLimit));
    settings.cacheTokens = reader.integer("cache_tokens", 0, 1'000'000'000, settings.cacheTokens);
    settings.checksFencing = reader.boolean("checks_fencing", settings.checksFencing);
    settings.maxWaiting = static_cast<std::size_t>(
        reader.integer("max_waiting", 1, 100'000, static_cast<std::int64_t>(settings.maxWaiting)));
    const auto span = [&](const char* key, milliseconds minimum, milliseconds& value) {
        value = reader.milliseconds(key, minimum, hour, value);
    };
    span("silence_timeout_ms", milliseconds(50), settings.silenceTimeout);
    span("probe_timeout_ms", milliseconds(10), settings.probeTimeout);
    span("finished_retention_ms", milliseconds(1'000), settings.finishedRetention);
    span("shutdown_limit_ms", milliseconds(1'000), settings.shutdownLimit);
    settings.finishedBytes = static_cast<std::size_t>(
        reader.integer("finished_bytes", 1 << 20, 1 << 30, static_cast<std::int64_t>(settings.finishedBytes)));
    settings.historyBytes = static_cast<std::size_t>(
        reader.integer("history_bytes", 0, 1 << 30, static_cast<std::int64_t>(settings.historyBytes)));
    return settings;
}

} // namespace cuminledge::core::sidecar
