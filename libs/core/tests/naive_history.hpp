#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <wire/consensus_messages.hpp>

namespace cuminledge::core::consensus::test {

using key_values = std::map<std::string, std::string>;

/// The naive single map, and what any client may rely on.
struct history {
    std::vector<wire::log_entry> committed; ///< as first committed anywhere, index 1 first
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> versions; ///< of each key, by index
    std::uint64_t visible = 0; ///< highest index behind an acknowledged write or a served read
    std::uint64_t acknowledged = 0;
    std::uint64_t readsServed = 0;
    std::vector<std::string> violations;
};

/// Takes "KEY=VALUE" apart.
std::pair<std::string, std::string> parseCommand(const std::string& payload);

/// @return the naive map after the entries up to that index.
key_values naiveStateAt(const history& seen, std::uint64_t index);

/// Notes an entry that some replica commits. @return what is wrong with it; empty if nothing is.
std::string noteCommitted(history& seen, const wire::log_entry& entry);

} // namespace cuminledge::core::consensus::test
