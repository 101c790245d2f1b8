#include <algorithm>
#include <map>
#include <vector>

#include <fmt/format.h>

#include <controller/internal.hpp>

namespace cuminledge::core::controller {

namespace {

    constexpr std::chrono::milliseconds countInterval { 1'000 };
    constexpr std::chrono::milliseconds retryAfterFullStore { 1'000 };

    /// Expired turns on the disk count too, but for what the next snapshot's interval has room for.
    std::size_t heldBytes(const reduction& r, const hosted_group& group)
    {
        const auto pieceBytes = store::totalBytes(group.pieces);
        const auto allowance = r.state.settings.consensus.snapshotAfterBytes;
        return std::max(group.shard.turnBytes, pieceBytes > allowance ? pieceBytes - allowance : 0);
    }

    /// @return when turns are dropped, in up to so many steps. The clock that they expire by advances at intervals.
    std::vector<limits::retained_release> releasesOf(const store::shard_state& shard, std::chrono::milliseconds retention)
    {
        constexpr int steps = 64;
        const auto step = std::max<std::chrono::milliseconds>(retention / steps, countInterval);
        std::map<std::int64_t, std::size_t> bytes;
        for (const auto& [key, turn] : shard.turns) {
            const auto left = std::max(turn.expires - shard.clock, std::chrono::milliseconds(0));
            bytes[(left + store::clockInterval) / step + 1] += turn.text.size();
        }
        std::vector<limits::retained_release> releases;
        releases.reserve(bytes.size());
        for (const auto& [number, size] : bytes) {
            releases.push_back({ number * step, size });
        }
        return releases;
    }

    /// All turns are visited to tell when they expire, so this is done once per interval.
    void countRetained(reduction& r, hosted_group& group)
    {
        group.retained.bytes = heldBytes(r, group);
        if (r.now < group.retainedCountedAt + countInterval) {
            return;
        }
        group.retainedCountedAt = r.now;
        group.retained.releases = releasesOf(group.shard, group.retained.retention);
    }

    /// @return what a program retains, as far as the turns tell: each program begins one chain, mostly.
    double retainedByProgram(const store::shard_state& shard)
    {
        const auto chains = std::count_if(
            shard.turns.begin(), shard.turns.end(), [](const auto& entry) { return entry.second.previous.empty(); });
        return chains == 0 ? 0 : static_cast<double>(shard.turnBytes) / static_cast<double>(chains);
    }

    std::string idOf(const std::string& account, const std::string& program)
    {
        return account + "\n" + program;
    }

    wire::refused noRoom(std::string message, std::chrono::milliseconds retryAfter)
    {
        return { static_cast<std::uint32_t>(error_code::Overloaded), std::move(message), "retain", "", retryAfter };
    }

    /// @return whether the program has been admitted, even if its first reservation is not committed yet.
    bool isKnown(const hosted_group& group, const wire::reserve_tokens& command)
    {
        return group.shard.budgets.contains({ command.account, command.program })
            || limits::isYoung(group.room.growth, idOf(command.account, command.program));
    }

    /// @return whether the command is a copy of one that has been granted.
    bool isReserved(const hosted_group& group, const wire::reserve_tokens& command)
    {
        const auto budget = group.shard.budgets.find({ command.account, command.program });
        return budget != group.shard.budgets.end() && budget->second.reserved.contains(command.attempt);
    }

    std::optional<wire::refused> refuseProgram(reduction& r, hosted_group& group, const wire::reserve_tokens& command)
    {
        const auto program = idOf(command.account, command.program);
        const bool wasRefusedBefore = limits::wasRefused(group.room.refusedPrograms, program);
        const auto admission = limits::admitProgram(group.room, program, group.retained, r.now);
        if (admission.isAdmitted) {
            return std::nullopt;
        }
        log(r, log_level::Info, "program_refused",
            { { "group", std::to_string(group.group) }, { "account", command.account }, { "program", command.program },
                { "retained_bytes", std::to_string(group.retained.bytes) },
                { "promised_bytes", fmt::format("{:.0f}", limits::promisedBytes(group.room)) },
                { "capacity_bytes", std::to_string(group.room.capacityBytes) },
                { "program_bytes", fmt::format("{:.0f}", limits::programBytes(group.room.growth)) },
                { "admitted_bytes_per_s", fmt::format("{:.0f}", limits::admissionRate(group.room, group.retained)) },
                { "free_bytes", fmt::format("{:.0f}", limits::freeBytes(group.room, group.retained)) },
                { "refused_before", wasRefusedBefore ? "yes" : "no" },
                { "retry_after_ms", std::to_string(admission.retryAfter.count()) } });
        r.out.emplace_back(record_metric { "programs_refused_for_room_total", 1, false });
        return noRoom("the turns of one more program can't be retained", admission.retryAfter);
    }

    std::optional<wire::refused> refuse(reduction& r, hosted_group& group, const wire::reserve_tokens& command)
    {
        if (command.retainedBytes == 0 || isReserved(group, command)) {
            return std::nullopt;
        }
        group.retained.retention = std::max(group.retained.retention, command.retention);
        countRetained(r, group);
        if (!command.continuesTurn && !isKnown(group, command)) {
            return refuseProgram(r, group, command);
        }
        if (limits::hasRoomForTurn(group.room, group.shard.turnBytes, command.retainedBytes)) {
            return std::nullopt;
        }
        return noRoom("one more turn can't be retained", retryAfterFullStore);
    }

    template <typename Command>
    std::optional<wire::refused> refuse(reduction& /*r*/, hosted_group& /*group*/, const Command& /*command*/)
    {
        return std::nullopt;
    }

} // namespace

void startLearningPrograms(reduction& r, hosted_group& group)
{
    group.learningSince = r.now;
    limits::startLearning(group.room, retainedByProgram(group.shard), r.now);
}

void startRetention(reduction& r, hosted_group& group)
{
    // The entries of a log that was loaded are applied at once, which says nothing of how programs grow.
    if (r.now < group.learningSince + limits::growthSteps * limits::growthStep) {
        startLearningPrograms(r, group);
    }
    group.room.capacityBytes = r.state.settings.maxRetainedBytes / std::max<std::uint32_t>(r.state.settings.groupCount, 1);
    group.retained = {};
    group.retainedCountedAt = {};
    limits::startLeading(group.room, r.now);
}

std::optional<wire::refused> refuseForRoom(reduction& r, hosted_group& group, const wire::command& command)
{
    return std::visit([&](const auto& alternative) { return refuse(r, group, alternative); }, command);
}

void reportRetention(reduction& r, const hosted_group& group)
{
    if (!group.isServing || group.room.capacityBytes == 0) {
        return;
    }
    const auto& room = group.room;
    log(r, log_level::Info, "retention_room",
        { { "group", std::to_string(group.group) }, { "retained_bytes", std::to_string(group.shard.turnBytes) },
            { "promised_bytes", fmt::format("{:.0f}", limits::promisedBytes(room)) },
            { "free_bytes", fmt::format("{:.0f}", limits::freeBytes(room, group.retained)) },
            { "capacity_bytes", std::to_string(room.capacityBytes) },
            { "program_bytes", fmt::format("{:.0f}", limits::programBytes(room.growth)) },
            { "admitted", std::to_string(room.admitted) }, { "admitted_later", std::to_string(room.admittedLater) },
            { "refused", std::to_string(room.refused) }, { "refused_again", std::to_string(room.refusedAgain) } });
    const auto labels = fmt::format("group=\"{}\"", group.group);
    r.out.emplace_back(set_gauge { "group_promised_bytes", labels, limits::promisedBytes(room) });
    r.out.emplace_back(set_gauge { "group_program_bytes", labels, limits::programBytes(room.growth) });
    r.out.emplace_back(set_gauge { "programs_admitted", labels, static_cast<double>(room.admitted) });
    r.out.emplace_back(set_gauge { "programs_admitted_later", labels, static_cast<double>(room.admittedLater) });
}

void noteReservedTurn(reduction& r, hosted_group& group, const wire::reserve_tokens& command)
{
    const auto budget = group.shard.budgets.find({ command.account, command.program });
    if (command.retainedBytes == 0 || command.continuesTurn || budget == group.shard.budgets.end()) {
        return;
    }
    const bool isFirst = budget->second.settled.empty() && budget->second.reserved.size() == 1;
    if (isFirst) {
        limits::noteBegun(group.room, idOf(command.account, command.program), r.now);
    }
}

void noteRetainedTurn(reduction& r, hosted_group& group, const wire::retain_turn& turn)
{
    limits::noteRetained(group.room, idOf(turn.account, turn.program), turn.text.size(), r.now);
}

} // namespace cuminledge::core::controller
