#pragma once

#include "context.hpp"
#include "refusal.hpp"

namespace cuminledge::core::gateway {

/// Answers the caller, if one is waiting. The call continues without a caller.
void answerCaller(gateway_context& context, gateway_call& call, std::uint32_t status, std::string body);

/// Answers the caller, if one is waiting, and removes the call. The reference is dangling afterwards.
void answerAndFinish(gateway_context& context, gateway_call& call, std::uint32_t status, std::string body);

/// Sends a part of the answer to a caller that requested streaming.
void streamText(gateway_context& context, gateway_call& call, const std::string& text);

/// Answers the caller of a chat call and removes the call. The answer must be complete and, if it belongs to a program,
/// durable. The reference is dangling afterwards.
void answerChat(gateway_context& context, gateway_call& call);

/// @return the assistant's message as a JSON object, in the form stored in histories.
std::string assistantMessage(const std::string& content);

/// @return the content of an assistantMessage().
std::string messageContent(const std::string& assistantMessage);

/// @return the refusal for a result that is `refused` or has a type that the step does not expect.
refusal unexpectedResult(const wire::command_result& outcome, const std::string& step, ran_state ran);

} // namespace cuminledge::core::gateway
