#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include <base/clock.hpp>

namespace cuminledge::core::forward {

/**
 * The programs that this gateway has lately admitted a request of. Where an account's rate is used up, its tokens go to
 * these first: a program that fails midway has spent them in vain, while one that is turned away at its first turn has
 * spent none.
 *
 * A program that moves here from another gateway counts as under way with its second request.
 */
struct program_memory {
    std::chrono::milliseconds retention { 30'000 }; ///< after a program's last request
    std::size_t maxPrograms = 50'000;
    std::unordered_map<std::string, time_point> lastSeen;
    std::deque<std::pair<time_point, std::string>> order; ///< of the requests, oldest first
};

/// A request of the program was admitted.
void noteAdmitted(program_memory& memory, const std::string& program, time_point now);

/// @return whether a request of the program was admitted within the retention.
bool isUnderWay(const program_memory& memory, const std::string& program, time_point now);

} // namespace cuminledge::core::forward
