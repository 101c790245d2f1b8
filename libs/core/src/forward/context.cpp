#include "context.hpp"

#include <algorithm>

#include <core/group.hpp>

namespace cuminledge::core::forward {

const char* toString(call_step step)
{
    switch (step) {
    case call_step::Confirm:
        return "confirm";
    case call_step::Rate:
        return "rate";
    case call_step::Prepare:
        return "prepare";
    case call_step::Room:
        return "room";
    case call_step::Run:
        return "run";
    case call_step::Retain:
        return "retain";
    }
    return "rate";
}

std::size_t heldBytes(const answer_progress& answer)
{
    return answer.body.size() + answer.events.partial.size() + answer.output.size();
}

void logCall(context& c, log_level level, const char* name, const forward_call& call,
    std::vector<std::pair<std::string, std::string>> fields)
{
    write_log line;
    line.level = level;
    line.event = name;
    line.fields = { { "request", call.request.attempt }, { "route", call.route.name },
        { "account", call.account }, { "step", toString(call.step) },
        { "age_ms", std::to_string(age(c, call).count()) } };
    line.fields.insert(line.fields.end(), std::make_move_iterator(fields.begin()), std::make_move_iterator(fields.end()));
    c.out.emplace_back(std::move(line));
}

void count(context& c, const char* name)
{
    c.out.emplace_back(record_metric { name, 1, false });
}

std::chrono::milliseconds timeLeft(const context& c, const forward_call& call)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(call.expiresAt - c.now);
}

bool isSuccess(std::uint32_t status)
{
    constexpr std::uint32_t firstSuccess = 200;
    constexpr std::uint32_t lastSuccess = 299;
    return status >= firstSuccess && status <= lastSuccess;
}

std::uint32_t accountGroup(const context& c, const forward_call& call)
{
    return groupOfAccount(call.account, c.state.configuration.groupCount);
}

std::chrono::milliseconds controllerTimeout(const context& c, const forward_call& call)
{
    return std::clamp(timeLeft(c, call), std::chrono::milliseconds(1), c.state.settings.controllerTimeout);
}

std::chrono::milliseconds age(const context& c, const forward_call& call)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(c.now - call.arrived);
}

} // namespace cuminledge::core::forward
