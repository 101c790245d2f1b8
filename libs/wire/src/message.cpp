#include <wire/message.hpp>

#include <array>

namespace cuminledge::wire {

const char* kindOf(const message& value)
{
    static constexpr std::array<const char*, std::variant_size_v<message>> names { "consensus_envelope",
        "controller_request", "controller_response", "config_poll", "config_update", "announce_backend",
        "announce_response", "rate_lease_request", "rate_lease_grant", "attempt_start", "attempt_started",
        "attempt_chunk", "attempt_done", "attempt_failed", "attempt_cancel", "attempt_query", "attempt_under_way",
        "load_probe", "load_probe_response", "program_ended", "rate_lease_recall", "attempt_committed",
        "controller_directory" };
    return names[value.index()];
}

} // namespace cuminledge::wire
