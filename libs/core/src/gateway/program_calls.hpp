#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// Opens a program under a new random id.
void openProgram(gateway_context& context, gateway_call& call);

/// Looks up the program's account and route in the cache or at its group, then continues with onProgramKnown().
void findProgram(gateway_context& context, gateway_call& call);

/// Sends the single command or read that serves the request.
void sendProgramRequest(gateway_context& context, gateway_call& call);

/// Handles the answer to findProgram().
void onProgramFound(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome);

/// Handles the answer to openProgram() or sendProgramRequest(): answers the caller.
void onProgramAnswer(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome);

/// Adds the program to the bounded cache of known programs.
void cacheProgram(gateway_context& context, const std::string& program, known_program known);

} // namespace cuminledge::core::gateway
