#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cuminledge::core::limits {

/// The calls of one gateway that wait for a token, by client account, first in first out. Made empty.
using waiting_calls = std::map<std::string, std::deque<std::uint64_t>>;

void addWaiting(waiting_calls& calls, const std::string& account, std::uint64_t call);

/// @return the call of the account that has waited longest, taken out; nothing where none waits.
std::optional<std::uint64_t> takeWaiting(waiting_calls& calls, const std::string& account);

/// @return whether the call waited; it does so no longer.
bool removeWaiting(waiting_calls& calls, const std::string& account, std::uint64_t call);

} // namespace cuminledge::core::limits
