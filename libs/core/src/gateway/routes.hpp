#pragma once

#include <core/manifest/manifest.hpp>
#include <wire/commands.hpp>

#include "chat_request.hpp"
#include "context.hpp"

namespace cuminledge::core::gateway {

/// @param account empty for a request without a key.
/// @return whether the client account may use the route.
bool canUseRoute(const manifest::route& route, const std::string& account);

/// @return the first route that the client account may use and that allows the model, or null if there is none.
const manifest::route* findRouteForModel(
    const manifest::manifest& manifest, const std::string& account, const std::string& model);

/// @return the command that opens the program, with limits within the route's, or an error that names the wrong field.
result<wire::open_program> makeOpenProgram(const manifest::manifest& manifest, const manifest::route& route,
    const program_request& request, const std::string& account);

/// Checks a chat call against the route and sets the values derived from it: token limit, digest and fingerprint.
result<gateway_call> checkChatOnRoute(gateway_call call, const manifest::route& route);

} // namespace cuminledge::core::gateway
