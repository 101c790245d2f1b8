#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// Reserves the turn and its worst case at the program's group.
void beginTurn(context& c, call& subject);
void onTurnBegun(context& c, call& subject, const result<wire::command_result>& outcome);

/// Another attempt holds the turn; what the program says of it has come.
void onRivalRead(context& c, call& subject, const result<wire::command_result>& outcome);

/// Makes the whole answer durable; only then is it complete for the caller.
void commitTurn(context& c, call& subject);
void onTurnCommitted(context& c, call& subject, const result<wire::command_result>& outcome);

/// Settles the reservation of a turn that has no answer. Resent until it is applied; nobody waits for it.
void abandonTurn(context& c, const call& subject);

} // namespace cuminledge::core::gateway
