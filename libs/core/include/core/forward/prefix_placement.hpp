#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <wire/control_messages.hpp>

/**
 * Which engines keep which shared prefix of prompts.
 *
 * A prefix is kept at as many engines as its part of the demand needs; at a further one it would have to be read first and
 * would displace others. All gateways compute the same placement from the demand that the controllers tell them.
 */
namespace cuminledge::core::forward {

/// The engines of each prefix.
using prefix_homes = std::map<std::string, std::set<std::string>>;

struct prefix_settings {
    double minPart = 0.15; ///< of an engine; less of one is not used, unless the prefix has no more
};

/**
 * Places prefixes on the engines of a service.
 *
 * The engines are laid out in an order of their own, and each prefix takes a section of them that is as long as its part of
 * the demand. An engine where two sections meet keeps both prefixes. A change of the demand or of the engines moves the
 * borders, and with them few prefixes.
 *
 * @param weights demand for each prefix of the service; those without a positive one are left out.
 * @param engines ids.
 */
prefix_homes placePrefixes(
    const std::vector<wire::prefix_weight>& weights, const std::vector<std::string>& engines, const prefix_settings& settings);

} // namespace cuminledge::core::forward
