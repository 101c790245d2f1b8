#include "program_calls.hpp"

#include <json/value.h>

#include "admission.hpp"
#include "answers.hpp"
#include "refusal.hpp"

namespace cuminledge::core::gateway {

namespace {

    constexpr std::size_t maxKnownPrograms = 100'000;

    Json::Value toJson(const wire::program_status& status)
    {
        Json::Value value(Json::objectValue);
        value["id"] = status.program;
        value["route"] = status.route;
        value["state"] = status.state;
        value["end_reason"] = status.endReason;
        value["committed_turns"] = status.committedTurns;
        value["turn_under_way"] = status.turnUnderWay;
        value["budget_tokens"] = Json::Int64(status.budgetTokens);
        value["used_tokens"] = Json::Int64(status.usedTokens);
        value["reserved_tokens"] = Json::Int64(status.reservedTokens);
        value["history_tokens"] = Json::Int64(status.historyTokens);
        value["max_turns"] = status.maxTurns;
        value["idle_timeout_ms"] = Json::Int64(status.idleTimeout.count());
        return value;
    }

    /// @return the stored text parsed as JSON, or as a JSON string if it is not valid JSON.
    Json::Value embeddedJson(const std::string& text)
    {
        auto parsed = parseJson(text, "read_history");
        return parsed ? *parsed : Json::Value(text);
    }

    Json::Value toJson(const wire::history& history)
    {
        Json::Value value(Json::objectValue);
        value["id"] = history.program;
        value["turns"] = Json::Value(Json::arrayValue);
        for (const auto& turn : history.turns) {
            Json::Value entry(Json::objectValue);
            entry["turn"] = turn.turn;
            entry["messages"] = embeddedJson(turn.delta);
            entry["answer"] = embeddedJson(turn.answer);
            entry["prompt_tokens"] = Json::Int64(turn.promptTokens);
            entry["completion_tokens"] = Json::Int64(turn.completionTokens);
            value["turns"].append(std::move(entry));
        }
        return value;
    }

    void releaseCache(gateway_context& context, const std::string& program, const std::string& home)
    {
        const auto found = context.state.backends.find(home);
        if (found != context.state.backends.end() && found->second.connected) {
            context.out.emplace_back(send_message { found->second.record.sidecar, wire::program_ended { program } });
        }
    }

    ran_state ranStateOnError(const gateway_call& call)
    {
        const bool changes = call.kind == call_kind::EndProgram || call.kind == call_kind::OpenProgram;
        return changes ? ran_state::Unknown : ran_state::NotRun;
    }

} // namespace

void openProgram(gateway_context& context, gateway_call& call)
{
    call.step = call_step::Controller;
    call.program = "p" + randomId(context.random);
    call.openCommand.program = call.program;
    sendCommand(context, call, call.openCommand, "open_program");
}

void cacheProgram(gateway_context& context, const std::string& program, known_program known)
{
    if (context.state.knownPrograms.size() >= maxKnownPrograms) {
        context.state.knownPrograms.clear();
    }
    context.state.knownPrograms[program] = std::move(known);
}

void findProgram(gateway_context& context, gateway_call& call)
{
    const auto known = context.state.knownPrograms.find(call.program);
    if (known != context.state.knownPrograms.end()) {
        const auto found = known->second;
        onProgramKnown(context, call, found);
        return;
    }
    call.step = call_step::Program;
    sendQuery(context, call, wire::read_program { call.program, call.account }, "read_program");
}

void onProgramFound(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        refuseAndFinish(context, call, makeRefusal(outcome.error(), ran_state::NotRun));
        return;
    }
    const auto* status = std::get_if<wire::program_status>(&*outcome);
    if (status == nullptr) {
        refuseAndFinish(context, call, unexpectedResult(*outcome, "read_program", ran_state::NotRun));
        return;
    }
    const known_program known { status->account, status->route, status->home };
    cacheProgram(context, call.program, known);
    onProgramKnown(context, call, known);
}

void sendProgramRequest(gateway_context& context, gateway_call& call)
{
    call.step = call_step::Controller;
    if (call.kind == call_kind::ReadHistory) {
        sendQuery(context, call, wire::read_history { call.program, call.account, 1 }, "read_history");
    } else if (call.kind == call_kind::EndProgram) {
        sendCommand(context, call, wire::end_program { call.program, call.account, "caller" }, "end_program");
    } else {
        sendQuery(context, call, wire::read_program { call.program, call.account }, "read_program");
    }
}

void onProgramAnswer(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        refuseAndFinish(context, call, makeRefusal(outcome.error(), ranStateOnError(call)));
        return;
    }
    if (const auto* status = std::get_if<wire::program_status>(&*outcome)) {
        constexpr std::uint32_t created = 201;
        constexpr std::uint32_t ok = 200;
        cacheProgram(context, call.program, { status->account, status->route, status->home });
        if (call.kind == call_kind::EndProgram) {
            releaseCache(context, call.program, status->home);
        }
        answerAndFinish(context, call, call.kind == call_kind::OpenProgram ? created : ok, writeJson(toJson(*status)));
        return;
    }
    if (const auto* history = std::get_if<wire::history>(&*outcome)) {
        answerAndFinish(context, call, 200, writeJson(toJson(*history)));
        return;
    }
    refuseAndFinish(context, call, unexpectedResult(*outcome, toString(call.kind), ran_state::NotRun));
}

} // namespace cuminledge::core::gateway
