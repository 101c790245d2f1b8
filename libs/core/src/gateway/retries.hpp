#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// An attempt has failed: retries it elsewhere, or ends the call with what is known.
void decideAfterFailure(context& c, call& subject, const wire::attempt_failed& failed);

/// A first attempt earns its client account a part of a retry, so that retries stay in proportion.
void earnRetries(gateway_state& state, const std::string& account);

} // namespace cuminledge::core::gateway
