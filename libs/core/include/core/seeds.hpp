#pragma once

#include <string>
#include <vector>

#include <base/json.hpp>

namespace cuminledge::core {

/// A controller that a deployment names by nothing but the address of its control interface. Its peers know it by its
/// peer address, which serves as its name.
struct seed_address {
    std::string peerAddress; ///< "IP:PORT"
    std::string controlAddress; ///< "IP:PORT"
};

/**
 * Reads the members "seeds", a list of control addresses, and "peer_port", the port on which every controller listens
 * for other processes. Adds a fault for each value that is missing or wrong.
 */
std::vector<seed_address> readSeeds(json_object_reader& reader);

} // namespace cuminledge::core
