#include "turns.hpp"

#include "answers.hpp"
#include "attempts.hpp"
#include "refusal.hpp"

namespace cuminledge::core::gateway {

namespace {

    /// Time that another attempt at the turn has to finish before it is considered lost.
    constexpr std::chrono::milliseconds takeOverTimeout { 5'000 };
    constexpr std::chrono::milliseconds takeOverPollInterval { 200 };

    void answerCommitted(gateway_context& context, gateway_call& call)
    {
        call.answer = messageContent(call.begun.answer);
        call.finishReason = call.begun.finishReason;
        call.promptTokens = call.begun.promptTokens;
        call.completionTokens = call.begun.completionTokens;
        streamText(context, call, call.answer);
        answerChat(context, call);
    }

    /// Waits for the other attempt that holds the turn: the caller has resent the request, or a gateway has died. The
    /// caller needs the turn's answer, so the call waits for it, and takes the turn over if it is not finished in time.
    void waitForCompetingAttempt(gateway_context& context, gateway_call& call, const wire::refused& refused)
    {
        if (call.competingAttempt != refused.detail) {
            call.competingAttempt = refused.detail;
            call.ownerDeadline = context.now + takeOverTimeout;
        }
        call.step = call_step::TakeOver;
        sendQuery(context, call, wire::read_program { call.program, call.account }, "take_over_turn");
    }

    /// Abandons the lost attempt. It may still use its whole reservation, so all of it is charged.
    void takeOver(gateway_context& context, gateway_call& call, const wire::program_status& status)
    {
        logCall(context, log_level::Warning, "turn_taken_over", call, { { "from", call.competingAttempt } });
        sendDetachedCommand(context,
            wire::abandon_turn {
                call.program, call.account, call.turn, call.competingAttempt, status.reservedTokens },
            "abandon_turn");
    }

    void confirmCommit(gateway_context& context, const gateway_call& call)
    {
        const auto found = context.state.backends.find(call.lastBackend);
        if (found != context.state.backends.end() && found->second.connected) {
            context.out.emplace_back(
                send_message { found->second.record.sidecar, wire::attempt_committed { call.lastAttempt } });
        }
    }

    std::int64_t usedTokens(const gateway_call& call)
    {
        const bool started = call.mayHaveRun || call.attempt.started;
        return started ? call.begun.historyTokens + call.deltaTokens + call.completionTokens : 0;
    }

} // namespace

void beginTurn(gateway_context& context, gateway_call& call)
{
    call.step = call_step::Begin;
    wire::begin_turn begin;
    begin.program = call.program;
    begin.account = call.account;
    begin.turn = call.turn;
    begin.attempt = call.ownAttempt;
    begin.requestDigest = call.requestDigest;
    begin.deltaTokens = call.deltaTokens;
    begin.maxCompletionTokens = call.maxTokens;
    sendCommand(context, call, begin, "begin_turn");
}

void onTurnBegun(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        // The command may have been applied even so.
        abandonTurn(context, call);
        refuseAndFinish(context, call, makeRefusal(outcome.error(), ran_state::NotRun));
        return;
    }
    const auto* refused = std::get_if<wire::refused>(&*outcome);
    const bool held = refused != nullptr && refused->code == static_cast<std::uint32_t>(error_code::Conflict)
        && !refused->detail.empty();
    if (held && context.now < call.startDeadline) {
        waitForCompetingAttempt(context, call, *refused);
        return;
    }
    const auto* begun = std::get_if<wire::turn_begun>(&*outcome);
    if (begun == nullptr) {
        refuseAndFinish(context, call, unexpectedResult(*outcome, "begin_turn", ran_state::NotRun));
        return;
    }
    call.begun = *begun;
    if (begun->committed) {
        answerCommitted(context, call);
        return;
    }
    startAttempt(context, call);
}

void onCompetingTurnRead(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome)
{
    const auto* status = outcome ? std::get_if<wire::program_status>(&*outcome) : nullptr;
    if (status == nullptr) {
        const auto cause = outcome ? unexpectedResult(*outcome, "begin_turn", ran_state::NotRun)
                                   : makeRefusal(outcome.error(), ran_state::NotRun);
        refuseAndFinish(context, call, cause);
        return;
    }
    if (status->state == "ended") {
        refuseAndFinish(context, call,
            makeRefusal(error { error_code::Conflict, "the program has ended: " + status->endReason, "begin_turn", {} },
                ran_state::NotRun));
        return;
    }
    if (status->turnUnderWay != 0 && status->turnUnderWay != call.turn) {
        refuseAndFinish(context, call,
            makeRefusal(error { error_code::OutOfOrder,
                            "turn " + std::to_string(status->turnUnderWay) + " is under way", "begin_turn", {} },
                ran_state::NotRun));
        return;
    }
    if (status->turnUnderWay != 0 && context.now >= call.ownerDeadline) {
        takeOver(context, call, *status);
    }
    call.nextCheckAt = context.now + takeOverPollInterval;
}

void commitTurn(gateway_context& context, gateway_call& call)
{
    call.step = call_step::Commit;
    wire::commit_turn commit;
    commit.program = call.program;
    commit.account = call.account;
    commit.turn = call.turn;
    commit.attempt = call.ownAttempt;
    commit.delta = call.body;
    commit.answer = assistantMessage(call.answer);
    commit.finishReason = call.finishReason;
    commit.promptTokens = call.promptTokens;
    commit.completionTokens = call.completionTokens;
    commit.backend = call.lastBackend;
    sendCommand(context, call, commit, "commit_turn");
}

void onTurnCommitted(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        // It is unknown whether the turn is committed. The commit continues to be resent, so that the answer is not
        // lost and the reservation does not remain; a caller that resends the turn gets the committed answer.
        wire::commit_turn commit { call.program, call.account, call.turn, call.ownAttempt, call.body,
            assistantMessage(call.answer), call.finishReason, call.promptTokens, call.completionTokens,
            call.lastBackend };
        sendDetachedCommand(context, commit, "commit_turn");
        refuseAndFinish(context, call, makeRefusal(outcome.error(), ran_state::Ran));
        return;
    }
    const auto* status = std::get_if<wire::program_status>(&*outcome);
    if (status == nullptr) {
        abandonTurn(context, call);
        refuseAndFinish(context, call, unexpectedResult(*outcome, "commit_turn", ran_state::Ran));
        return;
    }
    confirmCommit(context, call);
    answerChat(context, call);
}

void abandonTurn(gateway_context& context, const gateway_call& call)
{
    sendDetachedCommand(context,
        wire::abandon_turn {
            call.program, call.account, call.turn, call.ownAttempt, usedTokens(call) },
        "abandon_turn");
}

} // namespace cuminledge::core::gateway
