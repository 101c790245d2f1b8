#pragma once

#include <optional>

#include <core/controller_client/controller_client.hpp>

#include "answers.hpp"
#include "context.hpp"

/// Handles token budgets and the chain of earlier turns that a turn continues.
namespace cuminledge::core::forward {

/// Prepares a call that the account's rate admitted: reserves its budget and loads its earlier turns where needed, then
/// starts it.
void prepare(context& c, forward_call& call);

/// Handles the controllers' answer to a reserve, read-chain or retain request.
void onControllerAnswer(context& c, const controller_client::answer& answer);

/// Handles the end of the server's answer: makes the turn durable if later turns may continue it, then completes the call.
void finishTurn(context& c, forward_call& call);

/// @return the tokens forwarded to the caller, estimated from the event count.
std::int64_t tokensForwarded(const context& c, const forward_call& call);

/// @return why the turn can't be recorded in its account's group once it has run; none if it can.
std::optional<refusal> refuseUnrecordable(const forward_call& call);

/// @return whether the call is a turn that is retained so that later turns may continue it.
bool isRetained(const forward_call& call);

} // namespace cuminledge::core::forward
