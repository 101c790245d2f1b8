#pragma once

#include <cstdint>
#include <string_view>

#include <wire/commands.hpp>

/// Which replication group holds what. Group 0 holds the manifest, keys, drains, fencing numbers and crash records;
/// groups 1..groupCount hold programs, non-repeatable calls and rate reservations, spread by a hash of their key.
namespace cuminledge::core::store {

/// The group that every gateway must find in order to serve at all.
constexpr std::uint32_t controlGroup = 0;

/**
 * The group of a key. The hash (XXH64 with seed 0) is part of the stored format: another one would lose every program.
 *
 * @param groupCount number of the groups besides group 0; at least 1.
 * @return a group from 1 to groupCount.
 */
std::uint32_t groupOf(std::string_view key, std::uint32_t groupCount);

/// @return the group of a program. @param program its id. @param groupCount at least 1.
std::uint32_t groupOfProgram(std::string_view program, std::uint32_t groupCount);

/// @return the group of a non-repeatable call. @param account, call the client account and its Idempotency-Key.
std::uint32_t groupOfCall(std::string_view account, std::string_view call, std::uint32_t groupCount);

/// @return the group whose leader is the rate authority of the client account.
std::uint32_t groupOfAccount(std::string_view account, std::uint32_t groupCount);

/// @return the group that a command belongs to; controlGroup for manifest, keys, drains, fencing and crash records.
std::uint32_t groupOf(const wire::command& command, std::uint32_t groupCount);

/// @return the group that answers a query. A read_ended_programs asks about programs of one group: that of its first.
std::uint32_t groupOf(const wire::query& query, std::uint32_t groupCount);

} // namespace cuminledge::core::store
