#pragma once

#include <cstdint>
#include <string_view>

/// Which replication group holds what. Group 0 holds the manifest, keys and membership; groups 1 to groupCount hold
/// programs, non-repeatable calls and the rate authority, by hash. All processes must agree, so this stands once.
namespace cuminledge::core {

constexpr std::uint32_t systemGroup = 0;

/// @param groupCount at least 1. @return the group of a program, from 1 to groupCount.
std::uint32_t groupOfProgram(std::string_view program, std::uint32_t groupCount);

/// @return the group of the idempotency record of a client account's call.
std::uint32_t groupOfCall(std::string_view account, std::string_view call, std::uint32_t groupCount);

/// @return the group whose leader is the rate authority of the client account.
std::uint32_t groupOfAccount(std::string_view account, std::uint32_t groupCount);

} // namespace cuminledge::core
