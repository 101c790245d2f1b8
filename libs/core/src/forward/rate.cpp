#include "rate.hpp"

#include <algorithm>

#include <core/controller_client/rate_requests.hpp>

#include "answers.hpp"
#include "turns.hpp"

namespace cuminledge::core::forward {

namespace {

    /// How soon a call without a token asks again.
    constexpr std::chrono::milliseconds minRetryPause { 20 };
    constexpr std::chrono::milliseconds maxRetryPause { 100 };

    /// A call that neither continues a turn nor belongs to a program known here starts a new program.
    bool startsProgram(const context& c, const forward_call& subject)
    {
        const auto& place = subject.request.place;
        const bool isFirst = subject.route.isStream && place.previousTurn.empty();
        return place.program.empty() || (isFirst && !isUnderWay(c.state.programs, place.program, c.now));
    }

    void refuse(context& c, forward_call& subject, std::chrono::milliseconds retryAfter)
    {
        failCall(c, subject,
            { error_code::RateLimited, "the client account's rate is used up",
                std::max(retryAfter, std::chrono::milliseconds(1)) });
    }

    /// The authority has no token for the call: one of a program under way waits for a while, any other is refused.
    void waitOrRefuse(context& c, forward_call& subject, std::chrono::milliseconds retryAfter)
    {
        const auto pause = std::clamp(retryAfter, minRetryPause, maxRetryPause);
        const auto patience = std::min<duration>(c.state.settings.ratePatience, (subject.expiresAt - subject.arrived) / 3);
        if (startsProgram(c, subject) || c.now + pause > subject.arrived + patience) {
            refuse(c, subject, retryAfter);
            return;
        }
        ++c.state.counters.rateRetries;
        subject.step = call_step::Rate;
        subject.rateRetryAt = c.now + pause;
        c.state.rateRetries.insert({ subject.rateRetryAt, subject.exchange });
    }

    void admitted(context& c, forward_call& subject)
    {
        noteAdmitted(c.state.programs, subject.request.place.program, c.now);
        prepare(c, subject);
    }

    void send(context& c, const std::vector<wire::rate_lease_request>& requests)
    {
        controller_client::sendRateRequests(c.state.controllers, requests, c.state.configuration.groupCount, c.out);
    }

    /// @return the call of the account that has waited longest, taken out of the queue; null where none waits.
    forward_call* takeWaiting(context& c, const std::string& account)
    {
        const auto waiting = limits::takeWaiting(c.state.rateQueues, account);
        return waiting ? &c.state.calls.at(*waiting) : nullptr;
    }

} // namespace

void requestRate(context& c, forward_call& subject)
{
    if (limits::isRateExhausted(c.state.rate, subject.account, c.now) && startsProgram(c, subject)) {
        ++c.state.counters.programsTurnedAway;
        refuse(c, subject, c.state.rate.settings.exhaustionPeriod);
        return;
    }
    const auto spent = limits::trySpend(c.state.rate, subject.account, c.now);
    switch (spent.decision) {
    case limits::spend_decision::Admitted:
        admitted(c, subject);
        return;
    case limits::spend_decision::Waiting:
        subject.step = call_step::Rate;
        limits::addWaiting(c.state.rateQueues, subject.account, subject.exchange);
        return;
    case limits::spend_decision::Refused:
        waitOrRefuse(c, subject, spent.retryAfter);
        return;
    case limits::spend_decision::Overloaded:
        refuse(c, subject, spent.retryAfter);
        return;
    }
}

void retryRate(context& c)
{
    while (!c.state.rateRetries.empty() && c.state.rateRetries.begin()->first <= c.now) {
        const auto exchange = c.state.rateRetries.begin()->second;
        c.state.rateRetries.erase(c.state.rateRetries.begin());
        requestRate(c, c.state.calls.at(exchange));
    }
}

void leaveRateQueue(context& c, forward_call& subject)
{
    c.state.rateRetries.erase({ subject.rateRetryAt, subject.exchange });
    if (limits::removeWaiting(c.state.rateQueues, subject.account, subject.exchange)) {
        limits::cancelWaiting(c.state.rate, subject.account);
    }
}

void sendRateRequests(context& c)
{
    send(c, limits::collectRequests(c.state.rate, c.now));
}

void onRateGrant(context& c, const std::string& peer, const wire::rate_lease_grant& grant)
{
    controller_client::noteGrant(c.state.controllers, peer, grant, c.state.configuration.groupCount);
    const auto outcome = limits::onRateGrant(c.state.rate, grant, c.now);
    for (std::int64_t i = 0; i < outcome.admitted; ++i) {
        if (auto* subject = takeWaiting(c, grant.account)) {
            admitted(c, *subject);
        }
    }
    for (std::int64_t i = 0; i < outcome.refused; ++i) {
        if (auto* subject = takeWaiting(c, grant.account)) {
            waitOrRefuse(c, *subject, outcome.retryAfter);
        }
    }
}

void onRateRecall(context& c, const wire::rate_lease_recall& recall)
{
    send(c, limits::onRateRecall(c.state.rate, recall, c.now));
}

void returnRateTokens(context& c)
{
    send(c, limits::returnAll(c.state.rate, c.now));
}

} // namespace cuminledge::core::forward
