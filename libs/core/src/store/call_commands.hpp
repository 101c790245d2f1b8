#pragma once

#include <core/store/shard_state.hpp>

/// Commands and reads of non-repeatable calls. Each applyCommand() applies one command, each answerQuery() one read.
namespace cuminledge::core::store {

wire::command_result applyCommand(shard_state& state, const wire::record_call& command);
wire::command_result applyCommand(shard_state& state, const wire::dispatch_call& command);
wire::command_result applyCommand(shard_state& state, const wire::settle_call& command);

wire::command_result answerQuery(const shard_state& state, const wire::read_call& query);

} // namespace cuminledge::core::store
