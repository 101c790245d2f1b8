#include "configuration.hpp"

#include <set>

#include "lifecycle.hpp"

namespace cuminledge::core::gateway {

namespace {

    void withdrawKey(context& c, const std::string& key)
    {
        ++c.state.counters.keysWithdrawn;
        endCallsOfKey(c, key);
        c.out.emplace_back(close_key_connections { key });
        c.out.emplace_back(write_log { log_level::Info, "key_withdrawn", { { "key", key } } });
    }

    void applyKeys(context& c, const wire::config_update& update)
    {
        auto& held = c.state.configuration.keys;
        std::vector<std::string> lost;
        std::set<std::string> valid;
        for (const auto& record : update.keys) {
            if (!record.withdrawn) {
                valid.insert(record.key);
                held[record.key] = record;
            } else if (held.erase(record.key) > 0) {
                lost.push_back(record.key);
            }
        }
        if (update.keysComplete) {
            for (auto it = held.begin(); it != held.end();) {
                if (valid.contains(it->first)) {
                    ++it;
                    continue;
                }
                lost.push_back(it->first);
                it = held.erase(it);
            }
        }
        c.state.configuration.keyRevision = update.keyRevision;
        for (const auto& key : lost) {
            withdrawKey(c, key);
        }
    }

    void applyManifest(context& c, const wire::config_update& update)
    {
        if (update.manifest.empty() || update.manifestNumber <= c.state.configuration.manifestNumber) {
            return;
        }
        auto parsed = manifest::parseManifest(update.manifest);
        if (!parsed) {
            c.out.emplace_back(write_log { log_level::Error, "manifest_unreadable",
                { { "number", std::to_string(update.manifestNumber) }, { "fault", describe(parsed.error()) } } });
            return;
        }
        c.state.configuration.manifest = std::move(*parsed);
        c.state.configuration.manifestNumber = update.manifestNumber;
        c.out.emplace_back(write_log {
            log_level::Info, "manifest_in_force", { { "number", std::to_string(update.manifestNumber) } } });
    }

    void addBackend(context& c, const wire::backend_record& record)
    {
        auto& entry = c.state.backends[record.backend];
        const auto& previous = entry.record;
        const bool moved = previous.sidecarAddress != record.sidecarAddress || previous.sidecar != record.sidecar;
        if (moved && !previous.sidecar.empty()) {
            c.state.backendOfSidecar.erase(previous.sidecar);
            c.out.emplace_back(disconnect_peer { previous.sidecar });
            entry.connected = false;
        }
        const bool isNew = moved || !entry.announced;
        entry.record = record;
        entry.announced = true;
        c.state.backendOfSidecar[record.sidecar] = record.backend;
        if (isNew) {
            c.out.emplace_back(connect_peer { record.sidecar, record.sidecarAddress });
        }
    }

    void removeBackend(context& c, const std::string& backend)
    {
        const auto found = c.state.backends.find(backend);
        if (found != c.state.backends.end()) {
            found->second.announced = false;
            dropIfGone(c, backend);
        }
    }

    void applyMembership(context& c, const wire::config_update& update)
    {
        routing::applyMembership(c.state.routes, update.backends, update.membershipComplete, c.now);
        std::set<std::string> present;
        for (const auto& record : update.backends) {
            if (record.withdrawn) {
                removeBackend(c, record.backend);
            } else {
                present.insert(record.backend);
                addBackend(c, record);
            }
        }
        if (update.membershipComplete) {
            std::vector<std::string> gone;
            for (const auto& [backend, entry] : c.state.backends) {
                if (!present.contains(backend)) {
                    gone.push_back(backend);
                }
            }
            for (const auto& backend : gone) {
                removeBackend(c, backend);
            }
        }
        c.state.configuration.membershipEpoch = update.membershipEpoch;
        c.state.configuration.membershipVersion = update.membershipVersion;
    }

    void applyQuarantine(context& c, const wire::config_update& update)
    {
        auto& held = c.state.configuration.quarantine;
        if (update.quarantineComplete) {
            held.clear();
        }
        for (const auto& record : update.quarantine) {
            if (record.cleared) {
                held.erase(record.fingerprint);
            } else {
                held[record.fingerprint] = record;
            }
        }
        c.state.configuration.quarantineRevision = update.quarantineRevision;
    }

} // namespace

void pollConfiguration(context& c)
{
    auto& configuration = c.state.configuration;
    wire::config_poll held;
    held.manifestNumber = configuration.manifestNumber;
    held.keyRevision = configuration.keyRevision;
    held.membershipEpoch = configuration.membershipEpoch;
    held.membershipVersion = configuration.membershipVersion;
    held.quarantineRevision = configuration.quarantineRevision;
    controller_client::pollConfiguration(
        c.state.controllers, configuration.poll, held, c.state.settings.configPollInterval, c.now, c.out);
}

void repollConfiguration(context& c)
{
    controller_client::repollConfiguration(c.state.configuration.poll, c.now);
}

void onConfigUpdate(context& c, const std::string& peer, const wire::config_update& update)
{
    auto& configuration = c.state.configuration;
    const auto sentAt = configuration.poll.sentAt;
    if (!controller_client::acceptUpdate(
            c.state.controllers, configuration.poll, peer, update, c.state.settings.configPollInterval, c.now)) {
        return;
    }
    configuration.leaseUntil = sentAt + update.lease;
    configuration.groupCount = std::max<std::uint32_t>(update.groupCount, 1);
    applyManifest(c, update);
    applyKeys(c, update);
    applyMembership(c, update);
    applyQuarantine(c, update);
    updateReadiness(c);
    resumeWaitingCalls(c);
}

backend_entry* findSidecar(gateway_state& state, const std::string& peer)
{
    const auto named = state.backendOfSidecar.find(peer);
    if (named == state.backendOfSidecar.end()) {
        return nullptr;
    }
    const auto found = state.backends.find(named->second);
    return found == state.backends.end() ? nullptr : &found->second;
}

void dropIfGone(context& c, const std::string& backend)
{
    const auto found = c.state.backends.find(backend);
    if (found == c.state.backends.end() || found->second.announced || found->second.inFlight > 0) {
        return;
    }
    c.out.emplace_back(disconnect_peer { found->second.record.sidecar });
    c.state.backendOfSidecar.erase(found->second.record.sidecar);
    c.state.backends.erase(found);
}

} // namespace cuminledge::core::gateway
