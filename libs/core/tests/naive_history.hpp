#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <wire/consensus_messages.hpp>

namespace cuminledge::core::consensus::test {

using key_values = std::map<std::string, std::string>;

/// The committed entries as a naive map with all versions, and what clients have observed.
struct history {
    std::vector<wire::log_entry> committed; ///< as first committed by any replica, starting with index 1
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> versions; ///< index and value of each write, by key
    std::uint64_t visible = 0; ///< highest index observed by an acknowledged write or a served read
    std::uint64_t acknowledged = 0;
    std::uint64_t readsServed = 0;
    std::vector<std::string> violations;
};

/// Splits "KEY=VALUE" into key and value.
std::pair<std::string, std::string> parseCommand(const std::string& payload);

/// @return the naive map after the entries up to that index.
key_values naiveStateAt(const history& observed, std::uint64_t index);

/// Records an entry that a replica commits. @return the violation it causes; empty if none.
std::string recordCommitted(history& observed, const wire::log_entry& entry);

} // namespace cuminledge::core::consensus::test
