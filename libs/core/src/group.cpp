#include <core/group.hpp>

#include <algorithm>
#include <initializer_list>

namespace cuminledge::core {

namespace {

    /// FNV-1a, 64 bits: stable across machines and versions, which std::hash is not.
    std::uint64_t stableHash(std::initializer_list<std::string_view> parts)
    {
        constexpr std::uint64_t offsetBasis = 14695981039346656037ULL;
        constexpr std::uint64_t prime = 1099511628211ULL;
        std::uint64_t hash = offsetBasis;
        for (const auto part : parts) {
            for (const auto byte : part) {
                hash = (hash ^ static_cast<unsigned char>(byte)) * prime;
            }
            // A separator, so that ("ab", "c") and ("a", "bc") differ.
            hash = (hash ^ 0xffU) * prime;
        }
        return hash;
    }

    std::uint32_t groupOf(std::uint64_t hash, std::uint32_t groupCount)
    {
        // The low bits of FNV-1a mix worst, so the high half is folded in.
        return 1 + static_cast<std::uint32_t>((hash ^ (hash >> 32U)) % std::max<std::uint32_t>(groupCount, 1));
    }

} // namespace

std::uint32_t groupOfProgram(std::string_view program, std::uint32_t groupCount)
{
    return groupOf(stableHash({ "program", program }), groupCount);
}

std::uint32_t groupOfCall(std::string_view account, std::string_view call, std::uint32_t groupCount)
{
    return groupOf(stableHash({ "call", account, call }), groupCount);
}

std::uint32_t groupOfAccount(std::string_view account, std::uint32_t groupCount)
{
    return groupOf(stableHash({ "account", account }), groupCount);
}

} // namespace cuminledge::core
