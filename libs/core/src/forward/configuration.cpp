#include "configuration.hpp"

#include <algorithm>

#include "admission.hpp"
#include "answers.hpp"
#include "attempts.hpp"
#include "crashes.hpp"
#include "engine_room.hpp"
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

    void applyEvacuations(context& c, const wire::config_update& update)
    {
        const std::set<std::string> domains(update.evacuatedDomains.begin(), update.evacuatedDomains.end());
        if (domains == c.state.servers.evacuatedDomains) {
            return;
        }
        std::string names;
        for (const auto& domain : domains) {
            names += (names.empty() ? "" : ",") + domain;
        }
        c.out.emplace_back(write_log { log_level::Info, "domains_evacuated", { { "domains", names } } });
        c.state.servers.evacuatedDomains = domains;
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

    void limitWait(context& c, forward_call& call)
    {
        const auto callers = call.request.timeLeft;
        const auto limit = c.state.settings.controllerTimeout;
        call.isExpiryFromCaller = callers.count() > 0 && callers < limit;
        call.expiresAt = call.arrived + (call.isExpiryFromCaller ? callers : limit);
        c.state.expiries.insert({ call.expiresAt, call.exchange });
    }

    /// Continues the calls that wait for a confirmation.
    /// @param confirmedAt when the poll was sent that has now been answered; calls that wait since later wait on.
    void continueConfirmed(context& c, time_point confirmedAt)
    {
        const auto waiting = c.state.unconfirmed;
        for (const auto exchange : waiting) {
            const auto found = c.state.calls.find(exchange);
            if (found == c.state.calls.end()) {
                continue;
            }
            auto& call = found->second;
            if (call.confirmSince > confirmedAt) {
                controller_client::hastenPoll(c.state.configuration.poll, c.now);
                continue;
            }
            c.state.unconfirmed.erase(exchange);
            if (call.answer.hasBegun) {
                resumeStream(c, call);
            } else {
                admitAgain(c, call);
            }
        }
    }

} // namespace

bool isConfirmedSince(const context& c, time_point since)
{
    return c.state.configuration.confirmedAt >= since;
}

bool knowsServers(const context& c)
{
    return isConfirmedSince(c, c.now - c.state.settings.maxServersAge);
}

void awaitConfirmation(context& c, forward_call& call)
{
    if (c.state.controllers.connected.empty()) {
        failCall(c, call,
            { error_code::Unavailable, "the configuration can't be confirmed: no controller is connected",
                c.state.settings.defaultRetryAfter });
        return;
    }
    ++c.state.counters.confirmations;
    call.step = call_step::Confirm;
    call.confirmSince = c.now;
    if (!call.answer.hasBegun) {
        limitWait(c, call);
    }
    c.state.unconfirmed.insert(call.exchange);
    controller_client::hastenPoll(c.state.configuration.poll, c.now);
}

static std::chrono::milliseconds pollInterval(const context& c)
{
    const auto& state = c.state;
    const bool isComplete = state.configuration.table.version != 0 && !state.servers.servers.empty();
    if (!isComplete) {
        return state.settings.firstPollInterval;
    }
    return state.room.loads.empty() ? state.settings.configPollInterval
                                    : std::min(state.settings.loadReportInterval, state.settings.configPollInterval);
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
    reportLoads(c, poll);
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
    applyEvacuations(c, update);
    applyCrashRecords(c, update);
    applyAllowances(c, update, sentAt);
    applyLoads(c, update);
    configuration.membershipEpoch = update.membershipEpoch;
    configuration.membershipVersion = update.membershipVersion;
    updateReadiness(c);
    continueConfirmed(c, sentAt);
}

} // namespace cuminledge::core::forward
