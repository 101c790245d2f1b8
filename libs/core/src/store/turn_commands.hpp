#pragma once

#include <core/store/shard_state.hpp>

/// Commands and reads of token budgets and retained turns. Each applyCommand() applies one command, each answerQuery()
/// one read.
namespace cuminledge::core::store {

wire::command_result applyCommand(shard_state& state, const wire::reserve_tokens& command);
wire::command_result applyCommand(shard_state& state, const wire::settle_tokens& command);
wire::command_result applyCommand(shard_state& state, const wire::retain_turn& command);
wire::command_result applyCommand(shard_state& state, const wire::hold_chain& command);
wire::command_result applyCommand(shard_state& state, const wire::advance_time& command);

wire::command_result answerQuery(const shard_state& state, const wire::read_chain& query);

} // namespace cuminledge::core::store
