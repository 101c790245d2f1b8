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
 * Programs of which this gateway has recently admitted a request. When an account's rate is used up, its tokens go to
 * these programs first: a program that fails midway has wasted the tokens it spent, while one refused at its first turn
 * has spent none.
 *
 * A program that moves here from another gateway counts as active from its second request.
 */
struct recent_programs {
    std::chrono::milliseconds retention { 30'000 }; ///< how long a program stays active after its last admitted request
    std::size_t maxPrograms = 50'000; ///< entries of admissions
    std::unordered_map<std::string, time_point> lastAdmitted;
    std::deque<std::pair<time_point, std::string>> admissions; ///< one entry for each admitted request, oldest first
};

/// Records that a request of the program was admitted.
void recordAdmission(recent_programs& programs, const std::string& program, time_point now);

/// @return whether a request of the program was admitted within the retention time.
bool isActive(const recent_programs& programs, const std::string& program, time_point now);

} // namespace cuminledge::core::forward
