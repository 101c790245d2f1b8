#pragma once

#include <iosfwd>

#include <ctl/controller_caller.hpp>
#include <ctl/options.hpp>

namespace cuminledge::ctl {

constexpr int exitDone = 0;
constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr int exitUnknown = 3;

/**
 * Runs the command of the options.
 *
 * @param out gets the result, errors gets what went wrong.
 * @return the program's exit status.
 */
int runCommand(const options& opts, const call_environment& environment, std::ostream& out, std::ostream& errors);

} // namespace cuminledge::ctl
