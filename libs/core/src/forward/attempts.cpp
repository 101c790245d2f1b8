#include "attempts.hpp"

#include <algorithm>
#include <array>
#include <cassert>

#include <core/forward/match_route.hpp>

#include "answers.hpp"
#include "turns.hpp"

namespace cuminledge::core::forward {

namespace {

    /// Sends of one call at most, those that were refused without running included.
    constexpr std::uint32_t maxSends = 4;
    /// A larger answer is passed on as it comes, and can't be asked of another server any more.
    constexpr std::size_t maxHeldBody = 256U << 10U;
    constexpr std::uint32_t firstServerError = 500;
    constexpr std::uint32_t firstSuccess = 200;
    constexpr std::uint32_t lastSuccess = 299;

    bool isSuccess(std::uint32_t status) { return status >= firstSuccess && status <= lastSuccess; }

    /// @return whether the call may run once more after it may have run.
    bool mayRunAgain(const forward_call& subject)
    {
        const bool isRepeatable
            = subject.route.isStream ? subject.route.isResumable : subject.route.isIdempotent;
        const bool isOnItsWay = subject.answer.hasBegun && !subject.route.isStream;
        return isRepeatable && !isOnItsWay && subject.runs < subject.route.maxAttempts && subject.sends < maxSends
            && subject.hasCaller;
    }

    server_wish wishOf(const context& c, const forward_call& subject)
    {
        server_wish wish;
        wish.service = subject.service;
        const auto* service = findService(c.state.configuration.table, subject.service);
        if (service != nullptr) {
            wish.isEngine = service->slots != 0;
            wish.slots = service->slots;
        }
        wish.model = subject.request.model;
        wish.parts = &subject.request.parts;
        wish.excluded = &subject.tried;
        return wish;
    }

    std::chrono::milliseconds timeLeft(const context& c, const forward_call& subject)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(subject.expiresAt - c.now);
    }

    void send(context& c, forward_call& subject, const server_entry& server)
    {
        subject.server = server.record.backend;
        subject.tried.insert(subject.server);
        subject.upstream = "u" + std::to_string(c.state.nextUpstream++);
        subject.step = call_step::Run;
        ++subject.sends;
        ++subject.runs; // until it is proved not to have run
        ++c.state.counters.sends;
        c.state.callOfUpstream[subject.upstream] = subject.exchange;
        noteSent(c.state.servers, subject.server);
        const auto& request = subject.request;
        forward_upstream effect;
        effect.request = subject.upstream;
        effect.address = server.record.address;
        effect.backend = server.record.backend;
        effect.attempt = request.attempt;
        effect.method = request.method;
        effect.target = request.target;
        effect.host = request.host;
        effect.headers = request.headers;
        effect.body = subject.chain + request.body;
        effect.account = subject.account;
        effect.timeLeft = timeLeft(c, subject);
        effect.lastEvent = subject.answer.lastEvent.empty() ? request.lastEvent : subject.answer.lastEvent;
        c.out.emplace_back(std::move(effect));
    }

    /// The upstream exchange is over; what follows is decided by the caller of this.
    void leaveServer(context& c, forward_call& subject, bool hasFailed)
    {
        c.state.callOfUpstream.erase(subject.upstream);
        noteEnded(c.state.servers, subject.server, hasFailed, c.now);
        subject.upstream.clear();
    }

    forward_call* findCall(context& c, const std::string& upstream)
    {
        const auto found = c.state.callOfUpstream.find(upstream);
        return found == c.state.callOfUpstream.end() ? nullptr : &c.state.calls.at(found->second);
    }

    void logRetry(context& c, const forward_call& subject, const std::string& reason)
    {
        count(c, "forward_retries_total");
        logCall(c, log_level::Info, "request_sent_again", subject,
            { { "server", subject.server }, { "reason", reason }, { "sends", std::to_string(subject.sends) },
                { "runs", std::to_string(subject.runs) }, { "last_event", subject.answer.lastEvent } });
    }

    /// What has come of the answer counts for nothing, but for the events that were passed on.
    void forgetAnswer(forward_call& subject)
    {
        subject.answer.hasHead = false;
        subject.answer.body.clear();
        subject.answer.events = {};
    }

    /// The server did not run the call and never will.
    void onNotRun(context& c, forward_call& subject, const std::string& reason)
    {
        ++c.state.counters.notRun;
        --subject.runs;
        if (subject.sends < maxSends && subject.hasCaller) {
            logRetry(c, subject, reason);
            startAttempt(c, subject);
            return;
        }
        failCall(c, subject, { error_code::Unavailable, "no server took the request: " + reason, c.state.settings.retryAdvice });
    }

    /// The server may have run the call, and its answer is not to be had.
    void onLost(context& c, forward_call& subject, const std::string& reason)
    {
        ++c.state.counters.lost;
        forgetAnswer(subject);
        if (mayRunAgain(subject)) {
            c.state.counters.resumed += subject.answer.hasBegun ? 1 : 0;
            logRetry(c, subject, reason);
            startAttempt(c, subject);
            return;
        }
        failCall(c, subject, { error_code::Protocol, "the server broke off: " + reason });
    }

    void beginAnswer(context& c, forward_call& subject, std::int64_t length)
    {
        subject.answer.hasBegun = true;
        c.out.emplace_back(begin_answer { subject.exchange, subject.answer.status, subject.answer.headers, length });
    }

    void passOn(context& c, forward_call& subject, stream_piece&& piece)
    {
        auto& answer = subject.answer;
        if (!answer.hasBegun) {
            beginAnswer(c, subject, -1);
        }
        ++answer.eventCount;
        if (!piece.id.empty()) {
            answer.lastEvent = piece.id;
        }
        if (isRetained(subject)) {
            answer.output += piece.data;
            answer.output += '\n';
        }
        c.out.emplace_back(answer_data { subject.exchange, std::move(piece.bytes) });
    }

    bool isEventStream(const forward_call& subject)
    {
        return subject.route.isStream && isSuccess(subject.answer.status);
    }

    /// Passes on what is held back of a body that has grown too large to hold.
    void passOnBody(context& c, forward_call& subject)
    {
        if (!subject.answer.hasBegun) {
            beginAnswer(c, subject, subject.answer.length);
        }
        c.out.emplace_back(answer_data { subject.exchange, std::exchange(subject.answer.body, {}) });
    }

    void noteEngineRead(context& c, const forward_call& subject)
    {
        const auto* service = findService(c.state.configuration.table, subject.service);
        if (service != nullptr && service->slots != 0) {
            noteRead(c.state.servers, subject.server, subject.request.model, subject.request.parts, service->cacheTokens);
        }
    }

} // namespace

void startAttempt(context& c, forward_call& subject)
{
    if (subject.service.empty()) {
        std::uniform_real_distribution<double> draw(0, 1);
        subject.service = drawService(subject.route, draw(c.random));
    }
    auto server = chooseServer(c.state.servers, wishOf(c, subject), c.now, c.random);
    if (!server) {
        const refusal none { error_code::Unavailable, "no server of " + subject.service + " may take the request",
            c.state.settings.retryAdvice };
        failCall(c, subject, none);
        return;
    }
    send(c, subject, c.state.servers.servers.at(*server));
}

void onUpstreamHead(context& c, const upstream_head& head)
{
    auto* subject = findCall(c, head.request);
    if (subject == nullptr) {
        return;
    }
    const bool isForeign = !head.attempt.empty() && head.attempt != subject->request.attempt;
    if (head.notRun && !isForeign) {
        c.out.emplace_back(cancel_upstream { head.request });
        // A server that is full is sound, but others go first for a while.
        leaveServer(c, *subject, true);
        onNotRun(c, *subject, "status " + std::to_string(head.status));
        return;
    }
    const bool isRetried = head.status >= firstServerError && mayRunAgain(*subject);
    const bool endsStream = subject->answer.hasBegun && !isSuccess(head.status);
    if (isForeign || !head.isSigned || head.isEncoded || isRetried || endsStream) {
        c.out.emplace_back(cancel_upstream { head.request });
        leaveServer(c, *subject, true);
        onLost(c, *subject, isForeign ? "an answer to another request" : "status " + std::to_string(head.status));
        return;
    }
    auto& answer = subject->answer;
    answer.hasHead = true;
    if (!answer.hasBegun) {
        // A resumed stream keeps the head of its first server.
        answer.status = head.status;
        answer.headers = head.headers;
        answer.length = head.length;
    }
    noteEngineRead(c, *subject);
}

void onUpstreamData(context& c, const upstream_data& data)
{
    auto* subject = findCall(c, data.request);
    if (subject == nullptr) {
        return;
    }
    if (isEventStream(*subject)) {
        const bool fits = feed(subject->answer.events, data.data,
            [&](stream_piece&& piece) { passOn(c, *subject, std::move(piece)); });
        if (!fits) {
            stopUpstream(c, *subject, true);
            onLost(c, *subject, "an event over its size limit");
        }
        return;
    }
    subject->answer.body += data.data;
    if (subject->answer.body.size() > maxHeldBody && subject->hasCaller) {
        passOnBody(c, *subject);
    }
}

void onUpstreamFinished(context& c, const upstream_finished& finished)
{
    auto* subject = findCall(c, finished.request);
    if (subject == nullptr) {
        return;
    }
    const bool isCut = isEventStream(*subject) && !subject->answer.events.partial.empty();
    leaveServer(c, *subject, isCut);
    if (isCut) {
        onLost(c, *subject, "the stream ended within an event");
        return;
    }
    if (!isEventStream(*subject)) {
        if (!subject->answer.hasBegun) {
            subject->answer.length = static_cast<std::int64_t>(subject->answer.body.size());
        }
        passOnBody(c, *subject);
    } else if (!subject->answer.hasBegun) {
        beginAnswer(c, *subject, -1);
    }
    finishTurn(c, *subject);
}

void onUpstreamFailed(context& c, const upstream_failed& failed)
{
    auto* subject = findCall(c, failed.request);
    if (subject == nullptr) {
        return;
    }
    leaveServer(c, *subject, true);
    if (failed.phase == upstream_phase::NotSent) {
        onNotRun(c, *subject, failed.message);
    } else {
        onLost(c, *subject, failed.message);
    }
}

void stopUpstream(context& c, forward_call& subject, bool hasFailed)
{
    if (subject.upstream.empty()) {
        return;
    }
    c.out.emplace_back(cancel_upstream { subject.upstream });
    leaveServer(c, subject, hasFailed);
}

void expireCall(context& c, forward_call& subject)
{
    ++c.state.counters.expired;
    count(c, "forward_expired_total");
    const bool isRunning = !subject.upstream.empty();
    stopUpstream(c, subject, isRunning && !subject.answer.hasHead);
    failCall(c, subject,
        { subject.runs > 0 ? error_code::Timeout : error_code::Unavailable,
            subject.expiryIsCallers ? "the caller's deadline has passed" : "the route's timeout has passed" });
}

} // namespace cuminledge::core::forward
