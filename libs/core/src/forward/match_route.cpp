#include <core/forward/match_route.hpp>

#include <algorithm>
#include <cassert>

namespace cuminledge::core::forward {

const wire::route_rule* matchRoute(const wire::route_table& table, std::string_view host, std::string_view target)
{
    const auto path = target.substr(0, target.find('?'));
    const wire::route_rule* best = nullptr;
    for (const auto& route : table.routes) {
        const bool matches = route.host == host && path.starts_with(route.pathPrefix);
        if (matches && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

const wire::service_rule* findService(const wire::route_table& table, std::string_view service)
{
    const auto found = std::find_if(
        table.services.begin(), table.services.end(), [&](const auto& rule) { return rule.name == service; });
    return found == table.services.end() ? nullptr : &*found;
}

const std::string& drawService(const wire::route_rule& route, double draw)
{
    assert(!route.services.empty() && "a valid route names a service");
    double total = 0;
    for (const auto& share : route.services) {
        total += share.weight;
    }
    double left = draw * total;
    for (const auto& share : route.services) {
        left -= share.weight;
        if (left < 0) {
            return share.service;
        }
    }
    return route.services.back().service;
}

} // namespace cuminledge::core::forward
