#include "authentication.hpp"

#include <base/digest.hpp>
#include <core/caller_key.hpp>

#include "http_request.hpp"

namespace cuminledge::core::gateway {

namespace {

    constexpr std::size_t maxKeyBytes = 256;

    tl::unexpected<error> deny(const char* message)
    {
        return failure(error_code::Unauthenticated, message, "authenticate");
    }

} // namespace

result<caller_identity> authenticate(const gateway_context& context, const caller_request& request)
{
    if (isDuplicated(request, "authorization")) {
        return deny("the Authorization header stands more than once");
    }
    const auto header = findHeader(request, "authorization");
    if (!holdsConfiguration(context)) {
        return failure(error_code::Unavailable, "the configuration lease of this gateway has run out", "authenticate");
    }
    if (!header) {
        return caller_identity {};
    }
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = *header;
    if (!value.starts_with(scheme) || value.size() > scheme.size() + maxKeyBytes) {
        return deny("expected the header \"Authorization: Bearer KEY\"");
    }
    const auto key = splitCallerKey(value.substr(scheme.size()));
    const auto found = context.state.configuration.keys.find(std::string(key.id));
    const bool valid = found != context.state.configuration.keys.end() && !found->second.withdrawn
        && equalConstantTime(hashCallerKey(found->second.salt, key.secret), found->second.hash);
    if (!valid) {
        return deny("the key is not valid");
    }
    return caller_identity { found->first, found->second.account };
}

bool holdsConfiguration(const gateway_context& context)
{
    return context.state.configuration.manifest && context.now < context.state.configuration.leaseUntil;
}

} // namespace cuminledge::core::gateway
