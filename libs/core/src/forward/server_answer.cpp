#include "server_answer.hpp"

#include <utility>
#include <vector>

#include <core/forward/match_route.hpp>
#include <core/store/shard_state.hpp>

#include "answer_memory.hpp"
#include "answers.hpp"
#include "attempts.hpp"
#include "crashes.hpp"
#include "engine_room.hpp"
#include "hedges.hpp"
#include "server_limits.hpp"
#include "stream_checks.hpp"
#include "stream_origin.hpp"
#include "turns.hpp"

namespace cuminledge::core::forward {

namespace {

    /// A larger answer is forwarded as it arrives, after which the call can no longer run on another server.
    constexpr std::size_t maxBufferedBodyBytes = 256U << 10U;
    constexpr std::uint32_t firstServerError = 500;

    forward_call* findCall(context& c, const std::string& upstream)
    {
        const auto found = c.state.callByUpstream.find(upstream);
        return found == c.state.callByUpstream.end() ? nullptr : &c.state.calls.at(found->second);
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
        answer.firstEventAt = answer.serverEvents == 0 ? c.now : answer.firstEventAt;
        answer.lastEventAt = c.now;
        ++answer.serverEvents;
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
            retryLost(c, call, fault != nullptr ? fault : "an event over its size limit");
            return;
        }
        if (isRetained(call) && call.answer.output.size() > store::maxTurnOutputBytes) {
            stopUpstream(c, call, true);
            failCall(c, call, { error_code::TooLarge, "the output is too large to be retained" });
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
    if (isHedge(*call, head.request)) {
        const bool isUsable = !isForOtherRequest && !head.notRun && head.isSigned && !head.isEncoded && head.status < firstServerError;
        if (!isUsable) {
            c.out.emplace_back(cancel_upstream { head.request });
            loseHedge(c, *call, isRefusal);
            return;
        }
        preferHedge(c, *call);
    }
    if (isRefusal) {
        c.out.emplace_back(cancel_upstream { head.request });
        // A full server is healthy, but other servers are preferred for a while.
        releaseServer(c, *call, true);
        retryNotRun(c, *call, "status " + std::to_string(head.status));
        return;
    }
    const bool isRetried = head.status >= firstServerError && canRunAgain(c, *call);
    const bool endsStream = call->answer.hasBegun && !continuesStream(call->answer, head);
    if (isForOtherRequest || head.notRun || !head.isSigned || head.isEncoded || isRetried || endsStream) {
        c.out.emplace_back(cancel_upstream { head.request });
        releaseServer(c, *call, true);
        retryLost(c, *call, isForOtherRequest ? "an answer to another request" : "status " + std::to_string(head.status));
        return;
    }
    cancelHedge(c, *call);
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
        retryLost(c, *call, isEmpty ? "the stream ended before its first event" : "the stream ended within an event");
        return;
    }
    clearSuspicion(c, *call);
    measureServer(c, *call);
    recordAnswerTime(c, *call);
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
    if (isHedge(*call, failed.request)) {
        loseHedge(c, *call, failed.phase == upstream_phase::NotSent);
        return;
    }
    releaseServer(c, *call, true);
    if (failed.phase == upstream_phase::NotSent) {
        retryNotRun(c, *call, failed.message);
    } else {
        suspectCrash(c, *call);
        retryLost(c, *call, failed.message);
    }
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

} // namespace cuminledge::core::forward
