#include <core/routing/choose_backend.hpp>

#include <algorithm>
#include <limits>

namespace cuminledge::core::routing {

namespace {

    using seconds = std::chrono::duration<double>;

    bool isExcluded(const route_request& request, const std::string& backend)
    {
        const auto& exclude = request.exclude;
        return std::find(exclude.begin(), exclude.end(), backend) != exclude.end();
    }

    bool isUsable(const backend_table& table, const route_request& request, backend_index index)
    {
        const auto& row = table.rows[index];
        const bool isEvacuated = table.evacuatedDomains.contains(table.details[index].failureDomain);
        if (!row.inUse || row.draining || isEvacuated) {
            return false;
        }
        const auto& backend = table.details[index].backend;
        return !isExcluded(request, backend) && (!request.isReachable || request.isReachable(backend));
    }

    /// @return whether the server serves the model; the server with the cache may have stopped serving it.
    bool serves(const backend_table& table, const route_request& request, backend_index index)
    {
        const auto& models = table.details[index].models;
        return std::find(models.begin(), models.end(), request.model) != models.end();
    }

    bool isEjected(const backend_table& table, backend_index index, time_point now)
    {
        return table.settings.useEjection && table.rows[index].ejectedUntil > now;
    }

    /// @return the share of the normal load that a new or restarted server receives, from 0.1 to 1.
    double slowStartShare(const backend_table& table, const backend_row& row, time_point now)
    {
        constexpr double minShare = 0.1;
        if (!table.settings.useSlowStart || row.slowStartFrom == time_point {}) {
            return 1;
        }
        const seconds age = now - row.slowStartFrom;
        return std::clamp(age / seconds(table.settings.slowStart), minShare, 1.0);
    }

    double prefillRate(const backend_table& table, const backend_row& row)
    {
        return row.prefillTokensPerSecond > 0 ? row.prefillTokensPerSecond
                                              : table.settings.defaultPrefillTokensPerSecond;
    }

    double decodeRate(const backend_table& table, const backend_row& row)
    {
        return row.decodeTokensPerSecond > 0 ? row.decodeTokensPerSecond
                                             : table.settings.defaultDecodeTokensPerSecond;
    }

    /// @return the predicted wait of a new attempt before its prefill begins.
    seconds predictedQueueTime(const backend_table& table, const backend_row& row, double decodeSeconds)
    {
        const double own = table.settings.useOwnInFlight ? row.ownSinceReport : 0;
        const double ownPrefill = table.settings.useOwnInFlight ? row.ownPrefillSinceReport : 0;
        const double occupied = row.running + row.waiting + own;
        const double excess = std::max(0.0, occupied + 1 - row.batchLimit);
        const double slotTurnover = decodeSeconds / row.batchLimit;
        return seconds(excess * slotTurnover + (row.waitingPrefillTokens + ownPrefill) / prefillRate(table, row));
    }

    struct prediction {
        backend_choice choice;
        seconds queue { 0 };
        seconds total { 0 };
    };

    prediction predict(const backend_table& table, const route_request& request, backend_index index,
        backend_index cacheBackend, time_point now)
    {
        const auto& row = table.rows[index];
        const auto& settings = table.settings;
        const double decodeSeconds = static_cast<double>(request.expectedTokens) / decodeRate(table, row);
        prediction predicted;
        predicted.choice.index = index;
        predicted.queue = predictedQueueTime(table, row, decodeSeconds);
        const bool hasCache = index == cacheBackend;
        const double history = hasCache ? 0 : static_cast<double>(request.historyTokens);
        double historySeconds = history / prefillRate(table, row);
        predicted.choice.prefillTokens = request.deltaTokens + static_cast<std::int64_t>(history);
        const seconds transferTime = seconds(settings.transferSetup) + seconds(history / settings.transferTokensPerSecond);
        if (settings.useTransfer && cacheBackend != noBackend && !hasCache && history > 0 && transferTime.count() < historySeconds) {
            historySeconds = transferTime.count();
            predicted.choice.transferCache = true;
            predicted.choice.prefillTokens = request.deltaTokens;
        }
        const double delta = static_cast<double>(request.deltaTokens) / prefillRate(table, row);
        // A batch near its limit slows every sequence in it, by a factor of up to 1.5; half of the reported batch is the
        // usual case.
        const double own = settings.useOwnInFlight ? row.ownSinceReport : 0;
        const double batchSlowdown = 1 + 0.5 * std::min(1.0, (row.running + own) / row.batchLimit);
        predicted.total = (predicted.queue + seconds(historySeconds + delta + decodeSeconds * batchSlowdown)) / slowStartShare(table, row, now);
        predicted.choice.predicted = std::chrono::duration_cast<std::chrono::microseconds>(predicted.total);
        return predicted;
    }

    struct candidate_search {
        const backend_table& table;
        const route_request& request;
        backend_index cacheBackend;
        time_point now;
        prediction best;
        bool found = false;

        void consider(backend_index index)
        {
            const auto predicted = predict(table, request, index, cacheBackend, now);
            if (!found || predicted.total < best.total) {
                best = predicted;
                found = true;
            }
        }
    };

    enum class search_scope {
        OwnDomain,
        OwnRegion,
        Anywhere
    };

    bool isWithin(const backend_table& table, const domain_members& domain, search_scope scope)
    {
        switch (scope) {
        case search_scope::OwnDomain:
            return domain.failureDomain == table.ownFailureDomain;
        case search_scope::OwnRegion:
            return domain.region == table.ownRegion;
        case search_scope::Anywhere:
            break;
        }
        return true;
    }

    std::size_t countWithin(const backend_table& table, const std::vector<domain_members>& domains, search_scope scope)
    {
        std::size_t count = 0;
        for (const auto& domain : domains) {
            count += isWithin(table, domain, scope) ? domain.rows.size() : 0;
        }
        return count;
    }

    backend_index rowAt(
        const backend_table& table, const std::vector<domain_members>& domains, search_scope scope, std::size_t position)
    {
        for (const auto& domain : domains) {
            if (!isWithin(table, domain, scope)) {
                continue;
            }
            if (position < domain.rows.size()) {
                return domain.rows[position];
            }
            position -= domain.rows.size();
        }
        return noBackend;
    }

    /// Accepts a server in slow start with the probability of its share, so that not every gateway chooses it at once.
    bool passesSlowStart(const backend_table& table, backend_index index, time_point now, std::mt19937_64& random)
    {
        const double share = slowStartShare(table, table.rows[index], now);
        return share >= 1 || std::uniform_real_distribution<double>(0, 1)(random) < share;
    }

    void considerAll(candidate_search& search, const std::vector<domain_members>& domains, search_scope scope, bool withEjected)
    {
        for (const auto& domain : domains) {
            if (!isWithin(search.table, domain, scope)) {
                continue;
            }
            for (const auto index : domain.rows) {
                if (isUsable(search.table, search.request, index)
                    && (withEjected || !isEjected(search.table, index, search.now))) {
                    search.consider(index);
                }
            }
        }
    }

    /// Considers random candidates; allows extra draws, because some hit servers that are unusable.
    void considerRandom(
        candidate_search& search, const std::vector<domain_members>& domains, search_scope scope, std::mt19937_64& random)
    {
        const auto count = countWithin(search.table, domains, scope);
        const auto wanted = search.table.settings.randomCandidates;
        if (count <= wanted || wanted == 0) {
            considerAll(search, domains, scope, false);
            return;
        }
        std::uniform_int_distribution<std::size_t> draw(0, count - 1);
        std::uint32_t considered = 0;
        backend_index last = noBackend;
        for (std::uint32_t tries = 0; tries < 4 * wanted && considered < wanted; ++tries) {
            const auto index = rowAt(search.table, domains, scope, draw(random));
            if (index == last || !isUsable(search.table, search.request, index)
                || isEjected(search.table, index, search.now)
                || !passesSlowStart(search.table, index, search.now, random)) {
                continue;
            }
            search.consider(index);
            last = index;
            ++considered;
        }
        if (considered == 0) {
            considerAll(search, domains, scope, false);
        }
    }

    std::vector<backend_index> usableRows(const backend_table& table, const route_request& request)
    {
        std::vector<backend_index> members;
        const auto found = table.byModel.find(request.model);
        if (found == table.byModel.end()) {
            return members;
        }
        for (const auto& domain : found->second) {
            for (const auto index : domain.rows) {
                if (isUsable(table, request, index)) {
                    members.push_back(index);
                }
            }
        }
        std::sort(members.begin(), members.end());
        return members;
    }

    backend_choice makeChoice(const route_request& request, backend_index index, bool hasCache)
    {
        backend_choice choice;
        choice.index = index;
        choice.prefillTokens = request.deltaTokens + (hasCache ? 0 : request.historyTokens);
        return choice;
    }

} // namespace

backend_choice chooseBackend(
    backend_table& table, const route_request& request, time_point now, std::mt19937_64& random)
{
    ++table.decisions;
    const auto domains = table.byModel.find(request.model);
    if (domains == table.byModel.end()) {
        ++table.decisionsWithoutBackend;
        return {};
    }
    const auto cacheBackend = request.cacheBackend.empty() ? noBackend : findBackend(table, request.cacheBackend);
    candidate_search search { table, request, cacheBackend, now, {}, false };
    const bool isCacheBackendUsable = cacheBackend != noBackend && serves(table, request, cacheBackend) && isUsable(table, request, cacheBackend);
    if (table.settings.useCacheAffinity && isCacheBackendUsable && !isEjected(table, cacheBackend, now)) {
        search.consider(cacheBackend);
    }
    const auto first = table.settings.preferOwnFailureDomain ? search_scope::OwnDomain : search_scope::Anywhere;
    for (auto scope = first;; scope = scope == search_scope::OwnDomain ? search_scope::OwnRegion : search_scope::Anywhere) {
        considerRandom(search, domains->second, scope, random);
        const bool isQueueShort = search.found && search.best.queue <= seconds(table.settings.spillover);
        if (isQueueShort || scope == search_scope::Anywhere) {
            break;
        }
    }
    if (!search.found) {
        considerAll(search, domains->second, search_scope::Anywhere, true);
    }
    if (!search.found) {
        ++table.decisionsWithoutBackend;
        return {};
    }
    return search.best.choice;
}

backend_choice predictAt(
    const backend_table& table, const route_request& request, backend_index index, time_point now)
{
    const auto cacheBackend = request.cacheBackend.empty() ? noBackend : findBackend(table, request.cacheBackend);
    return predict(table, request, index, cacheBackend, now).choice;
}

//------------------------------------------------------------------------------------------------------------------
// Baseline policies
//------------------------------------------------------------------------------------------------------------------

backend_choice chooseRoundRobin(const backend_table& table, const route_request& request, std::uint64_t& turn)
{
    const auto members = usableRows(table, request);
    if (members.empty()) {
        return {};
    }
    const auto index = members[turn++ % members.size()];
    return makeChoice(request, index, table.details[index].backend == request.cacheBackend);
}

backend_choice chooseByCacheAffinity(
    const backend_table& table, const route_request& request, std::uint64_t& turn)
{
    const auto cacheBackend = request.cacheBackend.empty() ? noBackend : findBackend(table, request.cacheBackend);
    if (cacheBackend != noBackend && serves(table, request, cacheBackend) && isUsable(table, request, cacheBackend)) {
        return makeChoice(request, cacheBackend, true);
    }
    return chooseRoundRobin(table, request, turn);
}

backend_choice chooseLeastLoaded(const backend_table& table, const route_request& request)
{
    const auto members = usableRows(table, request);
    if (members.empty()) {
        return {};
    }
    const auto load = [&table](backend_index index) { return table.rows[index].running + table.rows[index].waiting; };
    const auto index = *std::min_element(members.begin(), members.end(),
        [&load](backend_index left, backend_index right) { return load(left) < load(right); });
    return makeChoice(request, index, table.details[index].backend == request.cacheBackend);
}

} // namespace cuminledge::core::routing
