#include "rate.hpp"

#include <algorithm>

#include <core/controller_client/rate_requests.hpp>

#include "attempts.hpp"
#include "refusal.hpp"
#include "service_calls.hpp"
#include "turns.hpp"

namespace cuminledge::core::gateway {

namespace {

    void goOn(context& c, call& subject)
    {
        subject.ownAttempt = c.state.identity.name + "." + randomId(c.random);
        if (subject.kind == call_kind::Service && !subject.repeatable) {
            recordCall(c, subject);
        } else if (subject.turn > 0) {
            beginTurn(c, subject);
        } else {
            startAttempt(c, subject);
        }
    }

    void refuse(context& c, call& subject, error_code code, const char* message, std::chrono::milliseconds retryAfter)
    {
        refusal r;
        r.code = code;
        r.message = message;
        r.step = "rate";
        r.retryAfter = std::max(retryAfter, std::chrono::milliseconds(1));
        refuseAndFinish(c, subject, r);
    }

    void send(context& c, const std::vector<wire::rate_lease_request>& requests)
    {
        controller_client::sendRateRequests(c.state.controllers, requests, c.state.configuration.groupCount, c.out);
    }

    /// @return the call of the account that has waited longest, taken out of the queue; null where none waits.
    call* takeWaiting(context& c, const std::string& account)
    {
        const auto waiting = limits::takeWaiting(c.state.rateQueues, account);
        return waiting ? &c.state.calls.at(*waiting) : nullptr;
    }

} // namespace

void requestRate(context& c, call& subject)
{
    const auto spent = limits::trySpend(c.state.rate, subject.account, c.now);
    switch (spent.decision) {
    case limits::spend_decision::Admitted:
        goOn(c, subject);
        return;
    case limits::spend_decision::Waiting:
        subject.step = call_step::Rate;
        limits::addWaiting(c.state.rateQueues, subject.account, subject.id);
        return;
    case limits::spend_decision::Refused:
        refuse(c, subject, error_code::RateLimited, "the client account's rate is used up", spent.retryAfter);
        return;
    case limits::spend_decision::Overloaded:
        refuse(c, subject, error_code::Overloaded, "too many calls of the client account wait here", spent.retryAfter);
        return;
    }
}

void leaveRateQueue(context& c, call& subject)
{
    if (limits::removeWaiting(c.state.rateQueues, subject.account, subject.id)) {
        limits::cancelWaiting(c.state.rate, subject.account);
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
        if (auto* subject = takeWaiting(c, grant.account)) {
            goOn(c, *subject);
        }
    }
    for (std::int64_t i = 0; i < outcome.refused; ++i) {
        if (auto* subject = takeWaiting(c, grant.account)) {
            refuse(c, *subject, error_code::RateLimited, "the client account's rate is used up", outcome.retryAfter);
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

} // namespace cuminledge::core::gateway
