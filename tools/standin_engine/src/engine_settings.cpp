#include <standin_engine/engine_settings.hpp>

#include <base/json.hpp>

namespace cuminledge::standin {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds hour { 3'600'000 };
    constexpr std::int64_t maxMemoryTokens = 1'000'000'000;

    std::chrono::microseconds readMicroseconds(
        json_object_reader& reader, const std::string& key, std::chrono::microseconds fallback)
    {
        constexpr std::int64_t second = 1'000'000;
        return std::chrono::microseconds(reader.integer(key, 0, second, fallback.count()));
    }

    void readModel(json_object_reader& reader, model_settings& model)
    {
        model.batchLimit = static_cast<std::uint32_t>(reader.integer("batch_limit", 1, 4096, model.batchLimit));
        model.maxWaiting = static_cast<std::size_t>(
            reader.integer("max_waiting", 0, 100'000, static_cast<std::int64_t>(model.maxWaiting)));
        model.cacheTokens = reader.integer("cache_tokens", 1, maxMemoryTokens, model.cacheTokens);
        model.prefillTokensPerSecond = reader.number("prefill_tokens_per_second", 1, 1e9, model.prefillTokensPerSecond);
        model.prefillChunk = reader.integer("prefill_chunk", 1, maxMemoryTokens, model.prefillChunk);
        model.decodeStep = readMicroseconds(reader, "decode_step_us", model.decodeStep);
        model.decodeStepPerSequence
            = readMicroseconds(reader, "decode_step_per_sequence_us", model.decodeStepPerSequence);
        model.slowFactor = reader.number("slow_factor", 0.01, 1000, model.slowFactor);
        model.cacheEventLag = reader.milliseconds("cache_event_lag_ms", milliseconds(0), hour, model.cacheEventLag);
        model.cacheEventDropEvery
            = static_cast<std::uint32_t>(reader.integer("cache_event_drop_every", 0, 1'000'000, model.cacheEventDropEvery));
    }

} // namespace

result<engine_settings> readEngineSettings(std::string_view json)
{
    const auto document = parseJson(json, "read_settings");
    if (!document) {
        return tl::unexpected<error>(document.error());
    }
    std::vector<json_fault> faults;
    json_object_reader reader(*document, "$", faults);
    engine_settings settings;
    settings.listenAddress = reader.string("listen_address", 1, 64, settings.listenAddress);
    settings.name = reader.string("name", 1, 64, settings.name);
    if (reader.has("models")) {
        settings.models = reader.strings("models", 256, 256);
    }
    readModel(reader, settings.model);
    settings.answerTokens = reader.integer("answer_tokens", 1, 1'000'000, settings.answerTokens);
    settings.loadLag = reader.milliseconds("load_lag_ms", milliseconds(0), hour, settings.loadLag);
    settings.checkFencing = reader.boolean("check_fencing", settings.checkFencing);
    settings.orderTime = reader.milliseconds("order_ms", milliseconds(0), hour, settings.orderTime);
    settings.kvTokensPerSecond = reader.number("kv_tokens_per_second", 1, 1e12, settings.kvTokensPerSecond);
    settings.errorPercent = static_cast<std::uint32_t>(reader.integer("error_percent", 0, 100, 0));
    settings.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, 1'000'000'000, 1));
    reader.finish();
    if (!faults.empty()) {
        return failure(error_code::InvalidArgument, describe(faults), "read_settings");
    }
    return settings;
}

} // namespace cuminledge::standin
