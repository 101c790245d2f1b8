#include "configuration.hpp"

#include <algorithm>

#include "lifecycle.hpp"

namespace cuminledge::core::forward {

namespace {

    void applyRoutes(context& c, const wire::config_update& update)
    {
        auto& held = c.state.configuration;
        if (update.routes.empty() || update.routesVersion <= held.table.version) {
            return;
        }
        auto decoded = wire::decodeStruct<wire::route_table>(update.routes, "decode_routes", "");
        if (!decoded) {
            c.out.emplace_back(
                write_log { log_level::Error, "routes_unreadable", { { "problem", describe(decoded.error()) } } });
            return;
        }
        held.table = std::move(*decoded);
        held.accountOfKey.clear();
        for (std::size_t i = 0; i < held.table.accounts.size(); ++i) {
            for (const auto& key : held.table.accounts[i].keys) {
                held.accountOfKey[key] = i;
            }
        }
        c.out.emplace_back(write_log { log_level::Info, "routes_in_force",
            { { "version", std::to_string(held.table.version) },
                { "routes", std::to_string(held.table.routes.size()) },
                { "accounts", std::to_string(held.table.accounts.size()) } } });
    }

    void logServers(context& c, const std::vector<wire::backend_record>& records)
    {
        for (const auto& record : records) {
            const char* state = record.withdrawn ? "gone" : (record.draining ? "draining" : "ready");
            c.out.emplace_back(write_log { log_level::Info, "server_known",
                { { "server", record.backend }, { "address", record.address }, { "service", record.service },
                    { "state", state }, { "incarnation", std::to_string(record.incarnation) } } });
        }
    }

} // namespace

static std::chrono::milliseconds pollIntervalOf(const context& c)
{
    const auto& state = c.state;
    const bool isComplete = state.configuration.table.version != 0 && !state.servers.servers.empty();
    return isComplete ? state.settings.configPollInterval : state.settings.firstPollInterval;
}

void pollConfiguration(context& c)
{
    const auto& held = c.state.configuration;
    wire::config_poll poll;
    poll.routesVersion = held.table.version;
    poll.membershipEpoch = held.membershipEpoch;
    poll.membershipVersion = held.membershipVersion;
    controller_client::pollConfiguration(
        c.state.controllers, c.state.configuration.poll, poll, pollIntervalOf(c), c.now, c.out);
}

void onConfigUpdate(context& c, const std::string& peer, const wire::config_update& update)
{
    auto& held = c.state.configuration;
    const auto sentAt = held.poll.sentAt;
    if (!controller_client::acceptUpdate(c.state.controllers, held.poll, peer, update, pollIntervalOf(c), c.now)) {
        return;
    }
    held.confirmedAt = sentAt;
    held.groupCount = std::max<std::uint32_t>(update.groupCount, 1);
    applyRoutes(c, update);
    logServers(c, update.backends);
    applyMembership(c.state.servers, update.backends, update.membershipComplete);
    held.membershipEpoch = update.membershipEpoch;
    held.membershipVersion = update.membershipVersion;
    updateReadiness(c);
}

} // namespace cuminledge::core::forward
