#include <core/forward/room_queue.hpp>

#include <algorithm>
#include <cmath>

namespace cuminledge::core::forward {

void enqueue(room_queue& queue, const waiting_call& call)
{
    queue.calls.insert(call);
    queue.byExchange[call.exchange] = call;
}

bool dequeue(room_queue& queue, exchange_id exchange)
{
    const auto found = queue.byExchange.find(exchange);
    if (found == queue.byExchange.end()) {
        return false;
    }
    queue.calls.erase(found->second);
    queue.byExchange.erase(found);
    return true;
}

void recordWait(room_queue& queue, std::chrono::milliseconds waited, const room_queue_settings& settings, time_point now)
{
    addSample(queue.wait, static_cast<double>(waited.count()), settings.waitWeight, now);
}

std::chrono::milliseconds predictWait(const room_queue& queue, room_rank rank, std::uint32_t running, double requestMs,
    double load, const room_queue_settings& settings, time_point now)
{
    const auto ahead = std::count_if(queue.calls.begin(), queue.calls.end(), [rank](const auto& call) { return call.rank <= rank; });
    const double byQueue = static_cast<double>(ahead) * requestMs / std::max<std::uint32_t>(running, 1);
    const auto age = std::chrono::duration<double>(now - queue.wait.at) / std::chrono::duration<double>(settings.waitMemory);
    const double recent = queue.wait.value * std::exp2(-age);
    // What the engines hold beyond what they run waits there.
    const double atEngines = std::max(load - 1, 0.0) * requestMs;
    return std::chrono::milliseconds(std::llround(std::max({ byQueue, recent, atEngines })));
}

} // namespace cuminledge::core::forward
