#include "turns.hpp"

#include "answers.hpp"
#include "attempts.hpp"
#include "refusal.hpp"

namespace cuminledge::core::gateway {

namespace {

    /// How long another gateway's attempt at the turn is left to finish before it is taken for lost.
    constexpr std::chrono::milliseconds takeOverPatience { 5'000 };
    constexpr std::chrono::milliseconds takeOverPause { 200 };

    void answerCommitted(context& c, call& subject)
    {
        subject.answer = contentOf(subject.begun.answer);
        subject.finishReason = subject.begun.finishReason;
        subject.promptTokens = subject.begun.promptTokens;
        subject.completionTokens = subject.begun.completionTokens;
        streamPiece(c, subject, subject.answer);
        answerChat(c, subject);
    }

    /// The turn is held by another attempt: of a caller's resend, or of a gateway that died. What the caller wants is
    /// the turn's answer, so this waits for it, and takes over a turn that is not finished in time.
    void waitForRival(context& c, call& subject, const wire::refused& refused)
    {
        if (subject.rivalAttempt != refused.detail) {
            subject.rivalAttempt = refused.detail;
            subject.patientUntil = c.now + takeOverPatience;
        }
        subject.step = call_step::TakeOver;
        query(c, subject, wire::read_program { subject.program, subject.account }, "take_over_turn");
    }

    /// The lost attempt may still use up to its reservation, so all of it is charged.
    void takeOver(context& c, call& subject, const wire::program_status& status)
    {
        logCall(c, log_level::Warning, "turn_taken_over", subject, { { "from", subject.rivalAttempt } });
        commandDetached(c,
            wire::abandon_turn {
                subject.program, subject.account, subject.turn, subject.rivalAttempt, status.reservedTokens },
            "abandon_turn");
    }

    void confirmHistory(context& c, const call& subject)
    {
        const auto found = c.state.backends.find(subject.lastBackend);
        if (found != c.state.backends.end() && found->second.connected) {
            c.out.emplace_back(
                send_message { found->second.record.sidecar, wire::attempt_committed { subject.lastAttempt } });
        }
    }

    std::int64_t usedTokens(const call& subject)
    {
        const bool started = subject.mayHaveRun || subject.run.started;
        return started ? subject.begun.historyTokens + subject.deltaTokens + subject.completionTokens : 0;
    }

} // namespace

void beginTurn(context& c, call& subject)
{
    subject.step = call_step::Begin;
    wire::begin_turn begin;
    begin.program = subject.program;
    begin.account = subject.account;
    begin.turn = subject.turn;
    begin.attempt = subject.ownAttempt;
    begin.requestDigest = subject.requestDigest;
    begin.deltaTokens = subject.deltaTokens;
    begin.maxCompletionTokens = subject.maxTokens;
    command(c, subject, begin, "begin_turn");
}

void onTurnBegun(context& c, call& subject, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        // It may have been applied all the same.
        abandonTurn(c, subject);
        refuseAndFinish(c, subject, refusalOf(outcome.error(), ran_state::NotRun));
        return;
    }
    const auto* refused = std::get_if<wire::refused>(&*outcome);
    const bool held = refused != nullptr && refused->code == static_cast<std::uint32_t>(error_code::Conflict)
        && !refused->detail.empty();
    if (held && c.now < subject.startBy) {
        waitForRival(c, subject, *refused);
        return;
    }
    const auto* begun = std::get_if<wire::turn_begun>(&*outcome);
    if (begun == nullptr) {
        refuseAndFinish(c, subject, unexpectedResult(*outcome, "begin_turn", ran_state::NotRun));
        return;
    }
    subject.begun = *begun;
    if (begun->committed) {
        answerCommitted(c, subject);
        return;
    }
    startAttempt(c, subject);
}

void onRivalRead(context& c, call& subject, const result<wire::command_result>& outcome)
{
    const auto* status = outcome ? std::get_if<wire::program_status>(&*outcome) : nullptr;
    if (status == nullptr) {
        const auto why = outcome ? unexpectedResult(*outcome, "begin_turn", ran_state::NotRun)
                                 : refusalOf(outcome.error(), ran_state::NotRun);
        refuseAndFinish(c, subject, why);
        return;
    }
    if (status->state == "ended") {
        refuseAndFinish(c, subject,
            refusalOf(error { error_code::Conflict, "the program has ended: " + status->endReason, "begin_turn", {} },
                ran_state::NotRun));
        return;
    }
    if (status->turnUnderWay != 0 && status->turnUnderWay != subject.turn) {
        refuseAndFinish(c, subject,
            refusalOf(error { error_code::OutOfOrder,
                          "turn " + std::to_string(status->turnUnderWay) + " is under way", "begin_turn", {} },
                ran_state::NotRun));
        return;
    }
    if (status->turnUnderWay != 0 && c.now >= subject.patientUntil) {
        takeOver(c, subject, *status);
    }
    subject.resumeAt = c.now + takeOverPause;
}

void commitTurn(context& c, call& subject)
{
    subject.step = call_step::Commit;
    wire::commit_turn commit;
    commit.program = subject.program;
    commit.account = subject.account;
    commit.turn = subject.turn;
    commit.attempt = subject.ownAttempt;
    commit.delta = subject.body;
    commit.answer = assistantMessage(subject.answer);
    commit.finishReason = subject.finishReason;
    commit.promptTokens = subject.promptTokens;
    commit.completionTokens = subject.completionTokens;
    commit.backend = subject.lastBackend;
    command(c, subject, commit, "commit_turn");
}

void onTurnCommitted(context& c, call& subject, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        // Whether it is committed is not known. The commit goes on being resent, so that the answer is not lost and
        // the reservation does not stay; sending the turn again gets the committed answer.
        wire::commit_turn commit { subject.program, subject.account, subject.turn, subject.ownAttempt, subject.body,
            assistantMessage(subject.answer), subject.finishReason, subject.promptTokens, subject.completionTokens,
            subject.lastBackend };
        commandDetached(c, commit, "commit_turn");
        refuseAndFinish(c, subject, refusalOf(outcome.error(), ran_state::Ran));
        return;
    }
    const auto* status = std::get_if<wire::program_status>(&*outcome);
    if (status == nullptr) {
        abandonTurn(c, subject);
        refuseAndFinish(c, subject, unexpectedResult(*outcome, "commit_turn", ran_state::Ran));
        return;
    }
    confirmHistory(c, subject);
    answerChat(c, subject);
}

void abandonTurn(context& c, const call& subject)
{
    commandDetached(c,
        wire::abandon_turn {
            subject.program, subject.account, subject.turn, subject.ownAttempt, usedTokens(subject) },
        "abandon_turn");
}

} // namespace cuminledge::core::gateway
