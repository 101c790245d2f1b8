#include <core/seeds.hpp>

#include <cstdint>

namespace cuminledge::core {

namespace {

    constexpr std::size_t maxSeeds = 31;
    constexpr std::size_t maxAddressBytes = 64;
    constexpr std::int64_t maxPort = 65'535;

} // namespace

std::vector<seed_address> readSeeds(json_object_reader& reader)
{
    const auto port = reader.integer("peer_port", 1, maxPort);
    std::vector<seed_address> seeds;
    for (const auto& control : reader.strings("seeds", maxSeeds, maxAddressBytes)) {
        const auto colon = control.rfind(':');
        if (colon == std::string::npos || colon == 0) {
            reader.fault("seeds", "expected addresses of the form IP:PORT, got " + control);
            continue;
        }
        seeds.push_back({ control.substr(0, colon) + ":" + std::to_string(port), control });
    }
    if (seeds.empty()) {
        reader.fault("seeds", "expected a list of at least one address");
    }
    return seeds;
}

} // namespace cuminledge::core
