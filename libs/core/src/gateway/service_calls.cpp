#include "service_calls.hpp"

#include <json/value.h>

#include <wire/call_state_text.hpp>

#include "answers.hpp"
#include "attempts.hpp"
#include "rate.hpp"
#include "refusal.hpp"

namespace cuminledge::core::gateway {

namespace {

    /// Time that the attempt that owns a record has before other calls interfere with the record.
    constexpr std::chrono::milliseconds ownerTimeout { 2'000 };
    constexpr std::chrono::milliseconds outcomePollInterval { 250 };

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

    refusal unknownOutcome(const gateway_call& call)
    {
        refusal cause;
        cause.code = error_code::Timeout;
        cause.message = "the outcome of the call is not known yet; ask again under the same Idempotency-Key";
        cause.step = call.lastError.step.empty() ? toString(call.step) : call.lastError.step;
        cause.peer = call.lastError.peer;
        cause.ran = ran_state::Unknown;
        cause.retryAfter = std::chrono::seconds(1);
        return cause;
    }

    void awaitOutcome(gateway_context& context, gateway_call& call, const wire::call_status& status)
    {
        if (call.step != call_step::Outcome) {
            call.outcomeDeadline = context.now + context.state.settings.outcomeWait;
            call.ownerDeadline = context.now + ownerTimeout;
        }
        call.step = call_step::Outcome;
        call.record = status;
        call.nextCheckAt = context.now + outcomePollInterval;
        context.state.callsAwaitingOutcome.insert(call.id);
    }

    /// Queries the sidecar named in the record. @return false if that sidecar has restarted since, which cleared its
    /// attempt table.
    bool querySidecar(gateway_context& context, const gateway_call& call)
    {
        const auto& record = call.record;
        const auto found = context.state.backends.find(record.backend);
        if (found == context.state.backends.end() || !found->second.connected) {
            return true;
        }
        if (found->second.connectedIncarnation != record.backendIncarnation) {
            return found->second.connectedIncarnation < record.backendIncarnation;
        }
        wire::attempt_query ask;
        ask.attempt = record.attempt;
        ask.sidecarIncarnation = record.backendIncarnation;
        // The owner's attempt may still be in transit, so the sidecar refuses an unknown attempt for good only after
        // the owner's deadline.
        ask.refuseIfUnknown = context.now >= call.ownerDeadline;
        context.out.emplace_back(send_message { found->second.record.sidecar, std::move(ask) });
        return true;
    }

    void settleForOwner(gateway_context& context, gateway_call& call, wire::call_state state, std::uint32_t status,
        std::string answer)
    {
        wire::settle_call settle;
        settle.account = call.account;
        settle.call = call.callId;
        settle.attempt = call.record.attempt;
        settle.state = state;
        settle.status = status;
        settle.answer = std::move(answer);
        if (call.controllerRequest != 0) {
            controller_client::discardRequest(context.state.controllers, call.controllerRequest);
            context.state.callByControllerRequest.erase(call.controllerRequest);
        }
        sendCommand(context, call, settle, "settle_call");
    }

    /// Answers with the outcome of the attempt that owns the record, or waits for it.
    void followRecord(gateway_context& context, gateway_call& call, const wire::call_status& status)
    {
        if (status.state == wire::call_state::Done) {
            answerAndFinish(context, call, status.status, status.answer);
            return;
        }
        awaitOutcome(context, call, status);
    }

    void resolveRecord(gateway_context& context, gateway_call& call)
    {
        switch (call.record.state) {
        case wire::call_state::Recorded:
            if (context.now >= call.ownerDeadline) {
                // Once the record is settled, the owner's dispatch is refused, so the call provably never runs.
                settleForOwner(context, call, wire::call_state::NotRun, 0, {});
            }
            return;
        case wire::call_state::Dispatched:
        case wire::call_state::Unknown:
            if (!querySidecar(context, call) && call.record.state == wire::call_state::Dispatched) {
                settleForOwner(context, call, wire::call_state::Unknown, 0, {});
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

void findExistingCall(gateway_context& context, gateway_call& call)
{
    call.step = call_step::Existing;
    sendQuery(context, call, wire::read_call { call.account, call.callId }, "read_call");
}

void onExistingRead(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        refuseAndFinish(context, call, makeRefusal(outcome.error(), ran_state::Unknown));
        return;
    }
    if (isCode(*outcome, error_code::NotFound)) {
        acquireRateToken(context, call);
        return;
    }
    const auto* status = std::get_if<wire::call_status>(&*outcome);
    if (status == nullptr) {
        refuseAndFinish(context, call, unexpectedResult(*outcome, "read_call", ran_state::Unknown));
        return;
    }
    if (status->requestDigest != call.requestDigest) {
        refuseAndFinish(context, call,
            makeRefusal(
                error { error_code::Conflict, "the Idempotency-Key was used for another request", "read_call", {} },
                ran_state::Unknown));
        return;
    }
    if (status->state == wire::call_state::NotRun) {
        acquireRateToken(context, call);
        return;
    }
    followRecord(context, call, *status);
}

void recordCall(gateway_context& context, gateway_call& call)
{
    if (!hasBackend(context, call)) {
        waitForBackend(context, call);
        return;
    }
    call.step = call_step::Record;
    wire::record_call record;
    record.account = call.account;
    record.call = call.callId;
    record.program = call.program;
    record.service = call.service;
    record.operation = call.operation;
    record.requestDigest = call.requestDigest;
    record.attempt = call.ownAttempt;
    sendCommand(context, call, record, "record_call");
}

void onCallRecorded(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        // If the record was created, the call is never dispatched: only this attempt may dispatch it.
        sendDetachedCommand(context,
            wire::settle_call {
                call.account, call.callId, call.ownAttempt, wire::call_state::NotRun, 0, {} },
            "settle_call");
        refuseAndFinish(context, call, makeRefusal(outcome.error(), ran_state::Unknown));
        return;
    }
    const auto* status = std::get_if<wire::call_status>(&*outcome);
    if (status == nullptr) {
        refuseAndFinish(context, call, unexpectedResult(*outcome, "record_call", ran_state::Unknown));
        return;
    }
    if (status->attempt != call.ownAttempt) {
        followRecord(context, call, *status);
        return;
    }
    call.recorded = true;
    if (call.cancelled) {
        settleCall(context, call, wire::call_state::NotRun);
        return;
    }
    startAttempt(context, call);
}

void dispatchCall(gateway_context& context, gateway_call& call)
{
    call.step = call_step::Dispatch;
    wire::dispatch_call dispatch;
    dispatch.account = call.account;
    dispatch.call = call.callId;
    dispatch.attempt = call.ownAttempt;
    dispatch.backend = call.attempt.backend;
    dispatch.backendIncarnation = call.attempt.incarnation;
    sendCommand(context, call, dispatch, "dispatch_call");
}

void onCallDispatched(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        // The call was not sent to a sidecar and will not be.
        releaseBackend(context, call);
        call.lastError = outcome.error();
        settleCall(context, call, wire::call_state::NotRun);
        return;
    }
    const auto* status = std::get_if<wire::call_status>(&*outcome);
    const bool isOwn = status != nullptr && status->state == wire::call_state::Dispatched
        && status->attempt == call.ownAttempt && status->backend == call.attempt.backend;
    if (!isOwn) {
        releaseBackend(context, call);
        call.step = call_step::Outcome;
        call.outcomeDeadline = context.now + context.state.settings.outcomeWait;
        call.ownerDeadline = context.now + ownerTimeout;
        context.state.callsAwaitingOutcome.insert(call.id);
        readOutcome(context, call);
        return;
    }
    if (call.cancelled) {
        releaseBackend(context, call);
        settleCall(context, call, wire::call_state::NotRun);
        return;
    }
    sendAttempt(context, call);
}

//------------------------------------------------------------------------------------------------------------------
// Settling
//------------------------------------------------------------------------------------------------------------------

void settleCall(gateway_context& context, gateway_call& call, wire::call_state state)
{
    call.step = call_step::Settle;
    call.settleState = state;
    sendCommand(context, call,
        wire::settle_call { call.account, call.callId, call.ownAttempt, state, call.status, call.answer },
        "settle_call");
}

namespace {

    void refuseNotRun(gateway_context& context, gateway_call& call)
    {
        auto cause = call.lastError;
        if (cause.message.empty()) {
            cause = { error_code::Unavailable, "the call was not started", "attempt", {} };
        }
        refuseAndFinish(context, call, makeRefusal(cause, ran_state::NotRun));
    }

    void finishUnsettled(gateway_context& context, gateway_call& call)
    {
        // The settlement continues to be resent; meanwhile the caller gets what is certain.
        sendDetachedCommand(context,
            wire::settle_call { call.account, call.callId, call.ownAttempt, call.settleState, call.status,
                call.answer },
            "settle_call");
        if (call.settleState == wire::call_state::Done) {
            answerAndFinish(context, call, call.status, call.answer);
        } else {
            refuseAndFinish(context, call, unknownOutcome(call));
        }
    }

} // namespace

void onCallSettled(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        finishUnsettled(context, call);
        return;
    }
    const auto* status = std::get_if<wire::call_status>(&*outcome);
    if (status == nullptr) {
        // Another gateway has settled the call in the meantime; its record is authoritative.
        call.step = call_step::Outcome;
        call.outcomeDeadline = context.now + context.state.settings.outcomeWait;
        call.ownerDeadline = context.now + ownerTimeout;
        context.state.callsAwaitingOutcome.insert(call.id);
        readOutcome(context, call);
        return;
    }
    switch (status->state) {
    case wire::call_state::Done:
        answerAndFinish(context, call, status->status, call.answer.empty() ? status->answer : call.answer);
        return;
    case wire::call_state::NotRun:
        refuseNotRun(context, call);
        return;
    case wire::call_state::Recorded:
    case wire::call_state::Dispatched:
    case wire::call_state::Unknown:
        refuseAndFinish(context, call, unknownOutcome(call));
        return;
    }
}

//------------------------------------------------------------------------------------------------------------------
// Outcomes of other attempts
//------------------------------------------------------------------------------------------------------------------

void readCall(gateway_context& context, gateway_call& call)
{
    call.step = call_step::Controller;
    sendQuery(context, call, wire::read_call { call.account, call.callId }, "read_call");
}

void onCallRead(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome)
{
    if (!outcome) {
        refuseAndFinish(context, call, makeRefusal(outcome.error(), ran_state::Unknown));
        return;
    }
    const auto* status = std::get_if<wire::call_status>(&*outcome);
    if (status == nullptr) {
        refuseAndFinish(context, call, unexpectedResult(*outcome, "read_call", ran_state::NotRun));
        return;
    }
    answerCaller(context, call, 200, writeJson(toJson(*status)));
    const bool open = status->state != wire::call_state::Done && status->state != wire::call_state::NotRun;
    if (!open) {
        finishCall(context, call);
        return;
    }
    // The call's own gateway may have died, so the gateway that answers the read also settles the call.
    awaitOutcome(context, call, *status);
}

void readOutcome(gateway_context& context, gateway_call& call)
{
    if (call.controllerRequest != 0) {
        return;
    }
    if (context.now >= call.outcomeDeadline) {
        refuseAndFinish(context, call, unknownOutcome(call));
        return;
    }
    sendQuery(context, call, wire::read_call { call.account, call.callId }, "read_call");
}

void onOutcomeRead(gateway_context& context, gateway_call& call, const result<wire::command_result>& outcome)
{
    call.nextCheckAt = context.now + outcomePollInterval;
    const auto* status = outcome ? std::get_if<wire::call_status>(&*outcome) : nullptr;
    if (status == nullptr) {
        return; // the record is read again at nextCheckAt
    }
    call.record = *status;
    if (status->state == wire::call_state::Done) {
        answerAndFinish(context, call, status->status, status->answer);
        return;
    }
    if (status->state != wire::call_state::NotRun) {
        resolveRecord(context, call);
        return;
    }
    const bool wanted = call.kind == call_kind::Service && call.exchange != 0 && !call.recorded
        && context.now < call.startDeadline;
    if (!wanted) {
        refuseNotRun(context, call);
        return;
    }
    // The earlier attempt is proved not to have run, so this request may run the call as a new attempt.
    context.state.callsAwaitingOutcome.erase(call.id);
    if (call.ownAttempt.empty()) {
        acquireRateToken(context, call);
    } else {
        recordCall(context, call);
    }
}

void onOtherAttemptDone(gateway_context& context, const wire::attempt_done& done)
{
    const auto waiting = context.state.callsAwaitingOutcome;
    for (const auto id : waiting) {
        auto& call = context.state.calls.at(id);
        if (call.record.attempt == done.attempt) {
            settleForOwner(context, call, wire::call_state::Done, done.status, done.body);
        }
    }
}

void onOtherAttemptFailed(gateway_context& context, const wire::attempt_failed& failed)
{
    const auto waiting = context.state.callsAwaitingOutcome;
    for (const auto id : waiting) {
        auto& call = context.state.calls.at(id);
        if (call.record.attempt != failed.attempt) {
            continue;
        }
        const bool proved = failed.outcome == wire::attempt_outcome::NotRun;
        if (proved || call.record.state == wire::call_state::Dispatched) {
            settleForOwner(context, call, proved ? wire::call_state::NotRun : wire::call_state::Unknown, 0, {});
        }
    }
}

} // namespace cuminledge::core::gateway
