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

void logCall(context& c, log_level level, const std::string& name, const call& subject,
    std::vector<std::pair<std::string, std::string>> fields)
{
    write_log line;
    line.level = level;
    line.event = name;
    line.fields = { { "request", subject.requestId }, { "account", subject.account }, { "kind", toString(subject.kind) },
        { "step", toString(subject.step) } };
    line.fields.insert(line.fields.end(), std::make_move_iterator(fields.begin()), std::make_move_iterator(fields.end()));
    c.out.emplace_back(std::move(line));
}

namespace {

    void expect(context& c, call& subject, std::uint64_t request)
    {
        subject.controllerRequest = request;
        c.state.callOfRequest[request] = subject.id;
    }

} // namespace

void command(context& c, call& subject, const wire::command& body, const std::string& step)
{
    const auto group = store::groupOf(body, c.state.configuration.groupCount);
    expect(c, subject,
        controller_client::send(
            c.state.controllers, group, body, step, c.now, c.state.settings.controllerTimeout, c.out));
}

void query(context& c, call& subject, const wire::query& body, const std::string& step)
{
    const auto group = store::groupOf(body, c.state.configuration.groupCount);
    expect(c, subject,
        controller_client::send(
            c.state.controllers, group, body, step, c.now, c.state.settings.controllerTimeout, c.out));
}

void commandDetached(context& c, const wire::command& body, const std::string& step)
{
    const auto group = store::groupOf(body, c.state.configuration.groupCount);
    controller_client::send(c.state.controllers, group, body, step, c.now, c.state.settings.callTimeout, c.out);
}

void finishCall(context& c, call& subject)
{
    if (subject.step == call_step::Rate) {
        leaveRateQueue(c, subject);
    }
    if (subject.controllerRequest != 0) {
        controller_client::discardRequest(c.state.controllers, subject.controllerRequest);
        c.state.callOfRequest.erase(subject.controllerRequest);
    }
    if (!subject.run.attempt.empty()) {
        c.state.callOfAttempt.erase(subject.run.attempt);
    }
    if (subject.exchange != 0) {
        c.state.callOfExchange.erase(subject.exchange);
    }
    c.state.outcomeCalls.erase(subject.id);
    c.state.calls.erase(subject.id);
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
