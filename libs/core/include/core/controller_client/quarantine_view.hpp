#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <wire/control_messages.hpp>

namespace cuminledge::core::controller_client {

/// A gateway's copy of the requests that are suspected of crashing backend servers, as group 0 records them.
struct quarantine_view {
    std::uint64_t revision = 0; ///< up to which the copy is complete
    std::map<std::string, wire::quarantine_record> records; ///< by fingerprint
};

/// Applies the changes of the answer to a poll.
void applyUpdate(quarantine_view& view, const wire::config_update& update);

} // namespace cuminledge::core::controller_client
