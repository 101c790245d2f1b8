#include "attempts.hpp"

#include <algorithm>

#include "answers.hpp"
#include "authentication.hpp"
#include "choose.hpp"
#include "configuration.hpp"
#include "lifecycle.hpp"
#include "retries.hpp"
#include "service_calls.hpp"
#include "turns.hpp"

namespace cuminledge::core::gateway {

namespace {

    constexpr std::chrono::milliseconds backendPollInterval { 100 };
    /// An attempt that the sidecar has not confirmed within this time is looked up.
    constexpr std::chrono::milliseconds confirmTimeout { 2'000 };
    constexpr std::chrono::milliseconds lookupTimeout { 3'000 };
    constexpr std::chrono::milliseconds lookupInterval { 500 };

    gateway_call* findCall(gateway_context& context, const std::string& attempt, const std::string& peer)
    {
        const auto found = context.state.callByAttempt.find(attempt);
        if (found == context.state.callByAttempt.end()) {
            ++context.state.counters.strayMessages;
            return nullptr;
        }
        auto& call = context.state.calls.at(found->second);
        if (call.attempt.sidecar != peer) {
            ++context.state.counters.strayMessages;
            return nullptr;
        }
        return &call;
    }

    void recordProgress(gateway_context& context, gateway_call& call)
    {
        call.step = call_step::Attempt;
        call.attempt.queryPending = false;
        call.attempt.progressDeadline = context.now + context.state.settings.progressTimeout;
    }

    void recordLoad(gateway_context& context, const gateway_call& call, const wire::load_report& load)
    {
        const auto found = context.state.backends.find(call.attempt.backend);
        if (found != context.state.backends.end()) {
            found->second.load = load;
            routing::onLoadReport(context.state.routingTable, call.attempt.backend, load, context.now);
        }
    }

    bool isQuarantined(const gateway_context& context, gateway_call& call)
    {
        const auto& records = context.state.configuration.quarantine.records;
        const auto found = records.find(call.fingerprint);
        if (found == records.end()) {
            return false;
        }
        call.suspect = true;
        return found->second.quarantined;
    }

    void queryAttempt(gateway_context& context, gateway_call& call)
    {
        wire::attempt_query ask;
        ask.attempt = call.attempt.id;
        ask.sidecarIncarnation = call.attempt.incarnation;
        ask.refuseIfUnknown = true;
        ask.fromOffset = call.kind == call_kind::Chat ? call.answer.size() : 0;
        call.attempt.queryPending = true;
        call.nextCheckAt = context.now + lookupInterval;
        ++context.state.counters.lookups;
        context.out.emplace_back(send_message { call.attempt.sidecar, std::move(ask) });
    }

    bool hasExpired(const gateway_call& call, time_point now)
    {
        return call.deadline <= now;
    }

    void finishChat(gateway_context& context, gateway_call& call, const wire::attempt_done& done)
    {
        call.finishReason = done.finishReason;
        call.promptTokens = std::max(call.promptTokens, done.promptTokens);
        call.cachedTokens = done.cachedTokens;
        call.completionTokens += done.completionTokens;
        if (call.turn > 0) {
            commitTurn(context, call);
        } else {
            answerChat(context, call);
        }
    }

    void finishService(gateway_context& context, gateway_call& call, const wire::attempt_done& done)
    {
        call.status = done.status;
        call.answer = done.body;
        if (call.repeatable) {
            answerAndFinish(context, call, done.status, done.body);
        } else {
            settleCall(context, call, wire::call_state::Done);
        }
    }

    wire::attempt_start makeAttemptStart(const gateway_context& context, const gateway_call& call)
    {
        using std::chrono::duration_cast;
        using std::chrono::milliseconds;
        wire::attempt_start start;
        start.attempt = call.attempt.id;
        start.sidecarIncarnation = call.attempt.incarnation;
        start.latestStart = duration_cast<milliseconds>(std::min(call.startDeadline, call.deadline) - context.now);
        start.timeout = duration_cast<milliseconds>(call.deadline - context.now);
        start.account = call.account;
        start.program = call.program;
        start.turn = call.turn;
        start.fingerprint = call.fingerprint;
        start.suspect = call.suspect;
        start.body = call.body;
        start.deltaTokens = call.deltaTokens;
        if (call.kind == call_kind::Service) {
            start.kind = wire::backend_kind::Service;
            start.operation = call.operation;
            start.call = call.callId.empty() ? call.attempt.id : call.callId;
            return start;
        }
        start.model = call.model;
        start.historyTurns = call.begun.historyTurns;
        start.historyTokens = call.begun.historyTokens;
        start.attainedTokens = call.begun.attainedTokens;
        start.maxTokens = call.maxTokens - call.completionTokens;
        start.resumeOffset = call.answer.size();
        start.resumeText = call.answer;
        return start;
    }

    void recordAttemptEnd(gateway_context& context, const std::string& backend, attempt_end end)
    {
        switch (end) {
        case attempt_end::Finished:
            routing::onAttemptFinished(context.state.routingTable, backend);
            return;
        case attempt_end::Failed:
            routing::onAttemptFailed(context.state.routingTable, backend, context.now);
            return;
        case attempt_end::Dropped:
            routing::onAttemptDropped(context.state.routingTable, backend);
            return;
        }
    }

    /// Refuses the caller with an unknown outcome. The call itself continues until its outcome is known.
    void refuseAsUnknown(gateway_context& context, gateway_call& call)
    {
        refusal cause;
        cause.code = error_code::Timeout;
        cause.message = "the outcome of the call is not known yet; ask again under the same Idempotency-Key";
        cause.step = toString(call.step);
        cause.peer = call.attempt.sidecar;
        cause.ran = ran_state::Unknown;
        cause.retryAfter = std::chrono::seconds(1);
        refuseCaller(context, call, cause);
    }

} // namespace

//------------------------------------------------------------------------------------------------------------------
// Start
//------------------------------------------------------------------------------------------------------------------

bool hasBackend(const gateway_context& context, const gateway_call& call)
{
    return hasCandidate(context, call);
}

void waitForBackend(gateway_context& context, gateway_call& call)
{
    call.step = call_step::Backend;
    call.nextCheckAt = std::max(call.nextCheckAt, context.now + backendPollInterval);
    const bool started = call.attemptsMade > 0;
    const bool tooLate = context.now >= (started ? call.deadline : call.startDeadline);
    if (!tooLate) {
        return;
    }
    refusal cause;
    cause.code = error_code::Unavailable;
    cause.message = "no backend server could take the call in time";
    cause.step = "choose_backend";
    cause.retryAfter = std::chrono::seconds(1);
    failCall(context, call, cause);
}

void startAttempt(gateway_context& context, gateway_call& call)
{
    if (call.cancelled) {
        failCall(context, call, {});
        return;
    }
    // Without the lease, a withdrawal of the key may have been missed, so no new attempt starts.
    if (!holdsConfiguration(context)) {
        waitForBackend(context, call);
        return;
    }
    if (isQuarantined(context, call)) {
        refusal cause;
        cause.code = error_code::Quarantined;
        cause.message = "backend servers died while they ran this request";
        cause.step = "choose_backend";
        failCall(context, call, cause);
        return;
    }
    auto* chosen = chooseBackend(context, call);
    if (chosen == nullptr) {
        waitForBackend(context, call);
        return;
    }
    call.attempt = {};
    call.attempt.backend = chosen->record.backend;
    call.attempt.sidecar = chosen->record.sidecar;
    call.attempt.incarnation = chosen->connectedIncarnation;
    ++chosen->inFlight;
    if (call.kind == call_kind::Service && !call.repeatable) {
        dispatchCall(context, call);
    } else {
        sendAttempt(context, call);
    }
}

void sendAttempt(gateway_context& context, gateway_call& call)
{
    const bool isUnrepeatable = call.kind == call_kind::Service && !call.repeatable;
    ++call.attemptsMade;
    call.attempt.id
        = isUnrepeatable ? call.ownAttempt : call.ownAttempt + "-" + std::to_string(call.attemptsMade);
    call.step = call_step::Attempt;
    call.attemptTokens = 0;
    call.lastBackend = call.attempt.backend;
    call.lastAttempt = call.attempt.id;
    call.attempt.progressDeadline = context.now + confirmTimeout;
    context.state.callByAttempt[call.attempt.id] = call.id;
    routing::onAttemptStarted(
        context.state.routingTable, call.attempt.backend, call.begun.historyTokens + call.deltaTokens, context.now);
    ++context.state.counters.attemptsStarted;
    if (call.attemptsMade == 1) {
        creditRetryTokens(context.state, call.account);
    }
    context.out.emplace_back(send_message { call.attempt.sidecar, makeAttemptStart(context, call) });
}

void releaseBackend(gateway_context& context, gateway_call& call, attempt_end end)
{
    if (call.attempt.backend.empty()) {
        return;
    }
    const auto backend = call.attempt.backend;
    const auto found = context.state.backends.find(backend);
    if (found != context.state.backends.end() && found->second.inFlight > 0) {
        --found->second.inFlight;
    }
    if (!call.attempt.id.empty()) {
        context.state.callByAttempt.erase(call.attempt.id);
        recordAttemptEnd(context, backend, end);
    }
    const bool started = call.attempt.started;
    call.attempt = {};
    call.attempt.started = started;
    removeDepartedBackend(context, backend);
}

//------------------------------------------------------------------------------------------------------------------
// End without an answer
//------------------------------------------------------------------------------------------------------------------

void failCall(gateway_context& context, gateway_call& call, refusal cause)
{
    releaseBackend(context, call);
    const bool unrepeatable = call.kind == call_kind::Service && !call.repeatable;
    if (unrepeatable && call.recorded) {
        call.lastError = { cause.code, cause.message, cause.step, cause.peer };
        settleCall(context, call, call.mayHaveRun ? wire::call_state::Unknown : wire::call_state::NotRun);
        return;
    }
    if (call.turn > 0) {
        abandonTurn(context, call);
    }
    if (call.mayHaveRun) {
        cause.ran = ran_state::Unknown;
    }
    refuseAndFinish(context, call, cause);
}

void detachCaller(gateway_context& context, gateway_call& call)
{
    if (call.exchange != 0) {
        context.state.callByExchange.erase(call.exchange);
        call.exchange = 0;
    }
    switch (call.step) {
    case call_step::Program:
    case call_step::Rate:
    case call_step::Controller:
    case call_step::Existing:
    case call_step::Outcome:
        finishCall(context, call);
        return;
    case call_step::Begin:
    case call_step::TakeOver:
        abandonTurn(context, call);
        finishCall(context, call);
        return;
    case call_step::Backend:
        failCall(context, call, {});
        return;
    case call_step::Attempt:
    case call_step::Lookup:
        if (call.cancelled || call.repeatable) {
            call.cancelled = true;
            context.out.emplace_back(send_message { call.attempt.sidecar, wire::attempt_cancel { call.attempt.id } });
            call.attempt.progressDeadline = std::min(call.attempt.progressDeadline, context.now + confirmTimeout);
        }
        return;
    case call_step::Commit:
    case call_step::Record:
    case call_step::Dispatch:
    case call_step::Settle:
        return;
    }
}

//------------------------------------------------------------------------------------------------------------------
// Progress
//------------------------------------------------------------------------------------------------------------------

void onAttemptStarted(gateway_context& context, const std::string& peer, const wire::attempt_started& started)
{
    auto* call = findCall(context, started.attempt, peer);
    if (call == nullptr) {
        return;
    }
    recordLoad(context, *call, started.load);
    recordProgress(context, *call);
    call->attempt.started = true;
    call->mayHaveRun = true;
}

void onAttemptUnderWay(gateway_context& context, const std::string& peer, const wire::attempt_under_way& underWay)
{
    auto* call = findCall(context, underWay.attempt, peer);
    if (call == nullptr) {
        return;
    }
    recordProgress(context, *call);
    call->attempt.started = call->attempt.started || underWay.started;
    call->mayHaveRun = call->mayHaveRun || underWay.started;
    if (call->cancelled) {
        // Sends the cancellation again: it may have been lost with the previous connection.
        context.out.emplace_back(send_message { peer, wire::attempt_cancel { underWay.attempt } });
        call->attempt.progressDeadline = context.now + confirmTimeout;
    }
}

void onAttemptChunk(gateway_context& context, const std::string& peer, const wire::attempt_chunk& chunk)
{
    auto* found = findCall(context, chunk.attempt, peer);
    if (found == nullptr) {
        context.out.emplace_back(send_message { peer, wire::attempt_cancel { chunk.attempt } });
        return;
    }
    auto& call = *found;
    if (call.kind != call_kind::Chat) {
        return;
    }
    call.attempt.started = true;
    call.mayHaveRun = true;
    const auto received = call.answer.size();
    if (chunk.offset > received) {
        ++context.state.counters.missingChunks;
        if (!call.attempt.queryPending) {
            queryAttempt(context, call);
        }
        return;
    }
    const auto overlap = received - chunk.offset;
    if (overlap >= chunk.text.size()) {
        ++context.state.counters.duplicateChunks;
        recordProgress(context, call);
        return;
    }
    recordProgress(context, call);
    const auto piece = chunk.text.substr(overlap);
    call.answer += piece;
    call.attemptTokens = chunk.completionTokens;
    streamText(context, call, piece);
}

void onAttemptDone(gateway_context& context, const std::string& peer, const wire::attempt_done& done)
{
    if (!context.state.callsAwaitingOutcome.empty()) {
        onOtherAttemptDone(context, done);
    }
    auto* found = findCall(context, done.attempt, peer);
    if (found == nullptr) {
        return;
    }
    auto& call = *found;
    call.mayHaveRun = true;
    call.attempt.started = true;
    if (call.kind == call_kind::Chat && done.totalBytes > call.answer.size()) {
        // Chunks were lost in transit; the sidecar still holds them.
        call.attempt.progressDeadline = context.now + confirmTimeout;
        if (!call.attempt.queryPending) {
            queryAttempt(context, call);
        }
        return;
    }
    recordLoad(context, call, done.load);
    if (call.suspect) {
        sendDetachedCommand(context, wire::clear_fingerprint { call.fingerprint, false }, "clear_fingerprint");
    }
    releaseBackend(context, call, attempt_end::Finished);
    if (call.kind == call_kind::Chat) {
        finishChat(context, call, done);
    } else {
        finishService(context, call, done);
    }
}

void onAttemptFailed(gateway_context& context, const std::string& peer, const wire::attempt_failed& failed)
{
    if (!context.state.callsAwaitingOutcome.empty()) {
        onOtherAttemptFailed(context, failed);
    }
    auto* found = findCall(context, failed.attempt, peer);
    if (found == nullptr) {
        return;
    }
    auto& call = *found;
    recordLoad(context, call, failed.load);
    call.completionTokens += failed.completionTokens;
    if (failed.outcome == wire::attempt_outcome::NotRun) {
        // The sidecar proves that this attempt did not run; only earlier attempts may have.
        call.mayHaveRun = call.mayHaveRun && call.attemptsMade > 1;
    } else {
        call.mayHaveRun = true;
    }
    decideAfterFailure(context, call, failed);
}

//------------------------------------------------------------------------------------------------------------------
// Contact
//------------------------------------------------------------------------------------------------------------------

void lookUpAttempt(gateway_context& context, gateway_call& call)
{
    const bool unrepeatable = call.kind == call_kind::Service && !call.repeatable;
    if (call.step != call_step::Lookup) {
        call.step = call_step::Lookup;
        call.attempt.lookupDeadline
            = unrepeatable ? call.deadline : std::min(call.deadline, context.now + lookupTimeout);
        call.outcomeDeadline = context.now + context.state.settings.outcomeWait;
    }
    if (unrepeatable && context.now >= call.outcomeDeadline) {
        refuseAsUnknown(context, call);
    }
    call.nextCheckAt = context.now + lookupInterval;
    const auto found = context.state.backends.find(call.attempt.backend);
    if (found == context.state.backends.end() || !found->second.connected) {
        return;
    }
    if (found->second.connectedIncarnation == call.attempt.incarnation) {
        queryAttempt(context, call);
        return;
    }
    wire::attempt_failed lost;
    lost.attempt = call.attempt.id;
    lost.outcome = wire::attempt_outcome::Unknown;
    lost.code = static_cast<std::uint32_t>(error_code::Unavailable);
    lost.message = "the sidecar has restarted";
    lost.step = "look_up_attempt";
    lost.completionTokens = call.attemptTokens;
    call.mayHaveRun = true;
    call.completionTokens += call.attemptTokens;
    decideAfterFailure(context, call, lost);
}

void onLookupTimeout(gateway_context& context, gateway_call& call)
{
    wire::attempt_failed lost;
    lost.attempt = call.attempt.id;
    lost.outcome = wire::attempt_outcome::Unknown;
    lost.code = static_cast<std::uint32_t>(error_code::Timeout);
    lost.message = "contact with the sidecar is lost";
    lost.step = "look_up_attempt";
    call.mayHaveRun = true;
    call.completionTokens += call.attemptTokens;
    // The connection may still work; cancels the attempt so that it does not keep running.
    if (call.repeatable) {
        context.out.emplace_back(send_message { call.attempt.sidecar, wire::attempt_cancel { call.attempt.id } });
    }
    if (hasExpired(call, context.now)) {
        call.cancelled = true;
        refusal cause = makeRefusal(error { error_code::Timeout, lost.message, lost.step, call.attempt.sidecar },
            ran_state::Unknown);
        failCall(context, call, cause);
        return;
    }
    decideAfterFailure(context, call, lost);
}

void onSidecarConnected(gateway_context& context, const std::string& peer, std::uint64_t incarnation)
{
    auto* entry = findBackendBySidecar(context.state, peer);
    if (entry == nullptr) {
        return;
    }
    entry->connected = true;
    entry->connectedIncarnation = incarnation;
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, call] : context.state.calls) {
        const bool atPeer = call.attempt.sidecar == peer && !call.attempt.id.empty();
        if (atPeer && (call.step == call_step::Lookup || call.step == call_step::Attempt)) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        lookUpAttempt(context, context.state.calls.at(id));
    }
    resumeWaitingCalls(context);
}

void onSidecarDisconnected(gateway_context& context, const std::string& peer)
{
    auto* entry = findBackendBySidecar(context.state, peer);
    if (entry == nullptr) {
        return;
    }
    entry->connected = false;
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, call] : context.state.calls) {
        if (call.attempt.sidecar == peer && call.step == call_step::Attempt) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        lookUpAttempt(context, context.state.calls.at(id));
    }
}

} // namespace cuminledge::core::gateway
