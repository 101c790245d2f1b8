#include "answers.hpp"

#include <algorithm>

#include <base/free_buffer.hpp>
#include <core/forward/match_route.hpp>

#include "answer_memory.hpp"
#include "attempts.hpp"
#include "crashes.hpp"
#include "engine_room.hpp"
#include "rate.hpp"
#include "server_answer.hpp"
#include "turns.hpp"

namespace cuminledge::core::forward {

namespace {

    void abortAnswer(context& c, forward_call& call, const refusal& reason)
    {
        ++c.state.counters.broken;
        count(c, "forward_broken_total");
        logCall(c, log_level::Warning, "answer_broken", call,
            { { "reason", reason.message }, { "server", call.server },
                { "events", std::to_string(call.answer.eventCount) } });
        c.out.emplace_back(abort_exchange { call.exchange });
    }

    void refuse(context& c, forward_call& call, const refusal& reason)
    {
        ++c.state.counters.refused;
        count(c, "forward_refused_total");
        logCall(c, log_level::Warning, "request_refused", call,
            { { "code", cuminledge::toString(reason.code) }, { "reason", reason.message },
                { "sends", std::to_string(call.sends) }, { "may_have_run", call.possibleRuns > 0 ? "yes" : "no" },
                { "retry_after_ms", std::to_string(reason.retryAfter.count()) }, { "fingerprint", call.fingerprint },
                { "routes_version", std::to_string(c.state.configuration.table.version) } });
        c.out.emplace_back(refuse_caller { call.exchange, reason.code, call.possibleRuns > 0, reason.retryAfter, reason.message });
    }

    /// Frees what only the caller needed. What still comes is read, as the server may otherwise stop half-way, and dropped.
    void dropUnreadAnswer(context& c, forward_call& call)
    {
        freeBuffer(call.answer.body);
        recordHeldBytes(c, call);
        unblockUpstream(c, call);
    }

} // namespace

void settleBudget(context& c, forward_call& call)
{
    // A reservation that is not answered yet may have been granted.
    if (!call.hasReservation && call.reserveRequest == 0) {
        return;
    }
    call.hasReservation = false;
    const wire::settle_tokens command { call.account, call.request.programContext.program, call.request.attempt,
        tokensForwarded(c, call) };
    controller_client::send(c.state.controllers, accountGroup(c, call), wire::command(command), "settle_tokens", c.now,
        c.state.settings.settleTimeout, c.out);
}

void removeCall(context& c, forward_call& call)
{
    removeFromRateQueue(c, call);
    leaveRoomQueue(c, call);
    stopUpstream(c, call, false);
    settleBudget(c, call);
    for (const auto request : { call.reserveRequest, call.chainRequest, call.holdRequest, call.retainRequest, call.originRequest, call.originRecord.request }) {
        c.state.callByControllerRequest.erase(request);
    }
    releaseHeldBytes(c, call);
    c.state.expiries.erase({ call.expiresAt, call.exchange });
    c.state.unconfirmed.erase(call.exchange);
    c.state.calls.erase(call.exchange);
}

void failCall(context& c, forward_call& call, const refusal& reason)
{
    if (call.hasCaller && call.answer.hasBegun) {
        abortAnswer(c, call, reason);
    } else if (call.hasCaller) {
        refuse(c, call, reason);
    }
    removeCall(c, call);
}

void failQuarantined(context& c, forward_call& call)
{
    failCall(c, call, { error_code::Quarantined, "backend servers ended while they ran this request" });
}

void completeCall(context& c, forward_call& call)
{
    ++c.state.counters.answered;
    c.out.emplace_back(record_metric { "forward_seconds", static_cast<double>(age(c, call).count()) / 1000, true });
    logCall(c, log_level::Info, "request_answered", call,
        { { "status", std::to_string(call.answer.status) }, { "server", call.server },
            { "sends", std::to_string(call.sends) }, { "events", std::to_string(call.answer.eventCount) },
            { "chain_bytes", std::to_string(call.chain.size()) },
            { "held_bytes", std::to_string(heldBytes(call.answer)) },
            { "chain_from", call.chainReads > 0 ? "group" : "cache" },
            { "chain_reads", std::to_string(call.chainReads) } });
    if (call.hasCaller) {
        c.out.emplace_back(end_answer { call.exchange });
    }
    removeCall(c, call);
}

void onCallerGone(context& c, const caller_gone& gone)
{
    const auto found = c.state.calls.find(gone.exchange);
    if (found == c.state.calls.end()) {
        return;
    }
    auto& call = found->second;
    ++c.state.counters.callersGone;
    logCall(c, log_level::Info, "caller_gone", call,
        { { "server", call.server }, { "reason", gone.reason }, { "held_bytes", std::to_string(heldBytes(call.answer)) } });
    call.hasCaller = false;
    // A call that may not be repeated continues: cancelling it could leave it half done.
    const bool goesOn = call.step == call_step::Retain
        || (call.step == call_step::Run && !call.route.isIdempotent && !call.route.isStream);
    if (goesOn) {
        dropUnreadAnswer(c, call);
        return;
    }
    if (!call.upstream.empty() && !call.answer.hasHead) {
        suspectCrash(c, call);
    }
    removeCall(c, call);
}

} // namespace cuminledge::core::forward
