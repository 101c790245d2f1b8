#include "choose.hpp"

#include <algorithm>

namespace cuminledge::core::gateway {

namespace {

    bool runs(const context& c, const backend_entry& entry, const call& subject)
    {
        const auto& models = entry.record.models;
        if (subject.kind == call_kind::Service) {
            return entry.record.kind == wire::backend_kind::Service
                && std::find(models.begin(), models.end(), subject.service) != models.end();
        }
        if (entry.record.kind != wire::backend_kind::Engine || !c.state.configuration.manifest) {
            return false;
        }
        const auto* route = manifest::findRoute(*c.state.configuration.manifest, subject.route);
        return route != nullptr && std::any_of(models.begin(), models.end(), [&](const std::string& announced) {
            return manifest::servesModel(*route, subject.model, announced);
        });
    }

    bool isCandidate(const context& c, const backend_entry& entry, const call& subject)
    {
        return entry.announced && entry.connected && !entry.record.draining
            && entry.connectedIncarnation == entry.record.incarnation && runs(c, entry, subject);
    }

    /// Lower is better. Least in flight; the program's home goes before others that are not far less busy.
    struct backend_rank {
        bool avoided = false;
        bool lastTried = false;
        std::int64_t load = 0;
        bool elsewhere = false;

        [[nodiscard]] auto key() const { return std::tie(avoided, lastTried, load, elsewhere); }
    };

    backend_rank rankOf(const context& c, const backend_entry& entry, const call& subject)
    {
        constexpr std::int64_t homeAdvantage = 4;
        backend_rank rank;
        rank.avoided = c.now < entry.avoidUntil;
        rank.lastTried = entry.record.backend == subject.lastBackend && subject.attemptsMade > 0;
        rank.load = entry.inFlight + entry.load.waiting;
        if (entry.record.backend == subject.begun.home) {
            rank.load -= homeAdvantage;
        }
        rank.elsewhere = entry.record.failureDomain != c.state.identity.failureDomain;
        return rank;
    }

} // namespace

backend_entry* chooseBackend(context& c, const call& subject)
{
    backend_entry* best = nullptr;
    backend_rank bestRank;
    for (auto& [id, entry] : c.state.backends) {
        if (!isCandidate(c, entry, subject)) {
            continue;
        }
        const auto rank = rankOf(c, entry, subject);
        if (best == nullptr || rank.key() < bestRank.key()) {
            best = &entry;
            bestRank = rank;
        }
    }
    return best;
}

bool hasCandidate(const context& c, const call& subject)
{
    return std::any_of(c.state.backends.begin(), c.state.backends.end(),
        [&](const auto& each) { return isCandidate(c, each.second, subject); });
}

} // namespace cuminledge::core::gateway
