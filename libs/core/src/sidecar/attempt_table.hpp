#pragma once

#include "context.hpp"

/// The attempt table: duplicates are answered, never run; refusals hold as long as the process lives.
namespace cuminledge::core::sidecar {

void onAttemptStart(context& c, const std::string& peer, const wire::attempt_start& start);
void onAttemptQuery(context& c, const std::string& peer, const wire::attempt_query& ask);
void onAttemptCancel(context& c, const std::string& attempt);
void onAttemptCommitted(context& c, const wire::attempt_committed& committed);
void onGatewayConnected(context& c, const std::string& peer);
void onGatewayDisconnected(context& c, const std::string& peer);

/// The answer to a read of missing turns.
void onHistoryRead(context& c, const std::string& attempt, const result<wire::command_result>& outcome);

/// Records the attempt's answer and tells all who watch.
void finishDone(context& c, attempt_entry& entry);

/// Records that the attempt ended without an answer and tells all who watch.
void finishFailed(context& c, attempt_entry& entry, wire::attempt_outcome outcome, error_code code,
    const std::string& message, const std::string& step);

/// Sends to everybody who watches the attempt.
void tellWatchers(context& c, const attempt_entry& entry, const wire::message& body);

/// Looks at deadlines, and forgets what has been finished for long.
void sweepAttempts(context& c);

/// @return what the backend server is doing.
wire::load_report currentLoad(const sidecar_state& state);

} // namespace cuminledge::core::sidecar
