#include <core/store/control_state.hpp>

#include <algorithm>
#include <type_traits>
#include <variant>

#include <fmt/format.h>

#include <store/refusal.hpp>

namespace cuminledge::core::store {

namespace {

    bool isId(const std::string& id)
    {
        return !id.empty() && id.size() <= maxIdBytes;
    }

    //--------------------------------------------------------------------------------------------------------------
    // Manifest
    //--------------------------------------------------------------------------------------------------------------

    bool wasAccepted(const control_state& state, std::uint64_t number, const std::string& digest)
    {
        return std::any_of(state.manifestHistory.begin(), state.manifestHistory.end(),
            [&](const accepted_manifest& held) { return held.number == number && held.digest == digest; });
    }

    wire::command_result refuseLowerManifest(const control_state& state, const wire::accept_manifest& command)
    {
        const char* before = wasAccepted(state, command.number, command.digest)
            ? "it was accepted before and has been replaced"
            : "it was not accepted";
        auto message = fmt::format("manifest {} is in force, {} is lower; {}", state.manifestNumber, command.number, before);
        return refuse(error_code::Conflict, std::move(message), "accept_manifest", state.manifestDigest);
    }

    wire::command_result applyCommand(control_state& state, const wire::accept_manifest& command)
    {
        if (command.number < state.manifestNumber) {
            return refuseLowerManifest(state, command);
        }
        if (command.number == state.manifestNumber) {
            if (command.digest == state.manifestDigest) {
                return wire::acknowledged { state.manifestNumber };
            }
            auto message = fmt::format("another manifest with number {} is in force", command.number);
            return refuse(error_code::Conflict, std::move(message), "accept_manifest", state.manifestDigest);
        }
        state.manifestNumber = command.number;
        state.manifestDigest = command.digest;
        state.manifest = command.document;
        state.manifestHistory.push_back({ command.number, command.digest });
        if (state.manifestHistory.size() > maxManifestHistory) {
            state.manifestHistory.erase(state.manifestHistory.begin());
        }
        return wire::acknowledged { state.manifestNumber };
    }

    //--------------------------------------------------------------------------------------------------------------
    // Keys
    //--------------------------------------------------------------------------------------------------------------

    bool isKeyField(const std::string& field)
    {
        return !field.empty() && field.size() <= maxKeyFieldBytes;
    }

    wire::command_result applyCommand(control_state& state, const wire::issue_key& command)
    {
        const std::string step = "issue_key";
        if (!isKeyField(command.key) || !isKeyField(command.account) || !isKeyField(command.salt)
            || !isKeyField(command.hash)) {
            return refuse(error_code::InvalidArgument, "a field is empty or too long", step);
        }
        const auto known = state.keys.find(command.key);
        if (known != state.keys.end()) {
            const auto& held = known->second;
            const bool isResend
                = held.account == command.account && held.salt == command.salt && held.hash == command.hash;
            if (!isResend) {
                return refuse(error_code::Conflict, "the key id is taken", step);
            }
            if (held.withdrawn) {
                return refuse(error_code::Conflict, "the key was issued and has been withdrawn", step);
            }
            return wire::acknowledged { state.keyChanges.revisionOf.at(command.key) };
        }
        if (state.keys.size() - state.withdrawnKeys >= maxKeys) {
            return refuse(error_code::Overloaded, fmt::format("{} keys are in force, the most there may be", maxKeys), step);
        }
        state.keys[command.key] = { command.key, command.account, command.salt, command.hash, false };
        return wire::acknowledged { touch(state.keyChanges, command.key) };
    }

    void evictOldestWithdrawnKey(control_state& state)
    {
        for (const auto& [revision, key] : state.keyChanges.byRevision) {
            if (state.keys.at(key).withdrawn) {
                const auto evicted = key;
                state.keys.erase(evicted);
                forget(state.keyChanges, evicted);
                --state.withdrawnKeys;
                return;
            }
        }
    }

    wire::command_result applyCommand(control_state& state, const wire::withdraw_key& command)
    {
        const auto known = state.keys.find(command.key);
        if (known == state.keys.end()) {
            return refuse(error_code::NotFound, "no such key", "withdraw_key");
        }
        if (known->second.withdrawn) {
            return wire::acknowledged { state.keyChanges.revisionOf.at(command.key) };
        }
        known->second.withdrawn = true;
        ++state.withdrawnKeys;
        const auto revision = touch(state.keyChanges, command.key);
        if (state.withdrawnKeys > maxWithdrawnKeys) {
            evictOldestWithdrawnKey(state);
        }
        return wire::acknowledged { revision };
    }

    //--------------------------------------------------------------------------------------------------------------
    // Backend servers
    //--------------------------------------------------------------------------------------------------------------

    wire::command_result applyCommand(control_state& state, const wire::drain_backend& command)
    {
        if (!isId(command.backend)) {
            return refuse(error_code::InvalidArgument, "the backend server's id is empty or too long", "drain_backend");
        }
        if (!command.draining) {
            state.drains.erase(command.backend);
            return wire::acknowledged {};
        }
        if (state.drains.size() >= maxDrains && !state.drains.contains(command.backend)) {
            return refuse(error_code::Overloaded, fmt::format("{} backend servers are draining", maxDrains), "drain_backend");
        }
        state.drains.insert(command.backend);
        return wire::acknowledged {};
    }

    wire::command_result applyCommand(control_state& state, const wire::evacuate_domain& command)
    {
        if (!isId(command.domain)) {
            return refuse(error_code::InvalidArgument, "the failure domain's name is empty or too long", "evacuate_domain");
        }
        if (!command.evacuated) {
            state.evacuatedDomains.erase(command.domain);
            return wire::acknowledged {};
        }
        if (state.evacuatedDomains.size() >= maxEvacuatedDomains && !state.evacuatedDomains.contains(command.domain)) {
            return refuse(error_code::Overloaded, fmt::format("{} failure domains are evacuated", maxEvacuatedDomains), "evacuate_domain");
        }
        state.evacuatedDomains.insert(command.domain);
        return wire::acknowledged {};
    }

    void evictOldestOrderer(control_state& state)
    {
        const auto oldest = std::min_element(state.orderers.begin(), state.orderers.end(),
            [](const auto& left, const auto& right) { return left.second.number < right.second.number; });
        state.orderers.erase(oldest);
    }

    wire::command_result applyCommand(control_state& state, const wire::register_orderer& command)
    {
        const std::string step = "register_orderer";
        if (!isId(command.backend)) {
            return refuse(error_code::InvalidArgument, "the backend server's id is empty or too long", step);
        }
        const auto known = state.orderers.find(command.backend);
        if (known != state.orderers.end()) {
            if (command.incarnation == known->second.incarnation) {
                return wire::fencing_number { known->second.number };
            }
            if (command.incarnation < known->second.incarnation) {
                return refuse(error_code::Conflict, "a later incarnation orders this backend server", step);
            }
        }
        // One counter is shared by all backend servers, so that numbers increase even for a server whose entry was
        // removed.
        const auto number = ++state.lastFencingNumber;
        state.orderers[command.backend] = { command.backend, command.incarnation, number };
        if (state.orderers.size() > maxOrderers) {
            evictOldestOrderer(state);
        }
        return wire::fencing_number { number };
    }

    //--------------------------------------------------------------------------------------------------------------
    // Requests that crash backend servers
    //--------------------------------------------------------------------------------------------------------------

    template <typename Predicate>
    const std::string* oldestCrash(const control_state& state, const Predicate& matches)
    {
        for (const auto& [revision, fingerprint] : state.crashChanges.byRevision) {
            if (matches(state.crashes.at(fingerprint))) {
                return &fingerprint;
            }
        }
        return nullptr;
    }

    template <typename Predicate>
    bool evictOldestCrash(control_state& state, const Predicate& matches)
    {
        const auto* found = oldestCrash(state, matches);
        if (found == nullptr) {
            return false;
        }
        const auto fingerprint = *found;
        state.crashes.erase(fingerprint);
        forget(state.crashChanges, fingerprint);
        return true;
    }

    void enforceCrashLimits(control_state& state)
    {
        const auto cleared = static_cast<std::size_t>(std::count_if(
            state.crashes.begin(), state.crashes.end(), [](const auto& entry) { return entry.second.cleared; }));
        if (cleared > maxClearedFingerprints) {
            evictOldestCrash(state, [](const crash_record& record) { return record.cleared; });
        }
        if (state.crashes.size() - cleared <= maxCrashRecords) {
            return;
        }
        const auto isSuspect = [](const crash_record& record) { return !record.cleared && !record.quarantined; };
        if (!evictOldestCrash(state, isSuspect)) {
            evictOldestCrash(state, [](const crash_record& record) { return record.quarantined; });
        }
    }

    wire::command_result applyCommand(control_state& state, const wire::report_crash& command)
    {
        if (!isId(command.fingerprint) || !isId(command.backend)) {
            return refuse(error_code::InvalidArgument, "a field is empty or too long", "report_crash");
        }
        auto& record = state.crashes[command.fingerprint];
        const std::pair death(command.backend, command.engineIncarnation);
        const bool isKnown = std::find(record.deaths.begin(), record.deaths.end(), death) != record.deaths.end();
        if (isKnown || record.quarantined) {
            return wire::acknowledged { state.crashChanges.revision };
        }
        record.fingerprint = command.fingerprint;
        record.account = command.account;
        if (record.cleared) {
            // A cleared record keeps its deaths, so that late resends of their reports have no effect. They no longer
            // count once a new death is reported.
            record.deaths.clear();
            record.cleared = false;
        }
        record.deaths.push_back(death);
        record.quarantined = record.deaths.size() >= (command.deathLimit == 0 ? quarantineDeaths : command.deathLimit);
        const auto revision = touch(state.crashChanges, command.fingerprint);
        enforceCrashLimits(state);
        return wire::acknowledged { revision };
    }

    wire::command_result applyCommand(control_state& state, const wire::clear_fingerprint& command)
    {
        const auto known = state.crashes.find(command.fingerprint);
        if (known == state.crashes.end() || known->second.cleared) {
            return wire::acknowledged { state.crashChanges.revision };
        }
        if (known->second.quarantined && !command.byOperator && !command.hasCompleted) {
            return refuse(error_code::Quarantined, "only an operator or a whole answer lifts a quarantine", "clear_fingerprint");
        }
        known->second.cleared = true;
        known->second.quarantined = false;
        const auto revision = touch(state.crashChanges, command.fingerprint);
        enforceCrashLimits(state);
        return wire::acknowledged { revision };
    }

    //--------------------------------------------------------------------------------------------------------------
    // Route tables
    //--------------------------------------------------------------------------------------------------------------

    wire::command_result applyCommand(control_state& state, const wire::accept_routes& command)
    {
        if (command.version > state.routesVersion) {
            state.routesVersion = command.version;
            state.routes = command.table;
            state.routesDocument = command.document;
        }
        return wire::acknowledged { state.routesVersion };
    }

    void evictDepartedServers(control_state& state)
    {
        while (state.departed.size() > maxDepartedServers) {
            const auto known = state.servers.find(state.departed.front());
            if (known != state.servers.end() && known->second.withdrawn) {
                state.servers.erase(known);
            }
            state.departed.pop_front();
        }
    }

    wire::command_result applyCommand(control_state& state, const wire::note_server& command)
    {
        const std::string step = "note_server";
        const auto& server = command.server;
        if (!isId(server.backend)) {
            return refuse(error_code::InvalidArgument, "the backend server's id is empty or too long", step);
        }
        const auto known = state.servers.find(server.backend);
        const bool isKnown = known != state.servers.end();
        if (isKnown && known->second.incarnation > server.incarnation) {
            return refuse(error_code::Conflict, "a later incarnation holds this id", step);
        }
        if (server.withdrawn && !command.isLeaving) {
            state.servers.erase(server.backend);
            return wire::acknowledged {};
        }
        if (!isKnown && state.servers.size() >= maxServers) {
            return refuse(error_code::Overloaded, fmt::format("{} backend servers are announced", maxServers), step);
        }
        state.servers[server.backend] = server;
        if (server.withdrawn) {
            state.departed.push_back(server.backend);
            evictDepartedServers(state);
        }
        return wire::acknowledged {};
    }

    /// Refuses every other command, since it belongs to one of the groups 1..N.
    template <typename Command>
    wire::command_result applyCommand(control_state& /*state*/, const Command& /*command*/)
    {
        return refuse(error_code::InvalidArgument, "this command does not belong to group 0", "apply");
    }

} // namespace

wire::command_result applyCommand(control_state& state, const wire::command& command)
{
    return std::visit([&state](const auto& alternative) { return applyCommand(state, alternative); }, command);
}

} // namespace cuminledge::core::store
