#pragma once

#include "context.hpp"

/// Connects the crash tracker with calls and controllers.
namespace cuminledge::core::forward {

/// Suspects the call of having crashed the server that it was sent to.
void suspectCrash(context& c, const forward_call& call);

/// Clears the call of every suspicion, as it was answered whole.
void clearSuspicion(context& c, const forward_call& call);

/// Starts the due checks of servers, and reports the crashes that the list of servers proves.
void checkCrashes(context& c);

void onServerChecked(context& c, const server_checked& outcome);

/// Takes the controllers' records from the answer to a poll.
void applyCrashRecords(context& c, const wire::config_update& update);

} // namespace cuminledge::core::forward
