#include <core/limits/server_limit_authority.hpp>

#include <algorithm>
#include <cmath>

namespace cuminledge::core::limits {

namespace {

    using seconds = std::chrono::duration<double>;

    bool hasLimit(const limited_server& server)
    {
        return server.isLimited || server.coldRequestsPerSecond > 0;
    }

    /// @return the lower of the server's limits, in requests a second.
    double limitOf(const limited_server& server)
    {
        const bool isCold = server.coldRequestsPerSecond > 0;
        if (isCold && server.isLimited) {
            return std::min(server.coldRequestsPerSecond, server.requestsPerSecond);
        }
        return isCold ? server.coldRequestsPerSecond : server.requestsPerSecond;
    }

    double rateOf(const server_limit_authority& authority, const limited_server& server)
    {
        return std::max(limitOf(server), authority.settings.minRequestsPerSecond);
    }

    void restart(limited_server& server, std::uint64_t incarnation, time_point now)
    {
        server.incarnation = incarnation;
        server.coldRequestsPerSecond = 0;
        server.isLimited = false;
        server.shares.clear();
        server.tokens = 0;
        server.refilledAt = now;
    }

    void refill(const server_limit_authority& authority, limited_server& server, time_point now)
    {
        const auto rate = rateOf(authority, server);
        const auto capacity = std::max(rate * seconds(authority.settings.burst).count(), authority.settings.minBurstRequests);
        server.tokens = std::min(server.tokens + rate * seconds(now - server.refilledAt).count(), capacity);
        server.refilledAt = now;
    }

    /// @return whether the report tells of a later answer than the one that is known.
    bool isNewer(const limited_server& server, const wire::server_limit_report& report, time_point now)
    {
        return report.incarnation > server.incarnation
            || (report.incarnation == server.incarnation && now - report.observedAge >= server.observedAt);
    }

    void observe(limited_server& server, const wire::server_limit_report& report, time_point now)
    {
        if (report.incarnation != server.incarnation || !hasLimit(server)) {
            restart(server, report.incarnation, now);
        }
        server.isLimited = report.isLimited;
        server.requestsPerSecond = report.requestsPerSecond;
        server.observedAt = now - report.observedAge;
    }

    /// Returns what the gateway did not use of its last grant; what it sent beyond the grant is taken off.
    void settle(limited_server& server, gateway_share& share, const wire::server_limit_report& report)
    {
        const bool isRestarted = report.sent < share.sent;
        if (!isRestarted) {
            server.tokens += static_cast<double>(share.maxSent) - static_cast<double>(report.sent);
        }
        share.sent = report.sent;
        share.maxSent = report.sent;
        share.wanted = std::isfinite(report.wanted) ? std::max(report.wanted, 0.0) : 0;
    }

    double totalWanted(const server_limit_authority& authority, const limited_server& server, time_point now)
    {
        double total = 0;
        for (const auto& [gateway, share] : server.shares) {
            const bool isRecent = now - share.polledAt < authority.settings.gatewayTimeout;
            total += isRecent ? share.wanted : 0;
        }
        return total;
    }

    /// Divides the tokens in proportion to the demand. Rounds at random, so that shares below one request are not lost.
    std::uint64_t grant(limited_server& server, const gateway_share& share, double wantedByAll, std::mt19937_64& random)
    {
        const auto whole = std::floor(server.tokens);
        if (share.wanted <= 0 || whole < 1) {
            return 0;
        }
        std::uniform_real_distribution<double> draw(0, 1);
        const auto part = server.tokens * share.wanted / std::max(wantedByAll, share.wanted);
        const auto rounded = std::floor(part) + (draw(random) < part - std::floor(part) ? 1 : 0);
        const auto granted = std::min({ rounded, whole, std::ceil(share.wanted) });
        server.tokens -= granted;
        return static_cast<std::uint64_t>(granted);
    }

    void takeReport(server_limit_authority& authority, const std::string& gateway,
        const wire::server_limit_report& report, time_point now, std::mt19937_64& random)
    {
        const bool isNew = !authority.servers.contains(report.server);
        if (isNew && !report.isLimited) {
            return;
        }
        auto& server = authority.servers[report.server];
        if (isNew || isNewer(server, report, now)) {
            observe(server, report, now);
        }
        server.reportedAt = now;
        if (!hasLimit(server) || server.incarnation != report.incarnation) {
            return;
        }
        const bool isNewShare = !server.shares.contains(gateway);
        auto& share = server.shares[gateway];
        if (isNewShare) {
            share.sent = report.sent;
            share.maxSent = report.sent;
        }
        refill(authority, server, now);
        settle(server, share, report);
        share.polledAt = now;
        share.maxSent += grant(server, share, totalWanted(authority, server, now), random);
    }

    void removeOld(server_limit_authority& authority, time_point now)
    {
        const auto& settings = authority.settings;
        std::erase_if(authority.gateways, [&](const auto& entry) { return now - entry.second >= settings.gatewayTimeout; });
        std::erase_if(authority.servers, [&](const auto& entry) { return now - entry.second.reportedAt >= settings.serverTimeout; });
        for (auto& [id, server] : authority.servers) {
            std::erase_if(server.shares, [&](const auto& entry) { return now - entry.second.polledAt >= settings.serverTimeout; });
        }
    }

} // namespace

std::vector<wire::server_allowance> grantAllowances(server_limit_authority& authority, const std::string& gateway,
    const std::vector<wire::server_limit_report>& reports, time_point now, std::mt19937_64& random)
{
    removeOld(authority, now);
    authority.gateways[gateway] = now;
    for (const auto& report : reports) {
        takeReport(authority, gateway, report, now, random);
    }
    std::vector<wire::server_allowance> allowances;
    for (const auto& [id, server] : authority.servers) {
        if (!hasLimit(server)) {
            continue;
        }
        const auto share = server.shares.find(gateway);
        const auto maxSent = share == server.shares.end() ? 0 : share->second.maxSent;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - server.observedAt);
        allowances.push_back({ id, server.incarnation, limitOf(server), age, maxSent });
    }
    return allowances;
}

void setColdLimit(server_limit_authority& authority, const std::string& server, std::uint64_t incarnation,
    double requestsPerSecond, time_point now)
{
    const bool isNew = !authority.servers.contains(server);
    if (isNew && requestsPerSecond <= 0) {
        return;
    }
    auto& limited = authority.servers[server];
    if (isNew || limited.incarnation != incarnation || !hasLimit(limited)) {
        restart(limited, incarnation, now);
        limited.observedAt = now;
    }
    limited.coldRequestsPerSecond = std::max(requestsPerSecond, 0.0);
    limited.reportedAt = now;
}

std::uint32_t countGateways(const server_limit_authority& authority, time_point now)
{
    const bool isWarm = now - authority.startedAt >= authority.settings.warmUpTime;
    return isWarm ? static_cast<std::uint32_t>(authority.gateways.size()) : 0;
}

} // namespace cuminledge::core::limits
