#include <store/call_commands.hpp>

#include <algorithm>

#include <fmt/format.h>

#include <core/store/control_state.hpp>
#include <store/refusal.hpp>

namespace cuminledge::core::store {

namespace {

    bool isId(const std::string& id)
    {
        return !id.empty() && id.size() <= maxIdBytes;
    }

    call_record* findCall(shard_state& state, const std::string& account, const std::string& call)
    {
        const auto found = state.calls.find({ account, call });
        return found == state.calls.end() ? nullptr : &found->second;
    }

    wire::command_result refuseUnknown(const std::string& step)
    {
        return refuse(error_code::NotFound, "no such call", step);
    }

    call_key keyOf(const call_record& record)
    {
        return { record.status.account, record.status.call };
    }

    //--------------------------------------------------------------------------------------------------------------
    // Retention
    //--------------------------------------------------------------------------------------------------------------

    void dropAnswer(shard_state& state, call_record& record)
    {
        if (state.keptAnswers.erase(record.settledOrder) == 0) {
            return;
        }
        state.answerBytes -= record.status.answer.size();
        record.status.answer.clear();
        record.status.answerDropped = true;
    }

    void evictOldestSettledCall(shard_state& state)
    {
        const auto oldest = state.settledCalls.begin();
        dropAnswer(state, state.calls.at(oldest->second));
        state.calls.erase(oldest->second);
        state.settledCalls.erase(oldest);
    }

    void enforceSettledLimits(shard_state& state)
    {
        while (state.answerBytes > maxAnswerBytes) {
            dropAnswer(state, state.calls.at(state.keptAnswers.begin()->second));
        }
        while (state.settledCalls.size() > maxSettledCalls) {
            evictOldestSettledCall(state);
        }
    }

    void markSettled(shard_state& state, call_record& record)
    {
        record.settledOrder = ++state.lastSettledOrder;
        state.settledCalls[record.settledOrder] = keyOf(record);
        if (!record.status.answer.empty()) {
            state.keptAnswers[record.settledOrder] = keyOf(record);
            state.answerBytes += record.status.answer.size();
        }
    }

    void markUnsettled(shard_state& state, call_record& record)
    {
        state.settledCalls.erase(record.settledOrder);
        record.settledOrder = 0;
    }

    //--------------------------------------------------------------------------------------------------------------
    // Recording
    //--------------------------------------------------------------------------------------------------------------

    bool isSameRequest(const call_record& record, const wire::record_call& command)
    {
        return record.status.requestDigest == command.requestDigest && record.program == command.program
            && record.status.service == command.service && record.status.operation == command.operation;
    }

    bool hasSeenAttempt(const call_record& record, const std::string& attempt)
    {
        const auto& past = record.pastAttempts;
        return record.status.attempt == attempt || std::find(past.begin(), past.end(), attempt) != past.end();
    }

    bool isFull(const shard_state& state)
    {
        return state.calls.size() - state.settledCalls.size() >= maxUnsettledCalls;
    }

    /// Answers for a call that is recorded already. A call known not to have run may be retried by a new attempt.
    wire::command_result answerRecorded(shard_state& state, call_record& record, const wire::record_call& command)
    {
        if (!isSameRequest(record, command)) {
            return refuse(error_code::Conflict, "the call id was used for another request", "record_call");
        }
        const bool isRetry = record.status.state == wire::call_state::NotRun
            && !hasSeenAttempt(record, command.attempt) && record.pastAttempts.size() < maxCallAttempts;
        if (!isRetry || isFull(state)) {
            return record.status;
        }
        record.pastAttempts.push_back(record.status.attempt);
        record.status.attempt = command.attempt;
        record.status.state = wire::call_state::Recorded;
        record.status.backend.clear();
        record.status.backendIncarnation = 0;
        markUnsettled(state, record);
        return record.status;
    }

    //--------------------------------------------------------------------------------------------------------------
    // Settling
    //--------------------------------------------------------------------------------------------------------------

    bool isFinal(wire::call_state state)
    {
        return state == wire::call_state::Done || state == wire::call_state::NotRun;
    }

    wire::command_result answerSettled(shard_state& state, const call_record& record, const wire::settle_call& command)
    {
        if (isFinal(command.state) && command.state != record.status.state) {
            ++state.contradictions;
            return refuse(error_code::Conflict, "the opposite was settled before", "settle_call");
        }
        return record.status;
    }

    void settleCall(shard_state& state, call_record& record, const wire::settle_call& command)
    {
        record.status.state = command.state;
        if (!isFinal(command.state)) {
            return;
        }
        if (command.state == wire::call_state::Done) {
            record.status.status = command.status;
            record.status.answerDropped = command.answer.size() > maxCallAnswerBytes;
            record.status.answer = record.status.answerDropped ? std::string() : command.answer;
        }
        markSettled(state, record);
    }

} // namespace

wire::command_result applyCommand(shard_state& state, const wire::record_call& command)
{
    const std::string step = "record_call";
    if (auto* known = findCall(state, command.account, command.call)) {
        return answerRecorded(state, *known, command);
    }
    const bool isValid = isId(command.account) && isId(command.call) && isId(command.attempt)
        && command.program.size() <= maxIdBytes && command.service.size() <= maxIdBytes
        && command.operation.size() <= maxIdBytes && command.requestDigest.size() <= maxIdBytes;
    if (!isValid) {
        return refuse(error_code::InvalidArgument, "a field is empty or too long", step);
    }
    if (isFull(state)) {
        return refuse(error_code::Overloaded, fmt::format("{} calls are not settled", maxUnsettledCalls), step);
    }
    auto& record = state.calls[{ command.account, command.call }];
    record.program = command.program;
    record.status.account = command.account;
    record.status.call = command.call;
    record.status.requestDigest = command.requestDigest;
    record.status.attempt = command.attempt;
    record.status.service = command.service;
    record.status.operation = command.operation;
    return record.status;
}

wire::command_result applyCommand(shard_state& state, const wire::dispatch_call& command)
{
    const std::string step = "dispatch_call";
    auto* record = findCall(state, command.account, command.call);
    if (record == nullptr) {
        return refuseUnknown(step);
    }
    auto& status = record->status;
    if (status.attempt != command.attempt) {
        return refuse(error_code::Conflict, "another attempt owns the call", step, status.attempt);
    }
    const bool isResend = status.state == wire::call_state::Dispatched && status.backend == command.backend
        && status.backendIncarnation == command.backendIncarnation;
    if (isResend) {
        return status;
    }
    if (status.state != wire::call_state::Recorded) {
        return refuse(error_code::Conflict, "the call has been dispatched or settled", step, status.backend);
    }
    if (!isId(command.backend)) {
        return refuse(error_code::InvalidArgument, "the backend server's id is empty or too long", step);
    }
    status.state = wire::call_state::Dispatched;
    status.backend = command.backend;
    status.backendIncarnation = command.backendIncarnation;
    return status;
}

wire::command_result applyCommand(shard_state& state, const wire::settle_call& command)
{
    const std::string step = "settle_call";
    auto* record = findCall(state, command.account, command.call);
    if (record == nullptr) {
        return refuseUnknown(step);
    }
    auto& status = record->status;
    if (status.attempt != command.attempt) {
        return refuse(error_code::Conflict, "another attempt owns the call", step, status.attempt);
    }
    const bool isOutcome = isFinal(command.state) || command.state == wire::call_state::Unknown;
    if (!isOutcome) {
        return refuse(error_code::InvalidArgument, "a call settles as done, not_run or unknown", step);
    }
    if (isFinal(status.state)) {
        return answerSettled(state, *record, command);
    }
    if (status.state == wire::call_state::Recorded && command.state != wire::call_state::NotRun) {
        return refuse(error_code::Conflict, "the call was never dispatched", step);
    }
    settleCall(state, *record, command);
    auto answer = status;
    enforceSettledLimits(state);
    return answer;
}

wire::command_result answerQuery(const shard_state& state, const wire::read_call& query)
{
    const auto found = state.calls.find({ query.account, query.call });
    return found == state.calls.end() ? refuseUnknown("read_call") : found->second.status;
}

} // namespace cuminledge::core::store
