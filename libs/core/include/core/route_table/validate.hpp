#pragma once

#include <string>
#include <vector>

#include <wire/route_table.hpp>

namespace cuminledge::core::route_table {

/**
 * Checks a whole route table before it may come into force.
 *
 * @return every fault: a route without a host, a path prefix or a service that exists, two routes with the same host
 *         and prefix, weights that add up to nothing, a timeout of 0, a key of two accounts, a version of 0. Empty: valid.
 */
std::vector<std::string> validate(const wire::route_table& table);

} // namespace cuminledge::core::route_table
