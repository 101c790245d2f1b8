#include "rate.hpp"

#include <algorithm>

#include <core/controller_client/rate_requests.hpp>

#include "answers.hpp"
#include "turns.hpp"

namespace cuminledge::core::forward {

namespace {

    /// Bounds of the delay after which a call without a token asks again.
    constexpr std::chrono::milliseconds minRetryDelay { 20 };
    constexpr std::chrono::milliseconds maxRetryDelay { 100 };

    void refuse(context& c, forward_call& call, std::chrono::milliseconds retryAfter)
    {
        failCall(c, call,
            { error_code::RateLimited, "the client account's rate is used up",
                std::max(retryAfter, std::chrono::milliseconds(1)) });
    }

    /// Handles a refusal by the authority: holds a call of a program under way for a limited time and refuses any other.
    void waitOrRefuse(context& c, forward_call& call, std::chrono::milliseconds retryAfter)
    {
        const auto pause = std::clamp(retryAfter, minRetryDelay, maxRetryDelay);
        const auto waitLimit = std::min<duration>(c.state.settings.rateWaitLimit, (call.expiresAt - call.arrived) / 3);
        if (call.startsProgram || c.now + pause > call.arrived + waitLimit) {
            refuse(c, call, retryAfter);
            return;
        }
        ++c.state.counters.rateRetries;
        call.step = call_step::Rate;
        call.rateRetryAt = c.now + pause;
        c.state.rateRetries.insert({ call.rateRetryAt, call.exchange });
    }

    void send(context& c, const std::vector<wire::rate_lease_request>& requests)
    {
        controller_client::sendRateRequests(c.state.controllers, requests, c.state.configuration.groupCount, c.out);
    }

    /// Removes the longest-waiting call of the account from the queue.
    /// @return the call, or null if none waits.
    forward_call* takeWaiting(context& c, const std::string& account)
    {
        const auto waiting = limits::takeWaiting(c.state.rateQueues, account);
        return waiting ? &c.state.calls.at(*waiting) : nullptr;
    }

} // namespace

void requestRate(context& c, forward_call& call)
{
    if (limits::isRateExhausted(c.state.rate, call.account, c.now) && call.startsProgram) {
        ++c.state.counters.newProgramsRefused;
        refuse(c, call, c.state.rate.settings.exhaustionPeriod);
        return;
    }
    const auto spent = limits::trySpend(c.state.rate, call.account, c.now);
    switch (spent.decision) {
    case limits::spend_decision::Admitted:
        prepare(c, call);
        return;
    case limits::spend_decision::Waiting:
        call.step = call_step::Rate;
        limits::addWaiting(c.state.rateQueues, call.account, call.exchange);
        return;
    case limits::spend_decision::Refused:
        waitOrRefuse(c, call, spent.retryAfter);
        return;
    case limits::spend_decision::Overloaded:
        refuse(c, call, spent.retryAfter);
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

void removeFromRateQueue(context& c, forward_call& call)
{
    c.state.rateRetries.erase({ call.rateRetryAt, call.exchange });
    if (limits::removeWaiting(c.state.rateQueues, call.account, call.exchange)) {
        limits::cancelWaiting(c.state.rate, call.account);
    }
}

void sendRateRequests(context& c)
{
    send(c, limits::collectRequests(c.state.rate, c.now));
}

void onRateGrant(context& c, const std::string& peer, const wire::rate_lease_grant& grant)
{
    controller_client::recordLeaderFromGrant(c.state.controllers, peer, grant, c.state.configuration.groupCount);
    const auto outcome = limits::onRateGrant(c.state.rate, grant, c.now);
    for (std::int64_t i = 0; i < outcome.admitted; ++i) {
        if (auto* call = takeWaiting(c, grant.account)) {
            prepare(c, *call);
        }
    }
    for (std::int64_t i = 0; i < outcome.refused; ++i) {
        if (auto* call = takeWaiting(c, grant.account)) {
            waitOrRefuse(c, *call, outcome.retryAfter);
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
