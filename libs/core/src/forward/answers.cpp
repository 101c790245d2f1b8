#include "answers.hpp"

#include <algorithm>

#include <core/forward/match_route.hpp>
#include <core/group.hpp>

#include "attempts.hpp"
#include "rate.hpp"
#include "turns.hpp"

namespace cuminledge::core::forward {

namespace {

    void breakOff(context& c, forward_call& subject, const refusal& why)
    {
        ++c.state.counters.broken;
        count(c, "forward_broken_total");
        logCall(c, log_level::Warning, "answer_broken", subject,
            { { "reason", why.message }, { "server", subject.server },
                { "events", std::to_string(subject.answer.eventCount) } });
        c.out.emplace_back(abort_exchange { subject.exchange });
    }

    void refuse(context& c, forward_call& subject, const refusal& why)
    {
        ++c.state.counters.refused;
        count(c, "forward_refused_total");
        logCall(c, log_level::Warning, "request_refused", subject,
            { { "code", cuminledge::toString(why.code) }, { "reason", why.message },
                { "sends", std::to_string(subject.sends) }, { "may_have_run", subject.runs > 0 ? "yes" : "no" },
                { "retry_after_ms", std::to_string(why.retryAfter.count()) },
                { "routes_version", std::to_string(c.state.configuration.table.version) } });
        c.out.emplace_back(refuse_caller { subject.exchange, why.code, subject.runs > 0, why.retryAfter, why.message });
    }

} // namespace

void settleBudget(context& c, forward_call& subject)
{
    if (!subject.hasReservation) {
        return;
    }
    subject.hasReservation = false;
    const auto group = groupOfAccount(subject.account, c.state.configuration.groupCount);
    const wire::settle_tokens command { subject.account, subject.request.programContext.program, subject.request.attempt,
        tokensPassedOn(c, subject) };
    controller_client::send(c.state.controllers, group, wire::command(command), "settle_tokens", c.now,
        c.state.settings.settleTimeout, c.out);
}

void removeCall(context& c, forward_call& subject)
{
    leaveRateQueue(c, subject);
    stopUpstream(c, subject, false);
    settleBudget(c, subject);
    for (const auto request : { subject.reserveRequest, subject.chainRequest, subject.retainRequest }) {
        c.state.callOfRequest.erase(request);
    }
    c.state.expiries.erase({ subject.expiresAt, subject.exchange });
    c.state.calls.erase(subject.exchange);
}

void failCall(context& c, forward_call& subject, const refusal& why)
{
    if (subject.hasCaller && subject.answer.hasBegun) {
        breakOff(c, subject, why);
    } else if (subject.hasCaller) {
        refuse(c, subject, why);
    }
    removeCall(c, subject);
}

void completeCall(context& c, forward_call& subject)
{
    ++c.state.counters.answered;
    c.out.emplace_back(record_metric { "forward_seconds", static_cast<double>(age(c, subject).count()) / 1000, true });
    logCall(c, log_level::Info, "request_answered", subject,
        { { "status", std::to_string(subject.answer.status) }, { "server", subject.server },
            { "sends", std::to_string(subject.sends) }, { "events", std::to_string(subject.answer.eventCount) },
            { "chain_bytes", std::to_string(subject.chain.size()) },
            { "chain_from", subject.isChainRead ? "group" : "cache" } });
    if (subject.hasCaller) {
        c.out.emplace_back(end_answer { subject.exchange });
    }
    removeCall(c, subject);
}

void onCallerGone(context& c, exchange_id exchange)
{
    const auto found = c.state.calls.find(exchange);
    if (found == c.state.calls.end()) {
        return;
    }
    auto& subject = found->second;
    ++c.state.counters.callersGone;
    logCall(c, log_level::Info, "caller_gone", subject, { { "server", subject.server } });
    subject.hasCaller = false;
    // A call that may not be repeated goes on: breaking it off could leave it half done.
    const bool goesOn = subject.step == call_step::Retain
        || (subject.step == call_step::Run && !subject.route.isIdempotent && !subject.route.isStream);
    if (!goesOn) {
        removeCall(c, subject);
    }
}

} // namespace cuminledge::core::forward
