#include "server_limits.hpp"

#include <algorithm>

#include <core/forward/match_route.hpp>

namespace cuminledge::core::forward {

namespace {

    limit_division division(context& c)
    {
        return { c.state.settings.allowances, c.state.servers.gatewayCount, c.random };
    }

    server_entry* findStart(context& c, const std::string& server, std::uint64_t incarnation)
    {
        const auto found = c.state.servers.servers.find(server);
        const bool isSame = found != c.state.servers.servers.end() && found->second.record.incarnation == incarnation;
        return isSame ? &found->second : nullptr;
    }

    void logLimit(context& c, const server_entry& server, const char* source)
    {
        const auto& allowance = server.allowance;
        c.out.emplace_back(write_log { log_level::Info, "server_limit",
            { { "server", server.record.backend }, { "source", source },
                { "requests_per_s", allowance.isLimited ? std::to_string(allowance.requestsPerSecond) : "none" },
                { "gateways", std::to_string(c.state.servers.gatewayCount) } } });
    }

    /// Logs the limit if the change makes a difference.
    template <typename Change>
    void changeLimit(context& c, server_entry& server, const char* source, const Change& change)
    {
        const auto before = server.allowance;
        change(server.allowance);
        const auto& after = server.allowance;
        if (before.isLimited != after.isLimited || (after.isLimited && before.requestsPerSecond != after.requestsPerSecond)) {
            logLimit(c, server, source);
        }
    }

    /// @return how many requests the gateway is expected to get for the service until its next poll is answered.
    double wantedUntilNextPoll(const context& c, const std::string& service)
    {
        constexpr int intervals = 2;
        constexpr double minWanted = 0.02; // the first request after a pause finds a server too
        const auto time = std::chrono::duration<double>(c.state.settings.configPollInterval * intervals);
        const auto meter = c.state.demand.find(service);
        const auto rate = meter == c.state.demand.end() ? 0 : meter->second.perSecond;
        return std::max(rate * time.count(), minWanted);
    }

    wire::server_limit_report makeReport(const context& c, const server_entry& server)
    {
        const auto& allowance = server.allowance;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(c.now - allowance.observedAt);
        return { server.record.backend, server.record.incarnation, allowance.isLimited, allowance.requestsPerSecond, age,
            allowance.sent, wantedUntilNextPoll(c, server.record.service) };
    }

    /// An end of a limit is reported for a while, until every controller that may lead has heard of it.
    bool isReported(const context& c, const request_allowance& allowance)
    {
        constexpr std::chrono::seconds endReportTime { 5 };
        return allowance.isLimited || (allowance.hasBeenLimited && c.now - allowance.observedAt < endReportTime);
    }

    /// A server that has turned cold gets nothing until the controllers grant a part of its limit.
    void limitColdServers(context& c)
    {
        for (auto& [id, server] : c.state.servers.servers) {
            const auto* service = findService(c.state.configuration.table, server.record.service);
            const bool isCold = server.record.isCold && service != nullptr && service->coldRequestsPerSecond > 0;
            if (isCold && !server.allowance.isLimited) {
                changeLimit(c, server, "announcement", [&](request_allowance& allowance) {
                    observeLimit(allowance, service->coldRequestsPerSecond, c.now, division(c));
                });
            }
        }
    }

} // namespace

void noteStatedLimit(context& c, const forward_call& call, const upstream_head& head)
{
    auto* server = findStart(c, call.server, call.serverIncarnation);
    const bool isUnreadable = head.statesLimit && head.requestsPerSecond < 0;
    const bool isColdLimit = server != nullptr && server->record.isCold && !head.statesLimit;
    if (server == nullptr || isUnreadable || isColdLimit) {
        return;
    }
    changeLimit(c, *server, "answer", [&](request_allowance& allowance) {
        if (head.statesLimit) {
            observeLimit(allowance, head.requestsPerSecond, c.now, division(c));
        } else {
            observeNoLimit(allowance, c.now);
        }
    });
}

void recordDemand(context& c, const std::string& service)
{
    ++c.state.demand[service].count;
}

void recordSendToServer(context& c, const std::string& server)
{
    const auto found = c.state.servers.servers.find(server);
    if (found != c.state.servers.servers.end()) {
        recordSend(found->second.allowance, c.now, division(c));
    }
}

std::vector<wire::server_limit_report> makeLimitReports(context& c)
{
    for (auto& [service, meter] : c.state.demand) {
        measure(meter, c.now);
    }
    std::vector<wire::server_limit_report> reports;
    for (const auto& [id, server] : c.state.servers.servers) {
        if (!server.isGone && isReported(c, server.allowance)) {
            reports.push_back(makeReport(c, server));
        }
    }
    return reports;
}

void applyAllowances(context& c, const wire::config_update& update, time_point pollSentAt)
{
    const bool isCoordinated = update.gatewayCount != 0;
    if (isCoordinated) {
        c.state.servers.gatewayCount = update.gatewayCount;
    }
    limitColdServers(c);
    std::set<std::string> granted;
    for (const auto& grant : update.allowances) {
        granted.insert(grant.server);
        if (auto* server = findStart(c, grant.server, grant.incarnation)) {
            changeLimit(c, *server, "controllers", [&](request_allowance& allowance) {
                applyGrant(allowance, grant, pollSentAt, c.now, division(c));
            });
        }
    }
    if (!isCoordinated) {
        return;
    }
    for (auto& [id, server] : c.state.servers.servers) {
        // The poll told of the limit, and another gateway knows that it has ended.
        const bool hasEnded = server.allowance.isLimited && !granted.contains(id) && server.allowance.observedAt <= pollSentAt;
        if (hasEnded) {
            changeLimit(c, server, "controllers", [&](request_allowance& allowance) { observeNoLimit(allowance, pollSentAt); });
        }
    }
}

std::chrono::milliseconds retryAfterLimits(context& c, const std::string& service)
{
    double total = 0;
    for (const auto& [id, server] : c.state.servers.servers) {
        const bool isLimited = server.record.service == service && !server.isGone && !server.record.draining && server.allowance.isLimited;
        total += isLimited ? std::max(server.allowance.requestsPerSecond, c.state.settings.allowances.minRequestsPerSecond) : 0;
    }
    const auto advice = c.state.settings.defaultRetryAfter;
    return total > 0 ? std::max(equalShareInterval(total, division(c)), advice) : advice;
}

} // namespace cuminledge::core::forward
