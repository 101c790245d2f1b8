#include "attempts.hpp"

#include <algorithm>
#include <array>
#include <cassert>

#include <core/forward/match_route.hpp>
#include <core/store/shard_state.hpp>

#include "answer_memory.hpp"
#include "answers.hpp"
#include "configuration.hpp"
#include "crashes.hpp"
#include "server_limits.hpp"
#include "stream_checks.hpp"
#include "stream_origin.hpp"
#include "turns.hpp"

namespace cuminledge::core::forward {

namespace {

    /// Maximum sends of one call, including those refused without running.
    constexpr std::uint32_t maxSends = 4;
    /// A larger answer is forwarded as it arrives, after which the call can no longer run on another server.
    constexpr std::size_t maxBufferedBodyBytes = 256U << 10U;
    constexpr std::uint32_t firstServerError = 500;
    constexpr std::uint32_t firstSuccess = 200;
    constexpr std::uint32_t lastSuccess = 299;

    bool isSuccess(std::uint32_t status) { return status >= firstSuccess && status <= lastSuccess; }

    /// @return whether the call may be sent again although it may have run already.
    bool canRunAgain(const context& c, const forward_call& call)
    {
        const bool isRepeatable
            = call.route.isStream ? call.route.isResumable : call.route.isIdempotent;
        const bool isBodyBegun = call.answer.hasBegun && !call.route.isStream;
        return isRepeatable && !isBodyBegun && call.possibleRuns < call.route.maxAttempts && call.sends < maxSends
            && call.hasCaller && mayRun(c.state.crashes, call.fingerprint);
    }

    server_requirements describeRequirements(const context& c, const forward_call& call)
    {
        server_requirements requirements;
        requirements.service = call.service;
        const auto* service = findService(c.state.configuration.table, call.service);
        if (service != nullptr) {
            requirements.isEngine = service->slots != 0;
            requirements.slots = service->slots;
        }
        requirements.model = call.request.model;
        requirements.parts = &call.request.parts;
        requirements.excluded = &call.triedServers;
        if (!call.origin.service.empty()) {
            requirements.softwareVersion = &call.origin.softwareVersion;
        }
        return requirements;
    }

    std::chrono::milliseconds timeLeft(const context& c, const forward_call& call)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(call.expiresAt - c.now);
    }

    void logResumption(context& c, const forward_call& call, const std::string& lastEvent)
    {
        const bool isByCaller = call.answer.lastEvent.empty();
        logCall(c, log_level::Info, "stream_resumed", call,
            { { "by", isByCaller ? "caller" : "gateway" }, { "server", call.server },
                { "version", call.softwareVersion }, { "last_event", lastEvent },
                { "resumed_request", call.request.resumedAttempt } });
    }

    /// Before its first event, a stream prefers the software version that is recorded for it, since another would have to
    /// be recorded first.
    std::optional<std::string> selectServer(context& c, const forward_call& call)
    {
        auto requirements = describeRequirements(c, call);
        const auto& recorded = call.originRecord.softwareVersion;
        if (requirements.softwareVersion == nullptr && !recorded.empty()) {
            requirements.softwareVersion = &recorded;
            if (auto server = chooseServer(c.state.servers, requirements, c.now, c.random)) {
                return server;
            }
            requirements.softwareVersion = nullptr;
        }
        return chooseServer(c.state.servers, requirements, c.now, c.random);
    }

    void send(context& c, forward_call& call, const server_entry& server)
    {
        call.server = server.record.backend;
        call.serverAddress = server.record.address;
        call.softwareVersion = server.record.softwareVersion;
        call.serverIncarnation = server.record.incarnation;
        call.triedServers.insert(call.server);
        call.upstream = "u" + std::to_string(c.state.nextUpstream++);
        call.step = call_step::Run;
        ++call.sends;
        ++call.possibleRuns; // decremented in onRequestNotRun()
        ++c.state.counters.sends;
        c.state.callByUpstream[call.upstream] = call.exchange;
        recordRequestSent(c.state.servers, call.server);
        recordSendToServer(c, call.server);
        const auto& request = call.request;
        forward_upstream effect;
        effect.request = call.upstream;
        effect.address = server.record.address;
        effect.backend = server.record.backend;
        effect.attempt = request.attempt;
        effect.method = request.method;
        effect.target = request.target;
        effect.host = request.host;
        effect.headers = request.headers;
        effect.body = call.chain + request.body;
        effect.account = call.account;
        effect.timeLeft = timeLeft(c, call);
        effect.lastEvent = call.answer.lastEvent.empty() ? request.lastEvent : call.answer.lastEvent;
        if (!effect.lastEvent.empty()) {
            logResumption(c, call, effect.lastEvent);
        }
        c.out.emplace_back(std::move(effect));
        if (call.isCallerBlocked) {
            c.out.emplace_back(pause_upstream { call.upstream });
        }
    }

    /// Ends the accounting of the upstream request; the calling function decides how the call continues.
    void releaseServer(context& c, forward_call& call, bool hasFailed)
    {
        c.state.callByUpstream.erase(call.upstream);
        recordRequestEnded(c.state.servers, call.server, hasFailed, c.now);
        call.upstream.clear();
    }

    forward_call* findCall(context& c, const std::string& upstream)
    {
        const auto found = c.state.callByUpstream.find(upstream);
        return found == c.state.callByUpstream.end() ? nullptr : &c.state.calls.at(found->second);
    }

    void logRetry(context& c, const forward_call& call, const std::string& reason)
    {
        count(c, "forward_retries_total");
        logCall(c, log_level::Info, "request_sent_again", call,
            { { "server", call.server }, { "reason", reason }, { "sends", std::to_string(call.sends) },
                { "runs", std::to_string(call.possibleRuns) }, { "last_event", call.answer.lastEvent } });
    }

    /// Discards the received part of the answer, except the record of the events already forwarded.
    void discardAnswer(context& c, forward_call& call)
    {
        call.answer.hasHead = false;
        call.answer.body.clear();
        call.answer.events = {};
        recordHeldBytes(c, call);
    }

    /// Handles a send that the server did not run and never will: tries another server or refuses the call.
    void onRequestNotRun(context& c, forward_call& call, const std::string& reason)
    {
        ++c.state.counters.notRun;
        --call.possibleRuns;
        if (call.sends < maxSends && call.hasCaller) {
            logRetry(c, call, reason);
            startAttempt(c, call);
            return;
        }
        failCall(c, call, { error_code::Unavailable, "no server took the request: " + reason, c.state.settings.defaultRetryAfter });
    }

    /// @return whether the server has started again since the send, as far as its announcements tell.
    bool hasRestarted(const context& c, const forward_call& call)
    {
        const auto found = c.state.servers.servers.find(call.server);
        return found != c.state.servers.servers.end() && found->second.record.incarnation != call.serverIncarnation;
    }

    /// The events may be of the new start of the server, whose software version the send did not know.
    void noteRestart(context& c, forward_call& call)
    {
        if (!call.origin.service.empty() && hasRestarted(c, call)) {
            invalidateOrigin(c, call);
        }
    }

    /// Ties the tries of one request together, and tells how the exchange with the server ended.
    void logLostAnswer(context& c, const forward_call& call, const std::string& reason)
    {
        logCall(c, log_level::Info, "answer_lost", call,
            { { "server", call.server }, { "incarnation", std::to_string(call.serverIncarnation) },
                { "reason", reason }, { "has_head", call.answer.hasHead ? "yes" : "no" },
                { "events", std::to_string(call.answer.eventCount) }, { "fingerprint", call.fingerprint } });
    }

    /// Handles a lost answer of a server that may have run the call: retries where the route allows, or fails the call.
    void onAnswerLost(context& c, forward_call& call, const std::string& reason)
    {
        ++c.state.counters.lost;
        logLostAnswer(c, call, reason);
        discardAnswer(c, call);
        if (canRunAgain(c, call)) {
            c.state.counters.resumed += call.answer.hasBegun ? 1 : 0;
            logRetry(c, call, reason);
            if (call.answer.hasBegun && !knowsServers(c)) {
                awaitConfirmation(c, call);
            } else {
                resumeStream(c, call);
            }
            return;
        }
        noteRestart(c, call);
        failCall(c, call, { error_code::Protocol, "the server broke off: " + reason });
    }

    void beginAnswer(context& c, forward_call& call, std::int64_t length)
    {
        call.answer.hasBegun = true;
        c.out.emplace_back(begin_answer { call.exchange, call.answer.status, call.answer.headers, length });
    }

    void forwardEvent(context& c, forward_call& call, sse_event&& event)
    {
        auto& answer = call.answer;
        if (!answer.hasBegun) {
            beginAnswer(c, call, -1);
        }
        ++answer.eventCount;
        if (call.origin.service.empty()) {
            call.origin = { call.service, call.softwareVersion };
        }
        if (!event.id.empty()) {
            answer.lastEvent = event.id;
        }
        if (isRetained(call)) {
            answer.output += event.data;
            answer.output += '\n';
        }
        c.out.emplace_back(answer_data { call.exchange, std::move(event.bytes) });
    }

    bool isEventStream(const forward_call& call)
    {
        return call.route.isStream && isSuccess(call.answer.status);
    }

    void noteLeaving(context& c, const forward_call& call, const upstream_head& head)
    {
        if (head.isLeaving && recordLeaving(c.state.servers, { call.server, call.serverIncarnation })) {
            logCall(c, log_level::Info, "server_leaving", call,
                { { "server", call.server }, { "incarnation", std::to_string(call.serverIncarnation) } });
        }
    }

    /// Forwards the events in order. @return why the stream was given up, or null.
    const char* forwardEvents(context& c, forward_call& call, std::vector<sse_event>&& events)
    {
        for (auto& event : events) {
            if (const auto* fault = faultOf(call, event)) {
                return fault;
            }
            forwardEvent(c, call, std::move(event));
        }
        return nullptr;
    }

    /// Forwards the buffered part of the body, which is complete or has grown too large to buffer.
    void forwardBody(context& c, forward_call& call)
    {
        if (!call.answer.hasBegun) {
            beginAnswer(c, call, call.answer.length);
        }
        c.out.emplace_back(answer_data { call.exchange, std::exchange(call.answer.body, {}) });
    }

    void onBodyData(context& c, forward_call& call, const std::string& data)
    {
        if (!call.hasCaller) {
            return;
        }
        call.answer.body += data;
        if (call.answer.body.size() > maxBufferedBodyBytes) {
            forwardBody(c, call);
        }
        recordHeldBytes(c, call);
    }

    void onStreamData(context& c, forward_call& call, const std::string& data)
    {
        std::vector<sse_event> events;
        const bool fits = feed(call.answer.events, data, [&](sse_event&& event) { events.push_back(std::move(event)); });
        const auto* fault = forwardEvents(c, call, std::move(events));
        if (fault != nullptr || !fits) {
            stopUpstream(c, call, true);
            onAnswerLost(c, call, fault != nullptr ? fault : "an event over its size limit");
            return;
        }
        if (isRetained(call) && call.request.body.size() + call.answer.output.size() > store::maxTurnBytes) {
            stopUpstream(c, call, true);
            failCall(c, call, { error_code::TooLarge, "the turn is too large to be retained" });
            return;
        }
        recordHeldBytes(c, call);
    }

    void recordEngineRead(context& c, const forward_call& call)
    {
        const auto* service = findService(c.state.configuration.table, call.service);
        if (service != nullptr && service->slots != 0) {
            recordPromptRead(c.state.servers, call.server, call.request.model, call.request.parts, service->cacheTokens);
        }
    }

} // namespace

void startAttempt(context& c, forward_call& call)
{
    if (!mayRun(c.state.crashes, call.fingerprint)) {
        failQuarantined(c, call);
        return;
    }
    if (call.service.empty()) {
        std::uniform_real_distribution<double> draw(0, 1);
        call.service = drawService(call.route, draw(c.random));
    }
    recordDemand(c, call.service);
    const auto server = selectServer(c, call);
    if (!server) {
        const auto version = call.origin.service.empty() ? "" : " at version " + call.origin.softwareVersion;
        const refusal none { error_code::Unavailable, "no server of " + call.service + version + " may take the request",
            retryAfterLimits(c, call.service) };
        failCall(c, call, none);
        return;
    }
    const auto& entry = c.state.servers.servers.at(*server);
    if (recordOrigin(c, call, entry.record.softwareVersion)) {
        send(c, call, entry);
    }
}

void onUpstreamHead(context& c, const upstream_head& head)
{
    auto* call = findCall(c, head.request);
    if (call == nullptr) {
        return;
    }
    const bool isForOtherRequest = !head.attempt.empty() && head.attempt != call->request.attempt;
    if (!isForOtherRequest) {
        noteStatedLimit(c, *call, head);
        noteLeaving(c, *call, head);
    }
    // A refusal that names no request may be a copy of an earlier one on the connection.
    const bool isRefusal = head.notRun && !head.attempt.empty() && !isForOtherRequest;
    if (isRefusal) {
        c.out.emplace_back(cancel_upstream { head.request });
        // A full server is healthy, but other servers are preferred for a while.
        releaseServer(c, *call, true);
        onRequestNotRun(c, *call, "status " + std::to_string(head.status));
        return;
    }
    const bool isRetried = head.status >= firstServerError && canRunAgain(c, *call);
    const bool endsStream = call->answer.hasBegun && !continuesStream(call->answer, head);
    if (isForOtherRequest || head.notRun || !head.isSigned || head.isEncoded || isRetried || endsStream) {
        c.out.emplace_back(cancel_upstream { head.request });
        releaseServer(c, *call, true);
        onAnswerLost(c, *call, isForOtherRequest ? "an answer to another request" : "status " + std::to_string(head.status));
        return;
    }
    auto& answer = call->answer;
    answer.hasHead = true;
    if (!answer.hasBegun) {
        // A resumed stream keeps the head of its first server.
        answer.status = head.status;
        answer.headers = head.headers;
        answer.length = head.length;
    }
    recordEngineRead(c, *call);
}

void onUpstreamData(context& c, const upstream_data& data)
{
    auto* call = findCall(c, data.request);
    if (call == nullptr) {
        return;
    }
    if (isEventStream(*call)) {
        onStreamData(c, *call, data.data);
    } else {
        onBodyData(c, *call, data.data);
    }
    limitHeldBytes(c);
}

void onUpstreamFinished(context& c, const upstream_finished& finished)
{
    auto* call = findCall(c, finished.request);
    if (call == nullptr) {
        return;
    }
    // The end of a connection may be the end of the body, so it does not show that the stream is whole.
    const bool isWithinEvent = isEventStream(*call) && !call->answer.events.partial.empty();
    const bool isEmpty = isEventStream(*call) && call->answer.eventCount == 0 && !resumesStream(*call);
    releaseServer(c, *call, isWithinEvent || isEmpty);
    if (isWithinEvent || isEmpty) {
        suspectCrash(c, *call);
        onAnswerLost(c, *call, isEmpty ? "the stream ended before its first event" : "the stream ended within an event");
        return;
    }
    clearSuspicion(c, *call);
    if (!isEventStream(*call) && call->hasCaller) {
        if (!call->answer.hasBegun) {
            call->answer.length = static_cast<std::int64_t>(call->answer.body.size());
        }
        forwardBody(c, *call);
    } else if (!call->answer.hasBegun && call->hasCaller) {
        beginAnswer(c, *call, -1);
    }
    finishTurn(c, *call);
}

void onUpstreamFailed(context& c, const upstream_failed& failed)
{
    auto* call = findCall(c, failed.request);
    if (call == nullptr) {
        return;
    }
    releaseServer(c, *call, true);
    if (failed.phase == upstream_phase::NotSent) {
        onRequestNotRun(c, *call, failed.message);
    } else {
        suspectCrash(c, *call);
        onAnswerLost(c, *call, failed.message);
    }
}

void resumeStream(context& c, forward_call& call)
{
    call.step = call_step::Run;
    noteRestart(c, call);
    startAttempt(c, call);
}

void onCallerBlocked(context& c, exchange_id exchange)
{
    const auto found = c.state.calls.find(exchange);
    if (found == c.state.calls.end() || found->second.isCallerBlocked) {
        return;
    }
    auto& call = found->second;
    call.isCallerBlocked = true;
    count(c, "forward_callers_blocked_total");
    if (!call.upstream.empty()) {
        c.out.emplace_back(pause_upstream { call.upstream });
    }
}

void onCallerUnblocked(context& c, exchange_id exchange)
{
    const auto found = c.state.calls.find(exchange);
    if (found != c.state.calls.end()) {
        unblockUpstream(c, found->second);
    }
}

void unblockUpstream(context& c, forward_call& call)
{
    const bool wasBlocked = std::exchange(call.isCallerBlocked, false);
    if (wasBlocked && !call.upstream.empty()) {
        c.out.emplace_back(resume_upstream { call.upstream });
    }
}

void stopUpstream(context& c, forward_call& call, bool hasFailed)
{
    if (call.upstream.empty()) {
        return;
    }
    c.out.emplace_back(cancel_upstream { call.upstream });
    releaseServer(c, call, hasFailed);
}

void expireCall(context& c, forward_call& call)
{
    ++c.state.counters.expired;
    count(c, "forward_expired_total");
    const bool isRunning = !call.upstream.empty();
    if (isRunning) {
        suspectCrash(c, call);
    }
    logCall(c, log_level::Info, "request_expired", call,
        { { "server", call.server }, { "has_caller", call.hasCaller ? "yes" : "no" },
            { "held_bytes", std::to_string(heldBytes(call.answer)) } });
    stopUpstream(c, call, isRunning && !call.answer.hasHead);
    if (call.step == call_step::Confirm) {
        failCall(c, call, { error_code::Unavailable, "the configuration can't be confirmed", c.state.settings.defaultRetryAfter });
        return;
    }
    failCall(c, call,
        { call.possibleRuns > 0 ? error_code::Timeout : error_code::Unavailable,
            call.isExpiryFromCaller ? "the caller's deadline has passed" : "the route's timeout has passed" });
}

} // namespace cuminledge::core::forward
