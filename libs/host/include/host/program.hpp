#pragma once

#include <host/external_interface.hpp>
#include <host/settings.hpp>

namespace cuminledge::host {

/**
 * The main function of the three programs: reads the command line and the settings, and runs the process.
 *
 * @param interface for deployments with forwarding gateways.
 * @return the exit code: 0 done, 1 failed, 2 a fault in the command line or the settings.
 */
int runProgram(process_role role, int argc, char** argv, external_interface interface = {});

} // namespace cuminledge::host
