#include "configuration.hpp"

#include <set>

#include "lifecycle.hpp"

namespace cuminledge::core::gateway {

namespace {

    void onKeyWithdrawn(gateway_context& context, const std::string& key)
    {
        ++context.state.counters.keysWithdrawn;
        endCallsOfKey(context, key);
        context.out.emplace_back(close_key_connections { key });
        context.out.emplace_back(write_log { log_level::Info, "key_withdrawn", { { "key", key } } });
    }

    void applyKeys(gateway_context& context, const wire::config_update& update)
    {
        auto& keys = context.state.configuration.keys;
        std::vector<std::string> removed;
        std::set<std::string> valid;
        for (const auto& record : update.keys) {
            if (!record.withdrawn) {
                valid.insert(record.key);
                keys[record.key] = record;
            } else if (keys.erase(record.key) > 0) {
                removed.push_back(record.key);
            }
        }
        if (update.keysComplete) {
            for (auto it = keys.begin(); it != keys.end();) {
                if (valid.contains(it->first)) {
                    ++it;
                    continue;
                }
                removed.push_back(it->first);
                it = keys.erase(it);
            }
        }
        context.state.configuration.keyRevision = update.keyRevision;
        for (const auto& key : removed) {
            onKeyWithdrawn(context, key);
        }
    }

    void applyManifest(gateway_context& context, const wire::config_update& update)
    {
        if (update.manifest.empty() || update.manifestNumber <= context.state.configuration.manifestNumber) {
            return;
        }
        auto parsed = manifest::parseManifest(update.manifest);
        if (!parsed) {
            context.out.emplace_back(write_log { log_level::Error, "manifest_unreadable",
                { { "number", std::to_string(update.manifestNumber) }, { "fault", describe(parsed.error()) } } });
            return;
        }
        context.state.configuration.manifest = std::move(*parsed);
        context.state.configuration.manifestNumber = update.manifestNumber;
        context.out.emplace_back(write_log {
            log_level::Info, "manifest_in_force", { { "number", std::to_string(update.manifestNumber) } } });
    }

    void updateBackend(gateway_context& context, const wire::backend_record& record)
    {
        auto& entry = context.state.backends[record.backend];
        const auto& previous = entry.record;
        const bool moved = previous.sidecarAddress != record.sidecarAddress || previous.sidecar != record.sidecar;
        if (moved && !previous.sidecar.empty()) {
            context.state.backendBySidecar.erase(previous.sidecar);
            context.out.emplace_back(disconnect_peer { previous.sidecar });
            entry.connected = false;
        }
        const bool isNew = moved || !entry.announced;
        entry.record = record;
        entry.announced = true;
        context.state.backendBySidecar[record.sidecar] = record.backend;
        if (isNew) {
            context.out.emplace_back(connect_peer { record.sidecar, record.sidecarAddress });
        }
    }

    void removeBackend(gateway_context& context, const std::string& backend)
    {
        const auto found = context.state.backends.find(backend);
        if (found != context.state.backends.end()) {
            found->second.announced = false;
            removeDepartedBackend(context, backend);
        }
    }

    void applyMembership(gateway_context& context, const wire::config_update& update)
    {
        auto& evacuated = context.state.routingTable.evacuatedDomains;
        evacuated = { update.evacuatedDomains.begin(), update.evacuatedDomains.end() };
        routing::applyMembership(context.state.routingTable, update.backends, update.membershipComplete, context.now);
        std::set<std::string> present;
        for (const auto& record : update.backends) {
            if (record.withdrawn) {
                removeBackend(context, record.backend);
            } else {
                present.insert(record.backend);
                updateBackend(context, record);
            }
        }
        if (update.membershipComplete) {
            std::vector<std::string> gone;
            for (const auto& [backend, entry] : context.state.backends) {
                if (!present.contains(backend)) {
                    gone.push_back(backend);
                }
            }
            for (const auto& backend : gone) {
                removeBackend(context, backend);
            }
        }
        context.state.configuration.membershipEpoch = update.membershipEpoch;
        context.state.configuration.membershipVersion = update.membershipVersion;
    }

} // namespace

void pollConfiguration(gateway_context& context)
{
    auto& configuration = context.state.configuration;
    wire::config_poll poll;
    poll.manifestNumber = configuration.manifestNumber;
    poll.keyRevision = configuration.keyRevision;
    poll.membershipEpoch = configuration.membershipEpoch;
    poll.membershipVersion = configuration.membershipVersion;
    poll.quarantineRevision = configuration.quarantine.revision;
    controller_client::pollConfiguration(
        context.state.controllers, configuration.poll, poll, context.state.settings.configPollInterval,
        context.now, context.out);
}

void repollConfiguration(gateway_context& context)
{
    controller_client::repollConfiguration(context.state.configuration.poll, context.now);
}

void onConfigUpdate(gateway_context& context, const std::string& peer, const wire::config_update& update)
{
    auto& configuration = context.state.configuration;
    const auto sentAt = configuration.poll.sentAt;
    if (!controller_client::acceptUpdate(
            context.state.controllers, configuration.poll, peer, update,
            context.state.settings.configPollInterval, context.now)) {
        return;
    }
    configuration.leaseUntil = sentAt + update.lease;
    configuration.groupCount = std::max<std::uint32_t>(update.groupCount, 1);
    applyManifest(context, update);
    applyKeys(context, update);
    applyMembership(context, update);
    controller_client::applyUpdate(configuration.quarantine, update);
    updateReadiness(context);
    resumeWaitingCalls(context);
}

backend_entry* findBackendBySidecar(gateway_state& state, const std::string& peer)
{
    const auto named = state.backendBySidecar.find(peer);
    if (named == state.backendBySidecar.end()) {
        return nullptr;
    }
    const auto found = state.backends.find(named->second);
    return found == state.backends.end() ? nullptr : &found->second;
}

void removeDepartedBackend(gateway_context& context, const std::string& backend)
{
    const auto found = context.state.backends.find(backend);
    if (found == context.state.backends.end() || found->second.announced || found->second.inFlight > 0) {
        return;
    }
    context.out.emplace_back(disconnect_peer { found->second.record.sidecar });
    context.state.backendBySidecar.erase(found->second.record.sidecar);
    context.state.backends.erase(found);
}

} // namespace cuminledge::core::gateway
