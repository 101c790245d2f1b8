#include "context.hpp"

#include <array>

#include <core/store/group.hpp>

#include "rate.hpp"

namespace cuminledge::core::gateway {

std::string randomId(std::mt19937_64& random)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string id;
    constexpr int words = 2;
    constexpr int digitsPerWord = 16;
    for (int word = 0; word < words; ++word) {
        auto bits = random();
        for (int i = 0; i < digitsPerWord; ++i) {
            id += digits[bits & 15U];
            bits >>= 4U;
        }
    }
    return id;
}

std::chrono::milliseconds jittered(std::chrono::milliseconds pause, std::mt19937_64& random)
{
    const auto half = pause.count() / 2;
    return pause - std::chrono::milliseconds(half > 0 ? static_cast<std::int64_t>(random() % (half + 1)) : 0);
}

void logCall(gateway_context& context, log_level level, const std::string& name, const gateway_call& call,
    std::vector<std::pair<std::string, std::string>> fields)
{
    write_log line;
    line.level = level;
    line.event = name;
    line.fields = { { "request", call.requestId }, { "account", call.account }, { "kind", toString(call.kind) },
        { "step", toString(call.step) } };
    line.fields.insert(line.fields.end(), std::make_move_iterator(fields.begin()), std::make_move_iterator(fields.end()));
    context.out.emplace_back(std::move(line));
}

namespace {

    void awaitAnswer(gateway_context& context, gateway_call& call, std::uint64_t request)
    {
        call.controllerRequest = request;
        context.state.callByControllerRequest[request] = call.id;
    }

} // namespace

void sendCommand(gateway_context& context, gateway_call& call, const wire::command& body, const std::string& step)
{
    const auto group = store::groupOf(body, context.state.configuration.groupCount);
    awaitAnswer(context, call,
        controller_client::send(
            context.state.controllers, group, body, step, context.now,
            context.state.settings.controllerTimeout, context.out));
}

void sendQuery(gateway_context& context, gateway_call& call, const wire::query& body, const std::string& step)
{
    const auto group = store::groupOf(body, context.state.configuration.groupCount);
    awaitAnswer(context, call,
        controller_client::send(
            context.state.controllers, group, body, step, context.now,
            context.state.settings.controllerTimeout, context.out));
}

void sendDetachedCommand(gateway_context& context, const wire::command& body, const std::string& step)
{
    const auto group = store::groupOf(body, context.state.configuration.groupCount);
    controller_client::send(
        context.state.controllers, group, body, step, context.now, context.state.settings.callTimeout, context.out);
}

void finishCall(gateway_context& context, gateway_call& call)
{
    if (call.step == call_step::Rate) {
        removeFromRateQueue(context, call);
    }
    if (call.controllerRequest != 0) {
        controller_client::discardRequest(context.state.controllers, call.controllerRequest);
        context.state.callByControllerRequest.erase(call.controllerRequest);
    }
    if (!call.attempt.id.empty()) {
        context.state.callByAttempt.erase(call.attempt.id);
    }
    if (call.exchange != 0) {
        context.state.callByExchange.erase(call.exchange);
    }
    context.state.callsAwaitingOutcome.erase(call.id);
    context.state.calls.erase(call.id);
}

const char* toString(call_step step)
{
    static constexpr std::array names { "read_program", "rate", "controller", "begin_turn", "choose_backend", "attempt",
        "look_up_attempt", "commit_turn", "take_over_turn", "read_call", "record_call", "dispatch_call", "settle_call",
        "await_outcome" };
    return names.at(static_cast<std::size_t>(step));
}

const char* toString(call_kind kind)
{
    static constexpr std::array names { "open_program", "read_program", "read_history", "end_program", "chat",
        "service", "read_call" };
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace cuminledge::core::gateway
