#pragma once

#include <cstdint>
#include <string_view>

/// Rendezvous hashing: all gateways agree on the server of a key without talking, and a server that comes or goes moves
/// only its own keys.
namespace cuminledge::core::routing {

/// @return the score of the server for the key; the server with the highest one is the key's.
std::uint64_t rendezvousScore(std::string_view key, std::string_view server);

} // namespace cuminledge::core::routing
