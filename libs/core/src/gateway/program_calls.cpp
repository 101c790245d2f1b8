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

    /// @return the stored JSON text as a value; a text that is not JSON stands as a text.
    Json::Value embedded(const std::string& text)
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
            Json::Value each(Json::objectValue);
            each["turn"] = turn.turn;
            each["messages"] = embedded(turn.delta);
            each["answer"] = embedded(turn.answer);
            each["prompt_tokens"] = Json::Int64(turn.promptTokens);
            each["completion_tokens"] = Json::Int64(turn.completionTokens);
            value["turns"].append(std::move(each));
        }
        return value;
    }

    void releaseCache(context& c, const std::string& program, const std::string& home)
    {
        const auto found = c.state.backends.find(home);
        if (found != c.state.backends.end() && found->second.connected) {
            c.out.emplace_back(send_message { found->second.record.sidecar, wire::program_ended { program } });
        }
    }

    ran_state ranOnTimeout(const call& subject)
    {
        const bool changes = subject.kind == call_kind::EndProgram || subject.kind == call_kind::OpenProgram;
        return changes ? ran_state::Unknown : ran_state::NotRun;
    }

} // namespace

void openProgram(context& c, call& subject)
{
    subject.step = call_step::Controller;
    subject.program = "p" + randomId(c.random);
    subject.opening.program = subject.program;
    command(c, subject, subject.opening, "open_program");
}

void rememberProgram(context& c, const std::string& program, known_program known)
{
    if (c.state.programs.size() >= maxKnownPrograms) {
        c.state.programs.clear();
    }
    c.state.programs[program] = std::move(known);
}

void findProgram(context& c, call& subject)
{
    const auto known = c.state.programs.find(subject.program);
    if (known != c.state.programs.end()) {
        const auto found = known->second;
        onProgramKnown(c, subject, found);
        return;
    }
    subject.step = call_step::Program;
    query(c, subject, wire::read_program { subject.program, subject.account }, "read_program");
}

void onProgramFound(context& c, call& subject, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        refuseAndFinish(c, subject, refusalOf(outcome.error(), ran_state::NotRun));
        return;
    }
    const auto* status = std::get_if<wire::program_status>(&*outcome);
    if (status == nullptr) {
        refuseAndFinish(c, subject, unexpectedResult(*outcome, "read_program", ran_state::NotRun));
        return;
    }
    const known_program known { status->account, status->route, status->home };
    rememberProgram(c, subject.program, known);
    onProgramKnown(c, subject, known);
}

void askAboutProgram(context& c, call& subject)
{
    subject.step = call_step::Controller;
    if (subject.kind == call_kind::ReadHistory) {
        query(c, subject, wire::read_history { subject.program, subject.account, 1 }, "read_history");
    } else if (subject.kind == call_kind::EndProgram) {
        command(c, subject, wire::end_program { subject.program, subject.account, "caller" }, "end_program");
    } else {
        query(c, subject, wire::read_program { subject.program, subject.account }, "read_program");
    }
}

void onProgramAnswer(context& c, call& subject, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        refuseAndFinish(c, subject, refusalOf(outcome.error(), ranOnTimeout(subject)));
        return;
    }
    if (const auto* status = std::get_if<wire::program_status>(&*outcome)) {
        constexpr std::uint32_t created = 201;
        constexpr std::uint32_t ok = 200;
        rememberProgram(c, subject.program, { status->account, status->route, status->home });
        if (subject.kind == call_kind::EndProgram) {
            releaseCache(c, subject.program, status->home);
        }
        answerAndFinish(c, subject, subject.kind == call_kind::OpenProgram ? created : ok, writeJson(toJson(*status)));
        return;
    }
    if (const auto* history = std::get_if<wire::history>(&*outcome)) {
        answerAndFinish(c, subject, 200, writeJson(toJson(*history)));
        return;
    }
    refuseAndFinish(c, subject, unexpectedResult(*outcome, toString(subject.kind), ran_state::NotRun));
}

} // namespace cuminledge::core::gateway
