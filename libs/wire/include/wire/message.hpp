#pragma once

#include <variant>

#include <wire/attempt_messages.hpp>
#include <wire/consensus_messages.hpp>
#include <wire/control_messages.hpp>

namespace cuminledge::wire {

/// Everything one process of the system may send to another over a peer connection. Alternatives are only ever
/// appended (see codec.hpp).
using message = std::variant<consensus_envelope, controller_request, controller_response, config_poll, config_update,
    announce_backend, announce_response, rate_lease_request, rate_lease_grant, attempt_start, attempt_started,
    attempt_chunk, attempt_done, attempt_failed, attempt_cancel, attempt_query, attempt_under_way, load_probe,
    load_probe_response, program_ended, rate_lease_recall, attempt_committed, controller_directory>;

/// @return the name of the message's kind, e.g. "attempt_start", for logs.
const char* kindOf(const message& value);

} // namespace cuminledge::wire
