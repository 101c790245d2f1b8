#pragma once

#include <core/manifest/manifest.hpp>
#include <wire/commands.hpp>

#include "chat_request.hpp"
#include "context.hpp"

namespace cuminledge::core::gateway {

/// @param account empty: no key came with the request.
bool mayUseRoute(const manifest::route& route, const std::string& account);

/// @return the first route that the client account may use and that allows the model, or null.
const manifest::route* routeOfModel(
    const manifest::manifest& manifest, const std::string& account, const std::string& model);

/// @return the program to open, its bounds within the route's; or an error that names the field.
result<wire::open_program> programOf(const manifest::manifest& manifest, const manifest::route& route,
    const program_request& request, const std::string& account);

/// Checks a chat call against the route and fills in what follows from it: the token bound, digest and fingerprint.
result<call> checkChatOnRoute(call subject, const manifest::route& route);

} // namespace cuminledge::core::gateway
