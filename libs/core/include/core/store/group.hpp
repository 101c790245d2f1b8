#pragma once

#include <cstdint>

#include <core/group.hpp>
#include <wire/commands.hpp>

/// Which replication group carries a command or answers a query.
namespace cuminledge::core::store {

/// @return the group that a command belongs to; systemGroup for manifest, keys, drains, fencing and crash records.
/// @param groupCount at least 1.
std::uint32_t groupOf(const wire::command& command, std::uint32_t groupCount);

/// @return the group that answers a query. A read_ended_programs asks about programs of one group: that of its first.
/// @param groupCount at least 1.
std::uint32_t groupOf(const wire::query& query, std::uint32_t groupCount);

} // namespace cuminledge::core::store
