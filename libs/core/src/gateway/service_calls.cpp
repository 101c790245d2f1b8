#include "service_calls.hpp"

#include <json/value.h>

#include <wire/call_state_text.hpp>

#include "answers.hpp"
#include "attempts.hpp"
#include "rate.hpp"
#include "refusal.hpp"

namespace cuminledge::core::gateway {

namespace {

    /// How long the gateway that owns a record is left alone with it.
    constexpr std::chrono::milliseconds ownerPatience { 2'000 };
    constexpr std::chrono::milliseconds outcomePause { 250 };

    bool isCode(const wire::command_result& outcome, error_code code)
    {
        const auto* refused = std::get_if<wire::refused>(&outcome);
        return refused != nullptr && refused->code == static_cast<std::uint32_t>(code);
    }

    Json::Value toJson(const wire::call_status& status)
    {
        Json::Value value(Json::objectValue);
        value["call"] = status.call;
        value["state"] = wire::toString(status.state);
        value["service"] = status.service;
        value["operation"] = status.operation;
        if (status.state == wire::call_state::Done) {
            value["status"] = status.status;
            auto parsed = parseJson(status.answer, "read_call");
            value["answer"] = parsed ? *parsed : Json::Value(status.answer);
        }
        return value;
    }

    refusal outcomeUnknown(const call& subject)
    {
        refusal r;
        r.code = error_code::Timeout;
        r.message = "the outcome of the call is not known yet; ask again under the same Idempotency-Key";
        r.step = subject.lastError.step.empty() ? toString(subject.step) : subject.lastError.step;
        r.peer = subject.lastError.peer;
        r.ran = ran_state::Unknown;
        r.retryAfter = std::chrono::seconds(1);
        return r;
    }

    void awaitOutcome(context& c, call& subject, const wire::call_status& status)
    {
        if (subject.step != call_step::Outcome) {
            subject.waitUntil = c.now + c.state.settings.outcomeWait;
            subject.patientUntil = c.now + ownerPatience;
        }
        subject.step = call_step::Outcome;
        subject.record = status;
        subject.resumeAt = c.now + outcomePause;
        c.state.outcomeCalls.insert(subject.id);
    }

    /// Asks the sidecar that the record names. @return false where that sidecar has restarted since: its table is gone.
    bool askSidecar(context& c, const call& subject)
    {
        const auto& record = subject.record;
        const auto found = c.state.backends.find(record.backend);
        if (found == c.state.backends.end() || !found->second.connected) {
            return true;
        }
        if (found->second.connectedIncarnation != record.backendIncarnation) {
            return found->second.connectedIncarnation < record.backendIncarnation;
        }
        wire::attempt_query ask;
        ask.attempt = record.attempt;
        ask.sidecarIncarnation = record.backendIncarnation;
        // The owner may have it on the way; only after a while is it refused for good where it has not come.
        ask.refuseIfUnknown = c.now >= subject.patientUntil;
        c.out.emplace_back(send_message { found->second.record.sidecar, std::move(ask) });
        return true;
    }

    void settleForOwner(context& c, call& subject, wire::call_state state, std::uint32_t status, std::string answer)
    {
        wire::settle_call settle;
        settle.account = subject.account;
        settle.call = subject.callId;
        settle.attempt = subject.record.attempt;
        settle.state = state;
        settle.status = status;
        settle.answer = std::move(answer);
        if (subject.controllerRequest != 0) {
            controller_client::discardRequest(c.state.controllers, subject.controllerRequest);
            c.state.callOfRequest.erase(subject.controllerRequest);
        }
        command(c, subject, settle, "settle_call");
    }

    /// Another attempt owns the record: says what became of it, or waits for that.
    void followRecord(context& c, call& subject, const wire::call_status& status)
    {
        if (status.state == wire::call_state::Done) {
            answerAndFinish(c, subject, status.status, status.answer);
            return;
        }
        awaitOutcome(c, subject, status);
    }

    void resolve(context& c, call& subject)
    {
        switch (subject.record.state) {
        case wire::call_state::Recorded:
            if (c.now >= subject.patientUntil) {
                // Settled before its dispatch, the owner's dispatch is refused: this proves that it never runs.
                settleForOwner(c, subject, wire::call_state::NotRun, 0, {});
            }
            return;
        case wire::call_state::Dispatched:
        case wire::call_state::Unknown:
            if (!askSidecar(c, subject) && subject.record.state == wire::call_state::Dispatched) {
                settleForOwner(c, subject, wire::call_state::Unknown, 0, {});
            }
            return;
        case wire::call_state::Done:
        case wire::call_state::NotRun:
            return;
        }
    }

} // namespace

//------------------------------------------------------------------------------------------------------------------
// Recording and dispatch
//------------------------------------------------------------------------------------------------------------------

void findExistingCall(context& c, call& subject)
{
    subject.step = call_step::Existing;
    query(c, subject, wire::read_call { subject.account, subject.callId }, "read_call");
}

void onExistingRead(context& c, call& subject, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        refuseAndFinish(c, subject, refusalOf(outcome.error(), ran_state::Unknown));
        return;
    }
    if (isCode(*outcome, error_code::NotFound)) {
        requestRate(c, subject);
        return;
    }
    const auto* status = std::get_if<wire::call_status>(&*outcome);
    if (status == nullptr) {
        refuseAndFinish(c, subject, unexpectedResult(*outcome, "read_call", ran_state::Unknown));
        return;
    }
    if (status->requestDigest != subject.requestDigest) {
        refuseAndFinish(c, subject,
            refusalOf(error { error_code::Conflict, "the Idempotency-Key was used for another request", "read_call", {} },
                ran_state::Unknown));
        return;
    }
    if (status->state == wire::call_state::NotRun) {
        requestRate(c, subject);
        return;
    }
    followRecord(c, subject, *status);
}

void recordCall(context& c, call& subject)
{
    if (!hasBackend(c, subject)) {
        waitForBackend(c, subject);
        return;
    }
    subject.step = call_step::Record;
    wire::record_call record;
    record.account = subject.account;
    record.call = subject.callId;
    record.program = subject.program;
    record.service = subject.service;
    record.operation = subject.operation;
    record.requestDigest = subject.requestDigest;
    record.attempt = subject.ownAttempt;
    command(c, subject, record, "record_call");
}

void onCallRecorded(context& c, call& subject, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        // Should it have been recorded, it is never dispatched: nobody but this attempt may.
        commandDetached(c,
            wire::settle_call {
                subject.account, subject.callId, subject.ownAttempt, wire::call_state::NotRun, 0, {} },
            "settle_call");
        refuseAndFinish(c, subject, refusalOf(outcome.error(), ran_state::Unknown));
        return;
    }
    const auto* status = std::get_if<wire::call_status>(&*outcome);
    if (status == nullptr) {
        refuseAndFinish(c, subject, unexpectedResult(*outcome, "record_call", ran_state::Unknown));
        return;
    }
    if (status->attempt != subject.ownAttempt) {
        followRecord(c, subject, *status);
        return;
    }
    subject.recorded = true;
    if (subject.cancelled) {
        settleCall(c, subject, wire::call_state::NotRun);
        return;
    }
    startAttempt(c, subject);
}

void dispatchCall(context& c, call& subject)
{
    subject.step = call_step::Dispatch;
    wire::dispatch_call dispatch;
    dispatch.account = subject.account;
    dispatch.call = subject.callId;
    dispatch.attempt = subject.ownAttempt;
    dispatch.backend = subject.run.backend;
    dispatch.backendIncarnation = subject.run.incarnation;
    command(c, subject, dispatch, "dispatch_call");
}

void onCallDispatched(context& c, call& subject, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        // It was never sent to a sidecar and will not be.
        releaseBackend(c, subject);
        subject.lastError = outcome.error();
        settleCall(c, subject, wire::call_state::NotRun);
        return;
    }
    const auto* status = std::get_if<wire::call_status>(&*outcome);
    const bool mine = status != nullptr && status->state == wire::call_state::Dispatched
        && status->attempt == subject.ownAttempt && status->backend == subject.run.backend;
    if (!mine) {
        releaseBackend(c, subject);
        subject.step = call_step::Outcome;
        subject.waitUntil = c.now + c.state.settings.outcomeWait;
        subject.patientUntil = c.now + ownerPatience;
        c.state.outcomeCalls.insert(subject.id);
        readOutcome(c, subject);
        return;
    }
    if (subject.cancelled) {
        releaseBackend(c, subject);
        settleCall(c, subject, wire::call_state::NotRun);
        return;
    }
    sendAttempt(c, subject);
}

//------------------------------------------------------------------------------------------------------------------
// Settling
//------------------------------------------------------------------------------------------------------------------

void settleCall(context& c, call& subject, wire::call_state state)
{
    subject.step = call_step::Settle;
    subject.settleAs = state;
    command(c, subject,
        wire::settle_call { subject.account, subject.callId, subject.ownAttempt, state, subject.status, subject.answer },
        "settle_call");
}

namespace {

    void refuseNotRun(context& c, call& subject)
    {
        auto cause = subject.lastError;
        if (cause.message.empty()) {
            cause = { error_code::Unavailable, "the call was not started", "attempt", {} };
        }
        refuseAndFinish(c, subject, refusalOf(cause, ran_state::NotRun));
    }

    void finishUnsettled(context& c, call& subject)
    {
        // The settlement goes on being resent; meanwhile the caller hears what is certain.
        commandDetached(c,
            wire::settle_call { subject.account, subject.callId, subject.ownAttempt, subject.settleAs, subject.status,
                subject.answer },
            "settle_call");
        if (subject.settleAs == wire::call_state::Done) {
            answerAndFinish(c, subject, subject.status, subject.answer);
        } else {
            refuseAndFinish(c, subject, outcomeUnknown(subject));
        }
    }

} // namespace

void onCallSettled(context& c, call& subject, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        finishUnsettled(c, subject);
        return;
    }
    const auto* status = std::get_if<wire::call_status>(&*outcome);
    if (status == nullptr) {
        // Another gateway has settled it meanwhile; its record is what holds.
        subject.step = call_step::Outcome;
        subject.waitUntil = c.now + c.state.settings.outcomeWait;
        subject.patientUntil = c.now + ownerPatience;
        c.state.outcomeCalls.insert(subject.id);
        readOutcome(c, subject);
        return;
    }
    switch (status->state) {
    case wire::call_state::Done:
        answerAndFinish(c, subject, status->status, subject.answer.empty() ? status->answer : subject.answer);
        return;
    case wire::call_state::NotRun:
        refuseNotRun(c, subject);
        return;
    case wire::call_state::Recorded:
    case wire::call_state::Dispatched:
    case wire::call_state::Unknown:
        refuseAndFinish(c, subject, outcomeUnknown(subject));
        return;
    }
}

//------------------------------------------------------------------------------------------------------------------
// Outcomes of other attempts
//------------------------------------------------------------------------------------------------------------------

void readCall(context& c, call& subject)
{
    subject.step = call_step::Controller;
    query(c, subject, wire::read_call { subject.account, subject.callId }, "read_call");
}

void onCallRead(context& c, call& subject, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        refuseAndFinish(c, subject, refusalOf(outcome.error(), ran_state::Unknown));
        return;
    }
    const auto* status = std::get_if<wire::call_status>(&*outcome);
    if (status == nullptr) {
        refuseAndFinish(c, subject, unexpectedResult(*outcome, "read_call", ran_state::NotRun));
        return;
    }
    answerCaller(c, subject, 200, writeJson(toJson(*status)));
    const bool open = status->state != wire::call_state::Done && status->state != wire::call_state::NotRun;
    if (!open) {
        finishCall(c, subject);
        return;
    }
    // Whoever asks sees to it that the call settles, as its gateway may have died.
    awaitOutcome(c, subject, *status);
}

void readOutcome(context& c, call& subject)
{
    if (subject.controllerRequest != 0) {
        return;
    }
    if (c.now >= subject.waitUntil) {
        refuseAndFinish(c, subject, outcomeUnknown(subject));
        return;
    }
    query(c, subject, wire::read_call { subject.account, subject.callId }, "read_call");
}

void onOutcomeRead(context& c, call& subject, const result<wire::command_result>& outcome)
{
    subject.resumeAt = c.now + outcomePause;
    const auto* status = outcome ? std::get_if<wire::call_status>(&*outcome) : nullptr;
    if (status == nullptr) {
        return; // read again at resumeAt
    }
    subject.record = *status;
    if (status->state == wire::call_state::Done) {
        answerAndFinish(c, subject, status->status, status->answer);
        return;
    }
    if (status->state != wire::call_state::NotRun) {
        resolve(c, subject);
        return;
    }
    const bool wanted = subject.kind == call_kind::Service && subject.exchange != 0 && !subject.recorded
        && c.now < subject.startBy;
    if (!wanted) {
        refuseNotRun(c, subject);
        return;
    }
    // The earlier attempt is proved not to have run, so this request may run the call under an attempt of its own.
    c.state.outcomeCalls.erase(subject.id);
    if (subject.ownAttempt.empty()) {
        requestRate(c, subject);
    } else {
        recordCall(c, subject);
    }
}

void onForeignDone(context& c, const wire::attempt_done& done)
{
    const auto waiting = c.state.outcomeCalls;
    for (const auto id : waiting) {
        auto& subject = c.state.calls.at(id);
        if (subject.record.attempt == done.attempt) {
            settleForOwner(c, subject, wire::call_state::Done, done.status, done.body);
        }
    }
}

void onForeignFailed(context& c, const wire::attempt_failed& failed)
{
    const auto waiting = c.state.outcomeCalls;
    for (const auto id : waiting) {
        auto& subject = c.state.calls.at(id);
        if (subject.record.attempt != failed.attempt) {
            continue;
        }
        const bool proved = failed.outcome == wire::attempt_outcome::NotRun;
        if (proved || subject.record.state == wire::call_state::Dispatched) {
            settleForOwner(c, subject, proved ? wire::call_state::NotRun : wire::call_state::Unknown, 0, {});
        }
    }
}

} // namespace cuminledge::core::gateway
