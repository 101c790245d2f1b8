#include <core/controller/controller_settings.hpp>

#include <algorithm>
#include <set>

#include <core/limits/retention_room.hpp>
#include <core/seeds.hpp>
#include <core/store/shard_state.hpp>

namespace cuminledge::core::controller {

namespace {

    constexpr std::size_t maxControllers = 31;
    constexpr std::size_t maxAddressBytes = 256;
    constexpr std::int64_t maxGroups = 1024;
    constexpr std::size_t maxFailureDomains = 1000;
    constexpr std::int64_t maxRetainedMegabytes = 1 << 24;
    constexpr std::int64_t maxToleratedLosses = 10;
    /// Five voters where there are as many: one of them may be down for planned work when another is lost.
    constexpr std::int64_t defaultToleratedLosses = 2;

    controller_member readMember(json_object_reader& reader, std::set<std::string>& known)
    {
        controller_member member;
        member.name = reader.string("name", 1, maxAddressBytes);
        member.address = reader.string("address", 1, maxAddressBytes);
        member.operatorAddress = reader.string("operator_address", 0, maxAddressBytes, "");
        if (!member.name.empty() && !known.insert(member.name).second) {
            reader.fault("name", "\"" + member.name + "\" stands twice");
        }
        if (member.name.find('#') != std::string::npos) {
            reader.fault("name", "expected a name without '#', which separates it from its disk's incarnation");
        }
        return member;
    }

    /// @return the domains' names, given as a list, or as an object with the region of each.
    std::set<std::string> readFailureDomains(json_object_reader& reader)
    {
        const std::string key = "failure_domains";
        const auto& value = reader.raw(key);
        const auto names = value.isObject() ? value.getMemberNames() : reader.strings(key, maxFailureDomains, maxAddressBytes);
        if (names.size() > maxFailureDomains) {
            reader.fault(key, "expected at most " + std::to_string(maxFailureDomains) + " failure domains");
        }
        for (const auto& name : names) {
            if (name.empty() || name.size() > maxAddressBytes) {
                reader.fault(key, "expected names of 1 to " + std::to_string(maxAddressBytes) + " bytes");
            }
        }
        return { names.begin(), names.end() };
    }

} // namespace

std::size_t retainableBytes(
    const consensus::consensus_settings& settings, std::size_t memoryLimitBytes, std::size_t diskLimitBytes)
{
    constexpr std::size_t processBytes = 32U << 20U; // connections, control state and what waits for the disk
    constexpr std::size_t logIntervals = 3; // on the disk: the log, the turns that the next snapshot writes, expired turns
    constexpr double encodingShare = 0.04; // records around the texts, and the rest of the state, twice for a moment
    constexpr double copiesInMemory = 2.2; // a follower holds its state or its new pieces beside a state that it installs
    const auto left = [](std::size_t limit, std::size_t taken) { return limit > taken ? limit - taken : 1; };
    const auto memory = static_cast<double>(left(memoryLimitBytes, processBytes)) / copiesInMemory;
    const auto takenOnDisk = logIntervals * settings.snapshotAfterBytes + store::maxRewrittenBytes;
    const auto disk = static_cast<double>(left(diskLimitBytes, takenOnDisk)) / (1 + limits::reserveShare + encodingShare);
    if (memoryLimitBytes == 0 && diskLimitBytes == 0) {
        return 0;
    }
    const double bytes = memoryLimitBytes == 0 ? disk : diskLimitBytes == 0 ? memory
                                                                            : std::min(memory, disk);
    return std::max<std::size_t>(1, static_cast<std::size_t>(bytes));
}

controller_settings readSettings(json_object_reader& reader)
{
    using std::chrono::milliseconds;
    controller_settings settings;
    std::set<std::string> names;
    settings.isSeeded = reader.has("seeds");
    if (settings.isSeeded) {
        for (auto& seed : readSeeds(reader)) {
            settings.controllers.push_back({ seed.peerAddress, seed.peerAddress, seed.controlAddress });
        }
    } else {
        reader.objects("controllers", maxControllers,
            [&](json_object_reader& element) { settings.controllers.push_back(readMember(element, names)); });
    }
    if (settings.controllers.empty()) {
        reader.fault("controllers", "expected at least one controller");
    }
    settings.groupCount = static_cast<std::uint32_t>(reader.integer("groups", 1, maxGroups, settings.groupCount));
    reader.object("consensus",
        [&](json_object_reader& member) { settings.consensus = consensus::readSettings(member); });
    // A change must be in force everywhere within 3 s: the lease and one poll have to fit in.
    settings.configLease
        = reader.milliseconds("config_lease_ms", milliseconds(200), milliseconds(2'500), settings.configLease);
    settings.announceLease
        = reader.milliseconds("announce_lease_ms", milliseconds(200), milliseconds(60'000), settings.announceLease);
    settings.turnTimeout
        = reader.milliseconds("turn_timeout_ms", milliseconds(1'000), std::chrono::hours(24), settings.turnTimeout);
    settings.hostsGroups = reader.boolean("hosts_groups", settings.hostsGroups);
    settings.consensus.formsGroup = reader.boolean("bootstrap", settings.consensus.formsGroup);
    const auto toleratedLosses = reader.integer("tolerated_losses", 0, maxToleratedLosses, defaultToleratedLosses);
    if (settings.isSeeded) {
        settings.consensus.admitsOthers = true;
        settings.consensus.voters = static_cast<std::size_t>(2 * std::max(toleratedLosses, defaultToleratedLosses) + 1);
    }
    if (reader.has("failure_domains")) {
        settings.failureDomains = readFailureDomains(reader);
    }
    settings.maxRetainedBytes = static_cast<std::size_t>(reader.integer("max_retained_mb", 0, maxRetainedMegabytes, 0)) << 20U;
    settings.exitsOnStorageFailure = reader.boolean("exit_on_storage_failure", settings.exitsOnStorageFailure);
    settings.shutdownLimit
        = reader.milliseconds("shutdown_limit_ms", milliseconds(0), milliseconds(60'000), settings.shutdownLimit);
    return settings;
}

} // namespace cuminledge::core::controller
