#include <core/routing/rendezvous.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cuminledge::core::routing {

std::uint64_t rendezvousScore(std::string_view key, std::string_view server)
{
    return XXH64(server.data(), server.size(), XXH64(key.data(), key.size(), 0));
}

} // namespace cuminledge::core::routing
