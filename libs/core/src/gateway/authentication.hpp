#pragma once

#include <string>

#include "context.hpp"

namespace cuminledge::core::gateway {

/// Whose request it is. Both empty: no key came with it, so only routes open to all serve it.
struct caller_identity {
    std::string key; ///< key id
    std::string account;
};

/**
 * Checks the header "Authorization: Bearer KEYID.SECRET".
 *
 * @return Unauthenticated for a wrong, unknown or withdrawn key; Unavailable while the configuration lease has run out,
 *         as a withdrawal may have been missed.
 */
result<caller_identity> authenticate(const context& c, const caller_request& request);

/// @return whether the configuration may still be relied on.
bool holdsConfiguration(const context& c);

} // namespace cuminledge::core::gateway
