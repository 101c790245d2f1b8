#pragma once

#include <host/settings.hpp>

namespace cuminledge::host {

/**
 * The main function of the three programs: reads the command line and the settings, and runs the process.
 *
 * @return the exit code: 0 done, 1 failed, 2 a fault in the command line or the settings.
 */
int runProgram(process_role role, int argc, char** argv);

} // namespace cuminledge::host
