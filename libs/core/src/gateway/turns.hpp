#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// Reserves the turn and its maximum token cost at the program's group.
void beginTurn(gateway_context& context, gateway_call& call);
void onTurnBegun(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome);

/// Handles the program's status after another attempt was found to hold the turn.
void onCompetingTurnRead(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome);

/// Makes the whole answer durable. The caller's answer is completed only afterwards.
void commitTurn(gateway_context& context, gateway_call& call);
void onTurnCommitted(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome);

/// Settles the reservation of a turn that has no answer. The command is resent, and its answer is ignored.
void abandonTurn(gateway_context& context, const gateway_call& call);

} // namespace cuminledge::core::gateway
