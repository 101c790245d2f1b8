#pragma once

#include <string>
#include <string_view>

namespace cuminledge::core {

/// What a caller repeats with each try of a request; its id and its deadline differ from try to try.
struct request_content {
    std::string_view account;
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< path with query
    std::string_view body;
};

/// @return 32 hexadecimal digits, equal for all tries of a request at all gateways. The digest is not cryptographic: an
///         account that makes two of its own requests collide harms itself alone, as the account is part of the content.
std::string fingerprintOf(const request_content& content);

} // namespace cuminledge::core
