#include <core/group.hpp>

#include <algorithm>
#include <string>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cuminledge::core {

namespace {

    /// XXH64 with seed 0: stable across machines and versions, which std::hash is not. It is part of the stored format.
    std::uint32_t groupOf(std::string_view key, std::uint32_t groupCount)
    {
        return 1 + static_cast<std::uint32_t>(XXH64(key.data(), key.size(), 0) % std::max<std::uint32_t>(groupCount, 1));
    }

} // namespace

std::uint32_t groupOfProgram(std::string_view program, std::uint32_t groupCount)
{
    return groupOf(program, groupCount);
}

std::uint32_t groupOfCall(std::string_view account, std::string_view call, std::uint32_t groupCount)
{
    // An account id holds no line break, so no two pairs give the same key.
    std::string key(account);
    key += '\n';
    key += call;
    return groupOf(key, groupCount);
}

std::uint32_t groupOfAccount(std::string_view account, std::uint32_t groupCount)
{
    return groupOf(account, groupCount);
}

} // namespace cuminledge::core
