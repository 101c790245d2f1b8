#pragma once

#include <core/controller_client/controller_client.hpp>

#include "context.hpp"

/// Token budgets, and the earlier turns that a turn continues.
namespace cuminledge::core::forward {

/// The account's rate allows the call: gets its budget and its earlier turns where it needs them, then starts it.
void prepare(context& c, forward_call& subject);

/// An answer of the controllers to one of the requests made here.
void onControllerAnswer(context& c, const controller_client::answer& answer);

/// The last byte has come from the server: makes the turn durable where later turns may continue it, then completes.
void finishTurn(context& c, forward_call& subject);

/// @return the tokens that the caller has got.
std::int64_t tokensPassedOn(const context& c, const forward_call& subject);

/// @return whether the call is a turn that later turns may continue.
bool isRetained(const forward_call& subject);

} // namespace cuminledge::core::forward
