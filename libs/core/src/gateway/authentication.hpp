#pragma once

#include <string>

#include "context.hpp"

namespace cuminledge::core::gateway {

/// The identity of the caller. Both members are empty for a request without a key, which may use only routes that are
/// open to all.
struct caller_identity {
    std::string key; ///< key id
    std::string account;
};

/**
 * Checks the header "Authorization: Bearer KEYID.SECRET".
 *
 * @return the identity, or an error: Unauthenticated for a wrong, unknown or withdrawn key; Unavailable after the
 *         configuration lease has expired, because a withdrawal may have been missed.
 */
result<caller_identity> authenticate(const gateway_context& context, const caller_request& request);

/// @return whether the gateway has a manifest and its configuration lease has not expired.
bool holdsConfiguration(const gateway_context& context);

} // namespace cuminledge::core::gateway
