#include <core/routing/backend_table.hpp>

#include <algorithm>
#include <set>

namespace cuminledge::core::routing {

namespace {

    std::uint16_t locationNumber(backend_table& table, const std::string& location)
    {
        const auto next = static_cast<std::uint16_t>(table.locationNumbers.size());
        return table.locationNumbers.try_emplace(location, next).first->second;
    }

    domain_members& findOrAddDomain(
        std::vector<domain_members>& domains, std::uint16_t failureDomain, std::uint16_t region)
    {
        for (auto& domain : domains) {
            if (domain.failureDomain == failureDomain) {
                return domain;
            }
        }
        domains.push_back({ failureDomain, region, {} });
        return domains.back();
    }

    void addToIndex(backend_table& table, backend_index index)
    {
        const auto& row = table.rows[index];
        for (const auto& model : table.details[index].models) {
            findOrAddDomain(table.byModel[model], row.failureDomain, row.region).rows.push_back(index);
        }
    }

    void removeFromIndex(backend_table& table, backend_index index)
    {
        for (const auto& model : table.details[index].models) {
            auto found = table.byModel.find(model);
            if (found == table.byModel.end()) {
                continue;
            }
            for (auto& domain : found->second) {
                std::erase(domain.rows, index);
            }
            std::erase_if(found->second, [](const domain_members& domain) { return domain.rows.empty(); });
            if (found->second.empty()) {
                table.byModel.erase(found);
            }
        }
    }

    void removeBackend(backend_table& table, const std::string& backend)
    {
        const auto found = table.byId.find(backend);
        if (found == table.byId.end()) {
            return;
        }
        const auto index = found->second;
        removeFromIndex(table, index);
        table.rows[index] = {};
        table.details[index] = {};
        table.freeRows.push_back(index);
        table.byId.erase(found);
    }

    backend_index addRow(backend_table& table, const std::string& backend)
    {
        backend_index index = 0;
        if (table.freeRows.empty()) {
            index = static_cast<backend_index>(table.rows.size());
            table.rows.emplace_back();
            table.details.emplace_back();
        } else {
            index = table.freeRows.back();
            table.freeRows.pop_back();
        }
        table.byId[backend] = index;
        table.details[index].backend = backend;
        return index;
    }

    void applyRecord(backend_table& table, const wire::backend_record& record, time_point now)
    {
        auto index = findBackend(table, record.backend);
        const bool isNew = index == noBackend;
        if (!isNew && record.incarnation < table.details[index].incarnation) {
            return;
        }
        if (isNew) {
            index = addRow(table, record.backend);
        } else {
            removeFromIndex(table, index);
        }
        auto& row = table.rows[index];
        auto& detail = table.details[index];
        const bool isNewStart = isNew || record.incarnation != detail.incarnation || (row.draining && !record.draining);
        if (isNewStart) {
            row = {};
            row.slowStartFrom = now;
            detail.unreportedAttempts.clear();
        }
        row.inUse = true;
        row.draining = record.draining;
        row.isService = record.kind == wire::backend_kind::Service;
        row.batchLimit = static_cast<std::uint16_t>(std::clamp<std::uint32_t>(record.batchLimit, 1, 0xffff));
        row.failureDomain = locationNumber(table, "domain " + record.region + '/' + record.failureDomain);
        row.region = locationNumber(table, "region " + record.region);
        detail.sidecarAddress = record.sidecarAddress;
        detail.incarnation = record.incarnation;
        detail.models = record.models;
        detail.cacheTokens = record.cacheTokens;
        detail.failureDomain = record.failureDomain;
        addToIndex(table, index);
    }

    /// Limits the ejected share of a model's servers, because too few remaining servers would be overloaded and fail as well.
    bool canEject(const backend_table& table, backend_index index, time_point now)
    {
        for (const auto& model : table.details[index].models) {
            const auto found = table.byModel.find(model);
            std::size_t total = 0;
            std::size_t ejected = 0;
            for (const auto& domain : found->second) {
                total += domain.rows.size();
                ejected += static_cast<std::size_t>(std::count_if(domain.rows.begin(), domain.rows.end(),
                    [&table, now](backend_index other) { return table.rows[other].ejectedUntil > now; }));
            }
            if (static_cast<double>(ejected + 1) > table.settings.maxEjectedShare * static_cast<double>(total)) {
                return false;
            }
        }
        return true;
    }

    void eject(backend_table& table, backend_index index, time_point now)
    {
        constexpr std::uint8_t maxDoublings = 5;
        auto& row = table.rows[index];
        row.ejectedUntil = now + table.settings.ejection * (1 << std::min(row.ejections, maxDoublings));
        row.slowStartFrom = row.ejectedUntil;
        row.ejections = std::min<std::uint8_t>(row.ejections + 1, maxDoublings);
        row.consecutiveFailures = 0;
        ++table.ejectionCount;
    }

    void decrementInFlight(backend_row& row)
    {
        if (row.ownInFlight > 0) {
            --row.ownInFlight;
        }
    }

    void updateUnreportedLoad(backend_row& row, const backend_detail& detail)
    {
        constexpr std::size_t maxCount = 0xffff;
        row.ownSinceReport = static_cast<std::uint16_t>(std::min(detail.unreportedAttempts.size(), maxCount));
        row.ownPrefillSinceReport = 0;
        for (const auto& attempt : detail.unreportedAttempts) {
            row.ownPrefillSinceReport += attempt.prefillTokens;
        }
    }

    /// Drops the oldest unreported attempts beyond the number in flight, as those must have ended.
    void dropEndedAttempts(backend_row& row, backend_detail& detail)
    {
        while (detail.unreportedAttempts.size() > row.ownInFlight) {
            detail.unreportedAttempts.pop_front();
        }
        updateUnreportedLoad(row, detail);
    }

} // namespace

backend_table makeBackendTable(
    const std::string& region, const std::string& failureDomain, const routing_settings& settings)
{
    backend_table table;
    table.settings = settings;
    table.ownFailureDomain = locationNumber(table, "domain " + region + '/' + failureDomain);
    table.ownRegion = locationNumber(table, "region " + region);
    return table;
}

void applyMembership(
    backend_table& table, const std::vector<wire::backend_record>& records, bool complete, time_point now)
{
    std::set<std::string> listed;
    for (const auto& record : records) {
        if (record.withdrawn) {
            removeBackend(table, record.backend);
            continue;
        }
        listed.insert(record.backend);
        applyRecord(table, record, now);
    }
    if (!complete) {
        return;
    }
    std::vector<std::string> removed;
    for (const auto& [backend, index] : table.byId) {
        if (listed.count(backend) == 0) {
            removed.push_back(backend);
        }
    }
    for (const auto& backend : removed) {
        removeBackend(table, backend);
    }
}

backend_index findBackend(const backend_table& table, const std::string& backend)
{
    const auto found = table.byId.find(backend);
    return found == table.byId.end() ? noBackend : found->second;
}

void onAttemptStarted(
    backend_table& table, const std::string& backend, std::int64_t prefillTokens, time_point now)
{
    const auto index = findBackend(table, backend);
    if (index == noBackend) {
        return;
    }
    auto& row = table.rows[index];
    ++row.ownInFlight;
    table.details[index].unreportedAttempts.push_back({ now, static_cast<float>(prefillTokens) });
    updateUnreportedLoad(row, table.details[index]);
}

void onAttemptFinished(backend_table& table, const std::string& backend)
{
    const auto index = findBackend(table, backend);
    if (index == noBackend) {
        return;
    }
    auto& row = table.rows[index];
    decrementInFlight(row);
    dropEndedAttempts(row, table.details[index]);
    row.consecutiveFailures = 0;
    row.ejections = 0;
}

void onAttemptFailed(backend_table& table, const std::string& backend, time_point now)
{
    const auto index = findBackend(table, backend);
    if (index == noBackend) {
        return;
    }
    auto& row = table.rows[index];
    decrementInFlight(row);
    dropEndedAttempts(row, table.details[index]);
    row.consecutiveFailures = static_cast<std::uint8_t>(std::min(row.consecutiveFailures + 1, 0xff));
    const bool tooMany = row.consecutiveFailures >= table.settings.failuresBeforeEjection;
    if (table.settings.useEjection && tooMany && row.ejectedUntil <= now && canEject(table, index, now)) {
        eject(table, index, now);
    }
}

void onAttemptDropped(backend_table& table, const std::string& backend)
{
    const auto index = findBackend(table, backend);
    if (index != noBackend) {
        decrementInFlight(table.rows[index]);
        dropEndedAttempts(table.rows[index], table.details[index]);
    }
}

void onLoadReport(backend_table& table, const std::string& backend, const wire::load_report& report, time_point now,
    std::chrono::milliseconds age)
{
    constexpr std::uint32_t maxCount = 0xffff;
    const auto index = findBackend(table, backend);
    if (index == noBackend) {
        return;
    }
    auto& row = table.rows[index];
    row.reportedAt = now;
    row.running = static_cast<std::uint16_t>(std::min(report.running, maxCount));
    row.waiting = static_cast<std::uint16_t>(std::min(report.waiting, maxCount));
    row.waitingPrefillTokens = static_cast<float>(report.waitingPrefillTokens);
    row.prefillTokensPerSecond = static_cast<float>(report.prefillTokensPerSecond);
    row.decodeTokensPerSecond = static_cast<float>(report.decodeTokensPerSecond);
    auto& detail = table.details[index];
    while (!detail.unreportedAttempts.empty() && detail.unreportedAttempts.front().sentAt <= now - age) {
        detail.unreportedAttempts.pop_front();
    }
    updateUnreportedLoad(row, detail);
}

} // namespace cuminledge::core::routing
