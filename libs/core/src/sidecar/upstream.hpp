#pragma once

#include "context.hpp"

/// The HTTP exchanges with the backend server: attempts and probes.
namespace cuminledge::core::sidecar {

/// Gives the attempt to the backend server.
void startUpstream(context& c, attempt_entry& entry);

/// The attempt's whole time is over.
void expireRunning(context& c, attempt_entry& entry);

/// @return the text as an assistant's message, a JSON object, as it stands in histories.
std::string assistantMessageOf(const std::string& text);

void onUpstreamResponse(context& c, attempt_entry& entry, std::uint32_t status);
void onUpstreamData(context& c, attempt_entry& entry, const std::string& data);
void onUpstreamFinished(context& c, attempt_entry& entry);
void onUpstreamFailed(context& c, attempt_entry& entry, const upstream_failed& failure);

} // namespace cuminledge::core::sidecar
