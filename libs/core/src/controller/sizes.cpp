#include <controller/sizes.hpp>

#include <array>
#include <utility>

#include <fmt/format.h>

namespace cuminledge::core::controller {

namespace {

    constexpr std::chrono::milliseconds reportInterval { 5'000 };

    using named_size = std::pair<const char*, std::size_t>;

    std::array<named_size, 10> named(const group_sizes& sizes)
    {
        return { named_size { "turns", sizes.turns }, { "turn_bytes", sizes.turnBytes }, { "budgets", sizes.budgets },
            { "streams", sizes.streams }, { "log_entries", sizes.logEntries }, { "log_bytes", sizes.logBytes },
            { "unsynced_bytes", sizes.unsyncedBytes }, { "outgoing_bytes", sizes.outgoingBytes },
            { "incoming_bytes", sizes.incomingBytes }, { "piece_bytes", sizes.pieceBytes } };
    }

    void report(reduction& r, const hosted_group& group)
    {
        const auto number = std::to_string(group.group);
        std::vector<std::pair<std::string, std::string>> fields { { "group", number } };
        for (const auto& [name, value] : named(sizesOf(group))) {
            fields.emplace_back(name, std::to_string(value));
            r.out.emplace_back(set_gauge { std::string("group_") + name, fmt::format("group=\"{}\"", number),
                static_cast<double>(value) });
        }
        log(r, log_level::Info, "group_sizes", std::move(fields));
        reportRetention(r, group);
    }

} // namespace

group_sizes sizesOf(const hosted_group& group)
{
    group_sizes sizes;
    sizes.turns = group.shard.turns.size();
    sizes.turnBytes = group.shard.turnBytes;
    sizes.budgets = group.shard.budgets.size();
    sizes.streams = group.shard.streams.size();
    sizes.logEntries = group.replica.log.entries.size();
    for (const auto& entry : group.replica.log.entries) {
        sizes.logBytes += entry.payload.size();
        sizes.unsyncedBytes += entry.index > group.replica.durableIndex ? entry.payload.size() : 0;
    }
    sizes.outgoingBytes = store::heldBytes(group.outgoing);
    sizes.incomingBytes = group.replica.incoming.data.size();
    sizes.pieceBytes = store::totalBytes(group.pieces);
    return sizes;
}

void reportSizes(reduction& r)
{
    if (r.now < r.state.nextSizeReport) {
        return;
    }
    r.state.nextSizeReport = r.now + reportInterval;
    for (const auto& [number, group] : r.state.groups) {
        report(r, group);
    }
}

Json::Value describeSizes(const group_sizes& sizes)
{
    Json::Value body;
    for (const auto& [name, value] : named(sizes)) {
        body[name] = static_cast<Json::UInt64>(value);
    }
    return body;
}

} // namespace cuminledge::core::controller
