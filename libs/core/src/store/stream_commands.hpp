#pragma once

#include <core/store/shard_state.hpp>

/// Commands and reads of the records that say which servers may resume a stream.
namespace cuminledge::core::store {

wire::command_result applyCommand(shard_state& state, const wire::record_stream& command);

wire::command_result answerQuery(const shard_state& state, const wire::read_stream& query);

} // namespace cuminledge::core::store
