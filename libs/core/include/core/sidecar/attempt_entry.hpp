#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include <base/clock.hpp>
#include <wire/attempt_messages.hpp>

namespace cuminledge::core::sidecar {

enum class attempt_phase : std::uint8_t {
    ReadingHistory, ///< turns that are missing here are on the way from the program's group
    Waiting, ///< in the queue; the backend server has not been given it
    Running, ///< given to the backend server
    Judged, ///< it failed, and a probe shows whether its backend server died
    Finished ///< its outcome is kept for late queries
};

/// An attempt in the sidecar's table.
struct attempt_entry {
    wire::attempt_start start;
    attempt_phase phase = attempt_phase::Waiting;
    std::string gateway; ///< peer that sent it
    std::set<std::string> watchers; ///< peers that hear of its progress and outcome
    time_point arrivedAt;
    time_point latestStart;
    time_point deadline;
    time_point watchedUntil; ///< all watchers are disconnected: cancelled then, unless one asks
    time_point finishedAt;
    std::uint64_t historyRequest = 0;
    std::string text; ///< whole answer so far, resumed part included
    std::int64_t completionTokens = 0; ///< of this attempt
    std::int64_t prefillTokens = 0; ///< expected, without what is cached
    bool answerEnded = false; ///< the engine has sent its last chunk
    std::uint32_t status = 0; ///< HTTP status of the backend server
    std::string responseBody; ///< of a service, or of an engine's refusal
    wire::attempt_done done; ///< filled as the answer comes in
    std::optional<wire::attempt_failed> failed; ///< set where it ended without an answer
};

/// @return the phase's name in snake case.
const char* toString(attempt_phase phase);

} // namespace cuminledge::core::sidecar
