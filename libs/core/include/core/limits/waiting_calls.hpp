#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cuminledge::core::limits {

/// The calls of one gateway that wait for a token, by client account, first in, first out. Holds no empty queues.
using waiting_calls = std::map<std::string, std::deque<std::uint64_t>>;

void addWaiting(waiting_calls& calls, const std::string& account, std::uint64_t call);

/// Removes the call of the account that has waited longest. @return the call, or nothing if none waits.
std::optional<std::uint64_t> takeWaiting(waiting_calls& calls, const std::string& account);

/// Removes a waiting call. @return whether it was waiting.
bool removeWaiting(waiting_calls& calls, const std::string& account, std::uint64_t call);

} // namespace cuminledge::core::limits
