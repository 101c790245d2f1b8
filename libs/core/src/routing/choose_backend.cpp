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
        if (!row.inUse || row.draining) {
            return false;
        }
        const auto& backend = table.details[index].backend;
        return !isExcluded(request, backend) && (!request.isReachable || request.isReachable(backend));
    }

    /// A home may have stopped serving the model since.
    bool serves(const backend_table& table, const route_request& request, backend_index index)
    {
        const auto& models = table.details[index].models;
        return std::find(models.begin(), models.end(), request.model) != models.end();
    }

    bool isEjected(const backend_table& table, backend_index index, time_point now)
    {
        return table.settings.useEjection && table.rows[index].ejectedUntil > now;
    }

    /// @return the share of its normal load that a new or returned server is given, from 0.1 to 1.
    double slowStartShare(const backend_table& table, const backend_row& row, time_point now)
    {
        constexpr double leastShare = 0.1;
        if (!table.settings.useSlowStart || row.slowStartFrom == time_point {}) {
            return 1;
        }
        const seconds age = now - row.slowStartFrom;
        return std::clamp(age / seconds(table.settings.slowStart), leastShare, 1.0);
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

    /// @return how long a new attempt would wait before its own prefill begins.
    seconds predictedQueue(const backend_table& table, const backend_row& row, double decodeSeconds)
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
        backend_index home, time_point now)
    {
        const auto& row = table.rows[index];
        const auto& settings = table.settings;
        const double decodeSeconds = static_cast<double>(request.expectedTokens) / decodeRate(table, row);
        prediction p;
        p.choice.index = index;
        p.queue = predictedQueue(table, row, decodeSeconds);
        const bool isHome = index == home;
        const double history = isHome ? 0 : static_cast<double>(request.historyTokens);
        double move = history / prefillRate(table, row);
        p.choice.prefillTokens = request.deltaTokens + static_cast<std::int64_t>(history);
        const seconds copy = seconds(settings.transferSetup) + seconds(history / settings.transferTokensPerSecond);
        if (settings.useTransfer && home != noBackend && !isHome && history > 0 && copy.count() < move) {
            move = copy.count();
            p.choice.transferCache = true;
            p.choice.prefillTokens = request.deltaTokens;
        }
        const double delta = static_cast<double>(request.deltaTokens) / prefillRate(table, row);
        // A batch near its limit slows every sequence in it; half of the reported batch is the usual case.
        const double own = settings.useOwnInFlight ? row.ownSinceReport : 0;
        const double crowding = 1 + 0.5 * std::min(1.0, (row.running + own) / row.batchLimit);
        p.total = (p.queue + seconds(move + delta + decodeSeconds * crowding)) / slowStartShare(table, row, now);
        p.choice.predicted = std::chrono::duration_cast<std::chrono::microseconds>(p.total);
        return p;
    }

    struct candidate_search {
        const backend_table& table;
        const route_request& request;
        backend_index home;
        time_point now;
        prediction best;
        bool found = false;

        void consider(backend_index index)
        {
            const auto p = predict(table, request, index, home, now);
            if (!found || p.total < best.total) {
                best = p;
                found = true;
            }
        }
    };

    enum class reach {
        OwnDomain,
        OwnRegion,
        Anywhere
    };

    bool isWithin(const backend_table& table, const place_members& place, reach r)
    {
        switch (r) {
        case reach::OwnDomain:
            return place.failureDomain == table.ownFailureDomain;
        case reach::OwnRegion:
            return place.region == table.ownRegion;
        case reach::Anywhere:
            break;
        }
        return true;
    }

    std::size_t countWithin(const backend_table& table, const std::vector<place_members>& places, reach r)
    {
        std::size_t count = 0;
        for (const auto& place : places) {
            count += isWithin(table, place, r) ? place.rows.size() : 0;
        }
        return count;
    }

    backend_index nth(
        const backend_table& table, const std::vector<place_members>& places, reach r, std::size_t position)
    {
        for (const auto& place : places) {
            if (!isWithin(table, place, r)) {
                continue;
            }
            if (position < place.rows.size()) {
                return place.rows[position];
            }
            position -= place.rows.size();
        }
        return noBackend;
    }

    /// A server in slow start is drawn with the probability of its share, so that not every gateway picks it at once.
    bool passesSlowStart(const backend_table& table, backend_index index, time_point now, std::mt19937_64& random)
    {
        const double share = slowStartShare(table, table.rows[index], now);
        return share >= 1 || std::uniform_real_distribution<double>(0, 1)(random) < share;
    }

    void considerAll(candidate_search& search, const std::vector<place_members>& places, reach r, bool withEjected)
    {
        for (const auto& place : places) {
            if (!isWithin(search.table, place, r)) {
                continue;
            }
            for (const auto index : place.rows) {
                if (isUsable(search.table, search.request, index)
                    && (withEjected || !isEjected(search.table, index, search.now))) {
                    search.consider(index);
                }
            }
        }
    }

    /// Draws random candidates; a few draws more than asked for, as some hit servers that can't be used.
    void considerRandom(
        candidate_search& search, const std::vector<place_members>& places, reach r, std::mt19937_64& random)
    {
        const auto count = countWithin(search.table, places, r);
        const auto wanted = search.table.settings.randomCandidates;
        if (count <= wanted || wanted == 0) {
            considerAll(search, places, r, false);
            return;
        }
        std::uniform_int_distribution<std::size_t> draw(0, count - 1);
        std::uint32_t considered = 0;
        backend_index last = noBackend;
        for (std::uint32_t tries = 0; tries < 4 * wanted && considered < wanted; ++tries) {
            const auto index = nth(search.table, places, r, draw(random));
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
            considerAll(search, places, r, false);
        }
    }

    std::vector<backend_index> membersOf(const backend_table& table, const route_request& request)
    {
        std::vector<backend_index> members;
        const auto found = table.byModel.find(request.model);
        if (found == table.byModel.end()) {
            return members;
        }
        for (const auto& place : found->second) {
            for (const auto index : place.rows) {
                if (isUsable(table, request, index)) {
                    members.push_back(index);
                }
            }
        }
        std::sort(members.begin(), members.end());
        return members;
    }

    backend_choice plainChoice(const route_request& request, backend_index index, bool isHome)
    {
        backend_choice choice;
        choice.index = index;
        choice.prefillTokens = request.deltaTokens + (isHome ? 0 : request.historyTokens);
        return choice;
    }

} // namespace

backend_choice chooseBackend(
    backend_table& table, const route_request& request, time_point now, std::mt19937_64& random)
{
    ++table.decisions;
    const auto places = table.byModel.find(request.model);
    if (places == table.byModel.end()) {
        ++table.noneFound;
        return {};
    }
    const auto home = request.cacheBackend.empty() ? noBackend : findBackend(table, request.cacheBackend);
    candidate_search search { table, request, home, now, {}, false };
    const bool homeServes = home != noBackend && serves(table, request, home) && isUsable(table, request, home);
    if (table.settings.useCacheAffinity && homeServes && !isEjected(table, home, now)) {
        search.consider(home);
    }
    const auto first = table.settings.preferOwnFailureDomain ? reach::OwnDomain : reach::Anywhere;
    for (auto r = first;; r = r == reach::OwnDomain ? reach::OwnRegion : reach::Anywhere) {
        considerRandom(search, places->second, r, random);
        const bool goodEnough = search.found && search.best.queue <= seconds(table.settings.spillover);
        if (goodEnough || r == reach::Anywhere) {
            break;
        }
    }
    if (!search.found) {
        considerAll(search, places->second, reach::Anywhere, true);
    }
    if (!search.found) {
        ++table.noneFound;
        return {};
    }
    return search.best.choice;
}

backend_choice predictAt(
    const backend_table& table, const route_request& request, backend_index index, time_point now)
{
    const auto home = request.cacheBackend.empty() ? noBackend : findBackend(table, request.cacheBackend);
    return predict(table, request, index, home, now).choice;
}

//------------------------------------------------------------------------------------------------------------------
// Naive versions
//------------------------------------------------------------------------------------------------------------------

backend_choice chooseRoundRobin(const backend_table& table, const route_request& request, std::uint64_t& turn)
{
    const auto members = membersOf(table, request);
    if (members.empty()) {
        return {};
    }
    const auto index = members[turn++ % members.size()];
    return plainChoice(request, index, table.details[index].backend == request.cacheBackend);
}

backend_choice chooseByCacheAffinity(
    const backend_table& table, const route_request& request, std::uint64_t& turn)
{
    const auto home = request.cacheBackend.empty() ? noBackend : findBackend(table, request.cacheBackend);
    if (home != noBackend && serves(table, request, home) && isUsable(table, request, home)) {
        return plainChoice(request, home, true);
    }
    return chooseRoundRobin(table, request, turn);
}

backend_choice chooseLeastLoaded(const backend_table& table, const route_request& request)
{
    const auto members = membersOf(table, request);
    if (members.empty()) {
        return {};
    }
    const auto load = [&table](backend_index index) { return table.rows[index].running + table.rows[index].waiting; };
    const auto index = *std::min_element(members.begin(), members.end(),
        [&load](backend_index left, backend_index right) { return load(left) < load(right); });
    return plainChoice(request, index, table.details[index].backend == request.cacheBackend);
}

} // namespace cuminledge::core::routing
