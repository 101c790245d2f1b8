#pragma once

#include "context.hpp"

namespace cuminledge::core::sidecar {

/// Renews the announcement when it is time: at a third of its lease.
void renewAnnouncement(context& c);

/// Renews it now, as what it says has changed.
void announceNow(context& c);

void onAnnounceResponse(context& c, const std::string& peer, const wire::announce_response& response);

/// @return whether the backend server has been leaving or draining for so long that every gateway knows.
bool refusesNewWork(const context& c);

/// Withdraws the announcement, on shutdown.
void beginLeaving(context& c);

} // namespace cuminledge::core::sidecar
