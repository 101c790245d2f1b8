#pragma once

#include <cstdint>

#include <core/group.hpp>
#include <wire/commands.hpp>

/// Maps commands and queries to their replication groups.
namespace cuminledge::core::store {

/// @return the group that a command belongs to; systemGroup for manifest, keys, drains, fencing and crash records.
/// @param groupCount at least 1.
std::uint32_t groupOf(const wire::command& command, std::uint32_t groupCount);

/// @return the group that answers a query. All programs of a read_ended_programs belong to one group: that of the
/// first.
/// @param groupCount at least 1.
std::uint32_t groupOf(const wire::query& query, std::uint32_t groupCount);

} // namespace cuminledge::core::store
