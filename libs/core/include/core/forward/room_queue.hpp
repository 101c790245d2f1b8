#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include <base/clock.hpp>
#include <core/event.hpp>
#include <core/forward/server_times.hpp>

/**
 * Calls that wait until an engine has room.
 *
 * Only whole programs count to a caller, so a turn of a program under way goes before the first turn of a new one, and
 * among the former the one whose program is due first. Programs that can't be in time any more come after those that can.
 * A new program is refused at once if its first turn would wait too long.
 */
namespace cuminledge::core::forward {

struct room_queue_settings {
    double maxFirstWait = 1; ///< longest wait of a new program's first turn, as a share of its route's latency target
    double waitWeight = 0.2; ///< of the newest wait in the average of recent ones
    std::chrono::milliseconds waitMemory { 500 }; ///< after it, half of the average of recent waits counts
};

enum class room_rank : std::uint8_t {
    UnderWay, ///< a turn of a program that can still be in time
    Late, ///< a turn of a program under way whose time is up
    New ///< the first turn of a program
};

/// A waiting call. The lowest goes first.
struct waiting_call {
    room_rank rank = room_rank::UnderWay;
    time_point due {}; ///< of the program
    std::uint64_t sequence = 0; ///< order of arrival
    exchange_id exchange = 0;

    friend bool operator<(const waiting_call& left, const waiting_call& right)
    {
        return std::tie(left.rank, left.due, left.sequence) < std::tie(right.rank, right.due, right.sequence);
    }
};

/// The calls of one service that wait.
struct room_queue {
    std::set<waiting_call> calls;
    std::map<exchange_id, waiting_call> byExchange;
    moving_average wait; ///< of the calls that were sent lately
};

void enqueue(room_queue& queue, const waiting_call& call);

/// @return whether the call was waiting.
bool dequeue(room_queue& queue, exchange_id exchange);

/// Records how long a call has waited that is now sent.
void recordWait(room_queue& queue, std::chrono::milliseconds waited, const room_queue_settings& settings, time_point now);

/// @return how long a call of this rank would wait from now on.
/// @param running requests of this gateway at the engines; each that ends makes room for the next.
/// @param requestMs how long a request is under way.
/// @param load requests under way or waiting at all gateways, divided by what the engines run at once.
std::chrono::milliseconds predictWait(const room_queue& queue, room_rank rank, std::uint32_t running, double requestMs,
    double load, const room_queue_settings& settings, time_point now);

} // namespace cuminledge::core::forward
