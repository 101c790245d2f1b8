#include "configuration.hpp"

#include <algorithm>

#include "admission.hpp"
#include "crashes.hpp"
#include "lifecycle.hpp"
#include "server_limits.hpp"

namespace cuminledge::core::forward {

namespace {

    void applyRoutes(context& c, const wire::config_update& update)
    {
        auto& configuration = c.state.configuration;
        if (update.routes.empty() || update.routesVersion <= configuration.table.version) {
            return;
        }
        auto decoded = wire::decodeStruct<wire::route_table>(update.routes, "decode_routes", "");
        if (!decoded) {
            c.out.emplace_back(
                write_log { log_level::Error, "routes_unreadable", { { "problem", describe(decoded.error()) } } });
            return;
        }
        configuration.table = std::move(*decoded);
        configuration.accountByKey.clear();
        for (std::size_t i = 0; i < configuration.table.accounts.size(); ++i) {
            for (const auto& key : configuration.table.accounts[i].keys) {
                configuration.accountByKey[key] = i;
            }
        }
        c.out.emplace_back(write_log { log_level::Info, "routes_in_force",
            { { "version", std::to_string(configuration.table.version) },
                { "routes", std::to_string(configuration.table.routes.size()) },
                { "accounts", std::to_string(configuration.table.accounts.size()) } } });
    }

    void logServers(context& c, const std::vector<wire::backend_record>& records)
    {
        for (const auto& record : records) {
            const char* state = record.withdrawn ? "gone" : (record.draining ? "draining" : "ready");
            c.out.emplace_back(write_log { log_level::Info, "server_known",
                { { "server", record.backend }, { "address", record.address }, { "service", record.service },
                    { "state", state }, { "version", record.softwareVersion },
                    { "incarnation", std::to_string(record.incarnation) } } });
        }
    }

} // namespace

static std::chrono::milliseconds pollInterval(const context& c)
{
    const auto& state = c.state;
    const bool isComplete = state.configuration.table.version != 0 && !state.servers.servers.empty();
    return isComplete ? state.settings.configPollInterval : state.settings.firstPollInterval;
}

void pollConfiguration(context& c)
{
    const auto& configuration = c.state.configuration;
    if (!controller_client::isPollDue(configuration.poll, pollInterval(c), c.now)) {
        return;
    }
    wire::config_poll poll;
    poll.routesVersion = configuration.table.version;
    poll.membershipEpoch = configuration.membershipEpoch;
    poll.membershipVersion = configuration.membershipVersion;
    poll.quarantineRevision = c.state.crashes.quarantine.revision;
    poll.limitReports = makeLimitReports(c);
    controller_client::pollConfiguration(
        c.state.controllers, c.state.configuration.poll, poll, pollInterval(c), c.now, c.out);
}

void onConfigUpdate(context& c, const std::string& peer, const wire::config_update& update)
{
    auto& configuration = c.state.configuration;
    const auto sentAt = configuration.poll.sentAt;
    if (!controller_client::acceptUpdate(c.state.controllers, configuration.poll, peer, update, pollInterval(c), c.now)) {
        return;
    }
    configuration.confirmedAt = sentAt;
    configuration.groupCount = std::max<std::uint32_t>(update.groupCount, 1);
    applyRoutes(c, update);
    logServers(c, update.backends);
    applyMembership(c.state.servers, update.backends, update.membershipComplete);
    applyCrashRecords(c, update);
    applyAllowances(c, update, sentAt);
    configuration.membershipEpoch = update.membershipEpoch;
    configuration.membershipVersion = update.membershipVersion;
    updateReadiness(c);
    admitConfirmed(c, sentAt);
}

} // namespace cuminledge::core::forward
