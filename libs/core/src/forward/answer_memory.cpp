#include "answer_memory.hpp"

#include <algorithm>

#include "answers.hpp"

namespace cuminledge::core::forward {

namespace {

    forward_call& callThatHoldsMost(context& c)
    {
        const auto isSmaller
            = [](const auto& a, const auto& b) { return a.second.accountedBytes < b.second.accountedBytes; };
        return std::max_element(c.state.calls.begin(), c.state.calls.end(), isSmaller)->second;
    }

} // namespace

void recordHeldBytes(context& c, forward_call& call)
{
    const auto held = heldBytes(call.answer);
    c.state.heldAnswerBytes += held;
    c.state.heldAnswerBytes -= call.accountedBytes;
    call.accountedBytes = held;
}

void releaseHeldBytes(context& c, const forward_call& call)
{
    c.state.heldAnswerBytes -= call.accountedBytes;
}

void limitHeldBytes(context& c)
{
    while (c.state.heldAnswerBytes > c.state.settings.maxAnswerBytes && !c.state.calls.empty()) {
        auto& call = callThatHoldsMost(c);
        count(c, "forward_answers_over_memory_total");
        failCall(c, call, { error_code::Overloaded, "the answers under way exceed the gateway's memory for them" });
    }
}

} // namespace cuminledge::core::forward
