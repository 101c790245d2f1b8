#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include <base/clock.hpp>

namespace cuminledge::core::limits {

/// Programs that were refused a short time ago and may come back. Bounded in number and age.
struct refused_programs {
    std::map<std::string, time_point> lastRefused; ///< by id
    std::deque<std::pair<time_point, std::string>> refusals; ///< oldest first; all but the last of a program are outdated
};

/// Drops programs that have not been refused for some seconds: their clients have given up.
void forgetOld(refused_programs& programs, time_point now);

/// The program was refused now.
void noteRefused(refused_programs& programs, const std::string& program, time_point now);

/// The program was admitted, and no longer counts. @return whether it had been refused before.
bool noteAdmitted(refused_programs& programs, const std::string& program);

/// @return whether the program was refused a short time ago.
bool wasRefused(const refused_programs& programs, const std::string& program);

} // namespace cuminledge::core::limits
