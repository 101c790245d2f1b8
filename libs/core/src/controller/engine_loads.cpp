#include <controller/internal.hpp>

#include <map>

namespace cuminledge::core::controller {

namespace {

    std::map<std::string, std::uint32_t> placesByService(const controller_state& state)
    {
        std::map<std::string, std::uint32_t> places;
        if (state.routes) {
            for (const auto& service : state.routes->services) {
                if (service.slots != 0) {
                    places[service.name] = service.slots;
                }
            }
        }
        return places;
    }

    bool takesWork(const controller_state& state, const wire::backend_record& record)
    {
        return !record.withdrawn && !record.draining && record.sidecar.empty()
            && !state.control.evacuatedDomains.contains(record.failureDomain);
    }

    std::map<std::string, limits::shared_engine> enginesInUse(const controller_state& state)
    {
        const auto places = placesByService(state);
        std::map<std::string, limits::shared_engine> engines;
        for (const auto& [id, backend] : state.members.backends) {
            const auto service = places.find(backend.record.service);
            if (service != places.end() && takesWork(state, backend.record)) {
                engines[id] = { service->first, service->second, 0, 0 };
            }
        }
        return engines;
    }

} // namespace

void exchangeLoads(reduction& r, const std::string& gateway, const wire::config_poll& poll, wire::config_update& update)
{
    if (!poll.sharesLoads) {
        return;
    }
    const engines_version version { r.state.members.changes.revision, r.state.control.routesVersion, r.state.control.evacuatedDomains };
    if (r.state.enginesVersion != version) {
        limits::setEngines(r.state.loads, enginesInUse(r.state));
        r.state.enginesVersion = version;
    }
    limits::recordReport(r.state.loads, gateway, poll, r.now);
    update.serverRequests = limits::requestsOfOthers(r.state.loads, gateway);
    update.loads = limits::measureLoads(r.state.loads);
    update.prefixWeights = limits::publishedWeights(r.state.loads.prefixes, r.now);
    update.serverTimes = limits::unusualTimes(r.state.loads);
}

} // namespace cuminledge::core::controller
