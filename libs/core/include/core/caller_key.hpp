#pragma once

#include <string>
#include <string_view>

/// A caller's key, "ID.SECRET". Only a salted hash of the secret is stored; the whole key is shown once.
namespace cuminledge::core {

/// The parts of a key as it stands in the header "Authorization: Bearer KEY".
struct caller_key {
    std::string_view id; ///< the lookup prefix; no secret
    std::string_view secret;
};

/// @param text outlives the result. @return the parts; both empty where the text is no key.
caller_key splitCallerKey(std::string_view text);

/// @return the text that the operator hands to the caller.
std::string joinCallerKey(std::string_view id, std::string_view secret);

/// @return what issue_key stores as `hash`: SHA-256 of salt and secret, in hexadecimal digits.
std::string hashCallerKey(std::string_view salt, std::string_view secret);

} // namespace cuminledge::core
