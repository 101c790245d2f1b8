#pragma once

#include <core/forward/forward_call.hpp>

/// Keeps out of a stream what the server that goes on with it sends in place of events.
namespace cuminledge::core::forward {

/// @return whether the head is of an answer with which the begun stream may go on.
bool continuesStream(const answer_progress& begun, const upstream_head& head);

/// @return why the event can't be the next one of the call's stream, or null. The ids of a stream rise.
const char* faultOf(const forward_call& call, const sse_event& event);

} // namespace cuminledge::core::forward
