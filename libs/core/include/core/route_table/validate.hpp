#pragma once

#include <string>
#include <vector>

#include <wire/route_table.hpp>

namespace cuminledge::core::route_table {

/**
 * Validates a complete route table before it comes into force.
 *
 * @return all faults; empty if the table is valid. Faults are a service without a name or with a duplicate one, a route
 *         without a host, with a path prefix that does not begin with a slash or with an unknown service, two routes with
 *         the same host and prefix, weights that add up to 0, a timeout of 0, a key shared by two accounts, and a version
 *         of 0.
 */
std::vector<std::string> validate(const wire::route_table& table);

} // namespace cuminledge::core::route_table
