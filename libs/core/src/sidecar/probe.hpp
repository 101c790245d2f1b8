#pragma once

#include "context.hpp"

/// Probes over a new connection, before a silent or broken one is taken for a dead backend server.
namespace cuminledge::core::sidecar {

/// Request id of the probe's exchange.
constexpr const char* probeRequest = "probe";

/// The attempt failed half-way: its outcome is told once a probe has shown whether the engine died.
void judge(context& c, attempt_entry& entry, const std::string& message);

/// The backend server takes no connections.
void noteUnreachable(context& c);

/// Starts a probe when one is due: at the start, and while the backend server is down.
void probeWhenDue(context& c);

void onProbeResponse(context& c, std::uint32_t status);
void onProbeData(context& c, const std::string& data);
void onProbeFinished(context& c);
void onProbeFailed(context& c);

} // namespace cuminledge::core::sidecar
