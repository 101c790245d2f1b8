#pragma once

#include "context.hpp"
#include "refusal.hpp"

namespace cuminledge::core::gateway {

/// Answers the caller, if one waits. The call goes on without a caller.
void answerCaller(context& c, call& subject, std::uint32_t status, std::string body);

/// Answers the caller, if one waits, and forgets the call. The reference is dangling afterwards.
void answerAndFinish(context& c, call& subject, std::uint32_t status, std::string body);

/// Passes a piece of the answer on to a caller that wants it streamed.
void streamPiece(context& c, call& subject, const std::string& text);

/// The chat answer is complete and, where it belongs to a program, durable: answers the caller and forgets the call.
void answerChat(context& c, call& subject);

/// @return the assistant's message as a JSON object, as it stands in histories.
std::string assistantMessage(const std::string& content);

/// @return the content of an assistantMessage().
std::string contentOf(const std::string& assistantMessage);

/// @return a refusal for a result that is either `refused` or of a kind that does not belong to the step.
refusal unexpectedResult(const wire::command_result& outcome, const std::string& step, ran_state ran);

} // namespace cuminledge::core::gateway
