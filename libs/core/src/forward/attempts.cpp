#include "attempts.hpp"

#include <core/forward/match_route.hpp>

#include "answer_memory.hpp"
#include "answers.hpp"
#include "configuration.hpp"
#include "crashes.hpp"
#include "engine_room.hpp"
#include "hedges.hpp"
#include "server_limits.hpp"
#include "stream_origin.hpp"

namespace cuminledge::core::forward {

namespace {

    /// Maximum sends of one call, including those refused without running.
    constexpr std::uint32_t maxSends = 4;

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
        requirements.affinityKey = call.route.isSticky ? &call.request.affinityKey : nullptr;
        describeLoad(c, call, requirements);
        return requirements;
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
    std::optional<std::string> selectServer(context& c, const forward_call& call, server_requirements requirements)
    {
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

    bool isAvoided(const context& c, const std::string& server)
    {
        return c.now < c.state.servers.servers.at(server).avoidUntil;
    }

    /// Room at a server that has just failed is worth less than a wait elsewhere.
    std::optional<std::string> selectServerWithRoom(context& c, const forward_call& call, server_requirements requirements)
    {
        auto server = selectServer(c, call, requirements);
        if (server && requirements.needsRoom && isAvoided(c, *server)) {
            requirements.needsRoom = false;
            server = selectServer(c, call, requirements);
        }
        return server;
    }

    void send(context& c, forward_call& call, const server_entry& server)
    {
        recordAdmission(c.state.programs, call.request.programContext.program, c.now);
        call.sentAt = c.now;
        call.server = server.record.backend;
        call.serverAddress = server.record.address;
        call.softwareVersion = server.record.softwareVersion;
        call.serverIncarnation = server.record.incarnation;
        call.step = call_step::Run;
        call.upstream = sendTo(c, call, server);
        planHedge(c, call);
        if (call.isCallerBlocked) {
            c.out.emplace_back(pause_upstream { call.upstream });
        }
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
        call.answer.serverEvents = 0;
        recordHeldBytes(c, call);
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
    if (call.step != call_step::Room) {
        recordDemand(c, call.service);
        recordPrefixDemand(c, call);
    }
    const auto requirements = describeRequirements(c, call);
    if (refuseIfOverloaded(c, call, requirements)) {
        return;
    }
    const auto server = selectServerWithRoom(c, call, requirements);
    if (!server && requirements.needsRoom && hasEligibleServer(c.state.servers, requirements, c.now)) {
        awaitRoom(c, call, requirements);
        return;
    }
    stopAwaitingRoom(c, call);
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

std::optional<std::string> chooseUntriedServer(context& c, const forward_call& call)
{
    return chooseServer(c.state.servers, describeRequirements(c, call), c.now, c.random);
}

std::string sendTo(context& c, forward_call& call, const server_entry& server)
{
    const auto& id = server.record.backend;
    auto upstream = "u" + std::to_string(c.state.nextUpstream++);
    call.triedServers.insert(id);
    ++call.sends;
    ++call.possibleRuns; // until it is known that the server has not run it
    ++c.state.counters.sends;
    c.state.callByUpstream[upstream] = call.exchange;
    recordRequestSent(c.state.servers, id);
    recordSendToServer(c, id);
    const auto& request = call.request;
    forward_upstream effect;
    effect.request = upstream;
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
    return upstream;
}

void resumeStream(context& c, forward_call& call)
{
    call.step = call_step::Run;
    noteRestart(c, call);
    startAttempt(c, call);
}

bool canRunAgain(const context& c, const forward_call& call)
{
    const bool isRepeatable
        = call.route.isStream ? call.route.isResumable : call.route.isIdempotent;
    const bool isBodyBegun = call.answer.hasBegun && !call.route.isStream;
    return isRepeatable && !isBodyBegun && call.possibleRuns < call.route.maxAttempts && call.sends < maxSends
        && call.hasCaller && mayRun(c.state.crashes, call.fingerprint);
}

void releaseServer(context& c, forward_call& call, bool hasFailed)
{
    c.state.callByUpstream.erase(call.upstream);
    recordRequestEnded(c.state.servers, call.server, hasFailed, c.now);
    c.state.room.hasChanged = true;
    call.upstream.clear();
}

void retryNotRun(context& c, forward_call& call, const std::string& reason)
{
    ++c.state.counters.notRun;
    --call.possibleRuns;
    if (continueWithHedge(c, call)) {
        return;
    }
    if (call.sends < maxSends && call.hasCaller) {
        logRetry(c, call, reason);
        startAttempt(c, call);
        return;
    }
    failCall(c, call, { error_code::Unavailable, "no server took the request: " + reason, c.state.settings.defaultRetryAfter });
}

void retryLost(context& c, forward_call& call, const std::string& reason)
{
    ++c.state.counters.lost;
    logLostAnswer(c, call, reason);
    discardAnswer(c, call);
    if (continueWithHedge(c, call)) {
        return;
    }
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

void stopUpstream(context& c, forward_call& call, bool hasFailed)
{
    cancelHedge(c, call);
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
