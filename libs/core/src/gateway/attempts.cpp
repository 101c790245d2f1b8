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

    constexpr std::chrono::milliseconds backendPause { 100 };
    /// An attempt that the sidecar has not confirmed by then is looked up.
    constexpr std::chrono::milliseconds confirmTimeout { 2'000 };
    constexpr std::chrono::milliseconds lookupTimeout { 3'000 };
    constexpr std::chrono::milliseconds lookupPause { 500 };

    call* findCall(context& c, const std::string& attempt, const std::string& peer)
    {
        const auto found = c.state.callOfAttempt.find(attempt);
        if (found == c.state.callOfAttempt.end()) {
            ++c.state.counters.strayMessages;
            return nullptr;
        }
        auto& subject = c.state.calls.at(found->second);
        if (subject.run.sidecar != peer) {
            ++c.state.counters.strayMessages;
            return nullptr;
        }
        return &subject;
    }

    void noteProgress(context& c, call& subject)
    {
        subject.step = call_step::Attempt;
        subject.run.queryUnanswered = false;
        subject.run.progressBy = c.now + c.state.settings.progressTimeout;
    }

    void noteLoad(context& c, const call& subject, const wire::load_report& load)
    {
        const auto found = c.state.backends.find(subject.run.backend);
        if (found != c.state.backends.end()) {
            found->second.load = load;
            routing::onLoadReport(c.state.routes, subject.run.backend, load, c.now);
        }
    }

    bool isQuarantined(const context& c, call& subject)
    {
        const auto found = c.state.configuration.quarantine.find(subject.fingerprint);
        if (found == c.state.configuration.quarantine.end()) {
            return false;
        }
        subject.suspect = true;
        return found->second.quarantined;
    }

    void askWhere(context& c, call& subject)
    {
        wire::attempt_query ask;
        ask.attempt = subject.run.attempt;
        ask.sidecarIncarnation = subject.run.incarnation;
        ask.refuseIfUnknown = true;
        ask.fromOffset = subject.kind == call_kind::Chat ? subject.answer.size() : 0;
        subject.run.queryUnanswered = true;
        subject.resumeAt = c.now + lookupPause;
        ++c.state.counters.lookups;
        c.out.emplace_back(send_message { subject.run.sidecar, std::move(ask) });
    }

    bool isDue(const call& subject, time_point now)
    {
        return subject.deadline <= now;
    }

    void finishChat(context& c, call& subject, const wire::attempt_done& done)
    {
        subject.finishReason = done.finishReason;
        subject.promptTokens = std::max(subject.promptTokens, done.promptTokens);
        subject.cachedTokens = done.cachedTokens;
        subject.completionTokens += done.completionTokens;
        if (subject.turn > 0) {
            commitTurn(c, subject);
        } else {
            answerChat(c, subject);
        }
    }

    void finishService(context& c, call& subject, const wire::attempt_done& done)
    {
        subject.status = done.status;
        subject.answer = done.body;
        if (subject.repeatable) {
            answerAndFinish(c, subject, done.status, done.body);
        } else {
            settleCall(c, subject, wire::call_state::Done);
        }
    }

    wire::attempt_start describeAttempt(const context& c, const call& subject)
    {
        using std::chrono::duration_cast;
        using std::chrono::milliseconds;
        wire::attempt_start start;
        start.attempt = subject.run.attempt;
        start.sidecarIncarnation = subject.run.incarnation;
        start.latestStart = duration_cast<milliseconds>(std::min(subject.startBy, subject.deadline) - c.now);
        start.timeout = duration_cast<milliseconds>(subject.deadline - c.now);
        start.account = subject.account;
        start.program = subject.program;
        start.turn = subject.turn;
        start.fingerprint = subject.fingerprint;
        start.suspect = subject.suspect;
        start.body = subject.body;
        start.deltaTokens = subject.deltaTokens;
        if (subject.kind == call_kind::Service) {
            start.kind = wire::backend_kind::Service;
            start.operation = subject.operation;
            start.call = subject.callId.empty() ? subject.run.attempt : subject.callId;
            return start;
        }
        start.model = subject.model;
        start.historyTurns = subject.begun.historyTurns;
        start.historyTokens = subject.begun.historyTokens;
        start.attainedTokens = subject.begun.attainedTokens;
        start.maxTokens = subject.maxTokens - subject.completionTokens;
        start.resumeOffset = subject.answer.size();
        start.resumeText = subject.answer;
        return start;
    }

    void noteEnd(context& c, const std::string& backend, attempt_end end)
    {
        switch (end) {
        case attempt_end::Finished:
            routing::onAttemptFinished(c.state.routes, backend);
            return;
        case attempt_end::Failed:
            routing::onAttemptFailed(c.state.routes, backend, c.now);
            return;
        case attempt_end::Dropped:
            routing::onAttemptDropped(c.state.routes, backend);
            return;
        }
    }

    /// The caller has been told all that is certain; the call itself goes on until its outcome is known.
    void refuseAsUnknown(context& c, call& subject)
    {
        refusal r;
        r.code = error_code::Timeout;
        r.message = "the outcome of the call is not known yet; ask again under the same Idempotency-Key";
        r.step = toString(subject.step);
        r.peer = subject.run.sidecar;
        r.ran = ran_state::Unknown;
        r.retryAfter = std::chrono::seconds(1);
        refuseCaller(c, subject, r);
    }

} // namespace

//------------------------------------------------------------------------------------------------------------------
// Start
//------------------------------------------------------------------------------------------------------------------

bool hasBackend(const context& c, const call& subject)
{
    return hasCandidate(c, subject);
}

void waitForBackend(context& c, call& subject)
{
    subject.step = call_step::Backend;
    subject.resumeAt = std::max(subject.resumeAt, c.now + backendPause);
    const bool started = subject.attemptsMade > 0;
    const bool tooLate = c.now >= (started ? subject.deadline : subject.startBy);
    if (!tooLate) {
        return;
    }
    refusal r;
    r.code = error_code::Unavailable;
    r.message = "no backend server could take the call in time";
    r.step = "choose_backend";
    r.retryAfter = std::chrono::seconds(1);
    failCall(c, subject, r);
}

void startAttempt(context& c, call& subject)
{
    if (subject.cancelled) {
        failCall(c, subject, {});
        return;
    }
    // Without the lease the key may have been withdrawn meanwhile: nothing new is started for it.
    if (!holdsConfiguration(c)) {
        waitForBackend(c, subject);
        return;
    }
    if (isQuarantined(c, subject)) {
        refusal r;
        r.code = error_code::Quarantined;
        r.message = "backend servers died while they ran this request";
        r.step = "choose_backend";
        failCall(c, subject, r);
        return;
    }
    auto* chosen = chooseBackend(c, subject);
    if (chosen == nullptr) {
        waitForBackend(c, subject);
        return;
    }
    subject.run = {};
    subject.run.backend = chosen->record.backend;
    subject.run.sidecar = chosen->record.sidecar;
    subject.run.incarnation = chosen->connectedIncarnation;
    ++chosen->inFlight;
    if (subject.kind == call_kind::Service && !subject.repeatable) {
        dispatchCall(c, subject);
    } else {
        sendAttempt(c, subject);
    }
}

void sendAttempt(context& c, call& subject)
{
    const bool named = subject.kind == call_kind::Service && !subject.repeatable;
    ++subject.attemptsMade;
    subject.run.attempt
        = named ? subject.ownAttempt : subject.ownAttempt + "-" + std::to_string(subject.attemptsMade);
    subject.step = call_step::Attempt;
    subject.attemptTokens = 0;
    subject.lastBackend = subject.run.backend;
    subject.lastAttempt = subject.run.attempt;
    subject.run.progressBy = c.now + confirmTimeout;
    c.state.callOfAttempt[subject.run.attempt] = subject.id;
    routing::onAttemptStarted(
        c.state.routes, subject.run.backend, subject.begun.historyTokens + subject.deltaTokens, c.now);
    ++c.state.counters.attemptsStarted;
    if (subject.attemptsMade == 1) {
        earnRetries(c.state, subject.account);
    }
    c.out.emplace_back(send_message { subject.run.sidecar, describeAttempt(c, subject) });
}

void releaseBackend(context& c, call& subject, attempt_end end)
{
    if (subject.run.backend.empty()) {
        return;
    }
    const auto backend = subject.run.backend;
    const auto found = c.state.backends.find(backend);
    if (found != c.state.backends.end() && found->second.inFlight > 0) {
        --found->second.inFlight;
    }
    if (!subject.run.attempt.empty()) {
        c.state.callOfAttempt.erase(subject.run.attempt);
        noteEnd(c, backend, end);
    }
    const bool started = subject.run.started;
    subject.run = {};
    subject.run.started = started;
    dropIfGone(c, backend);
}

//------------------------------------------------------------------------------------------------------------------
// End without an answer
//------------------------------------------------------------------------------------------------------------------

void failCall(context& c, call& subject, refusal why)
{
    releaseBackend(c, subject);
    const bool unrepeatable = subject.kind == call_kind::Service && !subject.repeatable;
    if (unrepeatable && subject.recorded) {
        subject.lastError = { why.code, why.message, why.step, why.peer };
        settleCall(c, subject, subject.mayHaveRun ? wire::call_state::Unknown : wire::call_state::NotRun);
        return;
    }
    if (subject.turn > 0) {
        abandonTurn(c, subject);
    }
    if (subject.mayHaveRun) {
        why.ran = ran_state::Unknown;
    }
    refuseAndFinish(c, subject, why);
}

void endWithoutCaller(context& c, call& subject)
{
    if (subject.exchange != 0) {
        c.state.callOfExchange.erase(subject.exchange);
        subject.exchange = 0;
    }
    switch (subject.step) {
    case call_step::Program:
    case call_step::Rate:
    case call_step::Controller:
    case call_step::Existing:
    case call_step::Outcome:
        finishCall(c, subject);
        return;
    case call_step::Begin:
    case call_step::TakeOver:
        abandonTurn(c, subject);
        finishCall(c, subject);
        return;
    case call_step::Backend:
        failCall(c, subject, {});
        return;
    case call_step::Attempt:
    case call_step::Lookup:
        if (subject.cancelled || subject.repeatable) {
            subject.cancelled = true;
            c.out.emplace_back(send_message { subject.run.sidecar, wire::attempt_cancel { subject.run.attempt } });
            subject.run.progressBy = std::min(subject.run.progressBy, c.now + confirmTimeout);
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

void onAttemptStarted(context& c, const std::string& peer, const wire::attempt_started& started)
{
    auto* subject = findCall(c, started.attempt, peer);
    if (subject == nullptr) {
        return;
    }
    noteLoad(c, *subject, started.load);
    noteProgress(c, *subject);
    subject->run.started = true;
    subject->mayHaveRun = true;
}

void onAttemptUnderWay(context& c, const std::string& peer, const wire::attempt_under_way& underWay)
{
    auto* subject = findCall(c, underWay.attempt, peer);
    if (subject == nullptr) {
        return;
    }
    noteProgress(c, *subject);
    subject->run.started = subject->run.started || underWay.started;
    subject->mayHaveRun = subject->mayHaveRun || underWay.started;
    if (subject->cancelled) {
        // The cancellation may have been lost with the old connection.
        c.out.emplace_back(send_message { peer, wire::attempt_cancel { underWay.attempt } });
        subject->run.progressBy = c.now + confirmTimeout;
    }
}

void onAttemptChunk(context& c, const std::string& peer, const wire::attempt_chunk& chunk)
{
    auto* found = findCall(c, chunk.attempt, peer);
    if (found == nullptr) {
        c.out.emplace_back(send_message { peer, wire::attempt_cancel { chunk.attempt } });
        return;
    }
    auto& subject = *found;
    if (subject.kind != call_kind::Chat) {
        return;
    }
    subject.run.started = true;
    subject.mayHaveRun = true;
    const auto held = subject.answer.size();
    if (chunk.offset > held) {
        ++c.state.counters.chunksMissing;
        if (!subject.run.queryUnanswered) {
            askWhere(c, subject);
        }
        return;
    }
    const auto overlap = held - chunk.offset;
    if (overlap >= chunk.text.size()) {
        ++c.state.counters.chunksDoubled;
        noteProgress(c, subject);
        return;
    }
    noteProgress(c, subject);
    const auto piece = chunk.text.substr(overlap);
    subject.answer += piece;
    subject.attemptTokens = chunk.completionTokens;
    streamPiece(c, subject, piece);
}

void onAttemptDone(context& c, const std::string& peer, const wire::attempt_done& done)
{
    if (!c.state.outcomeCalls.empty()) {
        onForeignDone(c, done);
    }
    auto* found = findCall(c, done.attempt, peer);
    if (found == nullptr) {
        return;
    }
    auto& subject = *found;
    subject.mayHaveRun = true;
    subject.run.started = true;
    if (subject.kind == call_kind::Chat && done.totalBytes > subject.answer.size()) {
        // Chunks were lost on the way; the sidecar still holds them.
        subject.run.progressBy = c.now + confirmTimeout;
        if (!subject.run.queryUnanswered) {
            askWhere(c, subject);
        }
        return;
    }
    noteLoad(c, subject, done.load);
    if (subject.suspect) {
        commandDetached(c, wire::clear_fingerprint { subject.fingerprint, false }, "clear_fingerprint");
    }
    releaseBackend(c, subject, attempt_end::Finished);
    if (subject.kind == call_kind::Chat) {
        finishChat(c, subject, done);
    } else {
        finishService(c, subject, done);
    }
}

void onAttemptFailed(context& c, const std::string& peer, const wire::attempt_failed& failed)
{
    if (!c.state.outcomeCalls.empty()) {
        onForeignFailed(c, failed);
    }
    auto* found = findCall(c, failed.attempt, peer);
    if (found == nullptr) {
        return;
    }
    auto& subject = *found;
    noteLoad(c, subject, failed.load);
    subject.completionTokens += failed.completionTokens;
    if (failed.outcome == wire::attempt_outcome::NotRun) {
        // What was started before as far as the gateway could see is what the sidecar says it was.
        subject.mayHaveRun = subject.mayHaveRun && subject.attemptsMade > 1;
    } else {
        subject.mayHaveRun = true;
    }
    decideAfterFailure(c, subject, failed);
}

//------------------------------------------------------------------------------------------------------------------
// Contact
//------------------------------------------------------------------------------------------------------------------

void lookUp(context& c, call& subject)
{
    const bool unrepeatable = subject.kind == call_kind::Service && !subject.repeatable;
    if (subject.step != call_step::Lookup) {
        subject.step = call_step::Lookup;
        subject.run.giveUpAt = unrepeatable ? subject.deadline : std::min(subject.deadline, c.now + lookupTimeout);
        subject.waitUntil = c.now + c.state.settings.outcomeWait;
    }
    if (unrepeatable && c.now >= subject.waitUntil) {
        refuseAsUnknown(c, subject);
    }
    subject.resumeAt = c.now + lookupPause;
    const auto found = c.state.backends.find(subject.run.backend);
    if (found == c.state.backends.end() || !found->second.connected) {
        return;
    }
    if (found->second.connectedIncarnation == subject.run.incarnation) {
        askWhere(c, subject);
        return;
    }
    wire::attempt_failed lost;
    lost.attempt = subject.run.attempt;
    lost.outcome = wire::attempt_outcome::Unknown;
    lost.code = static_cast<std::uint32_t>(error_code::Unavailable);
    lost.message = "the sidecar has restarted";
    lost.step = "look_up_attempt";
    lost.completionTokens = subject.attemptTokens;
    subject.mayHaveRun = true;
    subject.completionTokens += subject.attemptTokens;
    decideAfterFailure(c, subject, lost);
}

void giveUpLookup(context& c, call& subject)
{
    wire::attempt_failed lost;
    lost.attempt = subject.run.attempt;
    lost.outcome = wire::attempt_outcome::Unknown;
    lost.code = static_cast<std::uint32_t>(error_code::Timeout);
    lost.message = "contact with the sidecar is lost";
    lost.step = "look_up_attempt";
    subject.mayHaveRun = true;
    subject.completionTokens += subject.attemptTokens;
    // Should the connection be up after all, the attempt is not left running.
    if (subject.repeatable) {
        c.out.emplace_back(send_message { subject.run.sidecar, wire::attempt_cancel { subject.run.attempt } });
    }
    if (isDue(subject, c.now)) {
        subject.cancelled = true;
        refusal r = refusalOf(error { error_code::Timeout, lost.message, lost.step, subject.run.sidecar },
            ran_state::Unknown);
        failCall(c, subject, r);
        return;
    }
    decideAfterFailure(c, subject, lost);
}

void onSidecarConnected(context& c, const std::string& peer, std::uint64_t incarnation)
{
    auto* entry = findSidecar(c.state, peer);
    if (entry == nullptr) {
        return;
    }
    entry->connected = true;
    entry->connectedIncarnation = incarnation;
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, subject] : c.state.calls) {
        const bool atPeer = subject.run.sidecar == peer && !subject.run.attempt.empty();
        if (atPeer && (subject.step == call_step::Lookup || subject.step == call_step::Attempt)) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        lookUp(c, c.state.calls.at(id));
    }
    resumeWaitingCalls(c);
}

void onSidecarDisconnected(context& c, const std::string& peer)
{
    auto* entry = findSidecar(c.state, peer);
    if (entry == nullptr) {
        return;
    }
    entry->connected = false;
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, subject] : c.state.calls) {
        if (subject.run.sidecar == peer && subject.step == call_step::Attempt) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        lookUp(c, c.state.calls.at(id));
    }
}

} // namespace cuminledge::core::gateway
