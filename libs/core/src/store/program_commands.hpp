#pragma once

#include <core/store/shard_state.hpp>

/// Commands and reads of programs. Each applyCommand() applies one command, each answerQuery() one read.
namespace cuminledge::core::store {

wire::command_result applyCommand(shard_state& state, const wire::open_program& command);
wire::command_result applyCommand(shard_state& state, const wire::begin_turn& command);
wire::command_result applyCommand(shard_state& state, const wire::commit_turn& command);
wire::command_result applyCommand(shard_state& state, const wire::abandon_turn& command);
wire::command_result applyCommand(shard_state& state, const wire::end_program& command);

wire::command_result answerQuery(const shard_state& state, const wire::read_program& query);
wire::command_result answerQuery(const shard_state& state, const wire::read_history& query);
wire::command_result answerQuery(const shard_state& state, const wire::read_ended_programs& query);

} // namespace cuminledge::core::store
