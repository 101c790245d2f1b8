#pragma once

#include "context.hpp"

namespace cuminledge::core::gateway {

/// Opens a program under a new random id.
void openProgram(context& c, call& subject);

/// Finds the program's account and route, in memory or by asking its group, and goes on with onProgramKnown().
void findProgram(context& c, call& subject);

/// Sends the one command or read that the request is about.
void askAboutProgram(context& c, call& subject);

/// The answer to findProgram() has come.
void onProgramFound(context& c, call& subject, const result<wire::command_result>& outcome);

/// The answer to openProgram() or askAboutProgram() has come: answers the caller.
void onProgramAnswer(context& c, call& subject, const result<wire::command_result>& outcome);

/// Remembers where a program belongs, within a bound.
void rememberProgram(context& c, const std::string& program, known_program known);

} // namespace cuminledge::core::gateway
