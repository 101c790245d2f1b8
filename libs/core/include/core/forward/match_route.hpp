#pragma once

#include <string_view>

#include <wire/route_table.hpp>

namespace cuminledge::core::forward {

/// @return the route of the host with the longest prefix of the path, or null. @param target path with query.
const wire::route_rule* matchRoute(const wire::route_table& table, std::string_view host, std::string_view target);

/// @return the service's rule, or null.
const wire::service_rule* findService(const wire::route_table& table, std::string_view service);

/// @param draw from 0 to 1, 1 excluded. @return one of the route's services, each with its weight's share.
const std::string& drawService(const wire::route_rule& route, double draw);

} // namespace cuminledge::core::forward
