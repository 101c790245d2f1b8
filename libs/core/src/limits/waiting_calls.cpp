#include <core/limits/waiting_calls.hpp>

#include <algorithm>

namespace cuminledge::core::limits {

void addWaiting(waiting_calls& calls, const std::string& account, std::uint64_t call)
{
    calls[account].push_back(call);
}

std::optional<std::uint64_t> takeWaiting(waiting_calls& calls, const std::string& account)
{
    const auto queue = calls.find(account);
    if (queue == calls.end()) {
        return std::nullopt;
    }
    const auto call = queue->second.front();
    queue->second.pop_front();
    if (queue->second.empty()) {
        calls.erase(queue);
    }
    return call;
}

bool removeWaiting(waiting_calls& calls, const std::string& account, std::uint64_t call)
{
    const auto queue = calls.find(account);
    if (queue == calls.end()) {
        return false;
    }
    auto& waiting = queue->second;
    const auto place = std::find(waiting.begin(), waiting.end(), call);
    if (place == waiting.end()) {
        return false;
    }
    waiting.erase(place);
    if (waiting.empty()) {
        calls.erase(queue);
    }
    return true;
}

} // namespace cuminledge::core::limits
