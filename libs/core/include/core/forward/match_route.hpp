#pragma once

#include <string_view>

#include <wire/route_table.hpp>

namespace cuminledge::core::forward {

/// @param target path with query.
/// @return the route of the host with the longest matching path prefix, or null.
const wire::route_rule* matchRoute(const wire::route_table& table, std::string_view host, std::string_view target);

/// @return the rule of the service, or null.
const wire::service_rule* findService(const wire::route_table& table, std::string_view service);

/// @param draw random number in [0, 1).
/// @return one of the route's services, chosen with a probability proportional to its weight.
const std::string& drawService(const wire::route_rule& route, double draw);

} // namespace cuminledge::core::forward
