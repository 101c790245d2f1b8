#include "rate.hpp"

#include <algorithm>

#include <core/controller_client/rate_requests.hpp>

#include "attempts.hpp"
#include "refusal.hpp"
#include "service_calls.hpp"
#include "turns.hpp"

namespace cuminledge::core::gateway {

namespace {

    void continueAdmittedCall(gateway_context& context, gateway_call& call)
    {
        call.ownAttempt = context.state.identity.name + "." + randomId(context.random);
        if (call.kind == call_kind::Service && !call.repeatable) {
            recordCall(context, call);
        } else if (call.turn > 0) {
            beginTurn(context, call);
        } else {
            startAttempt(context, call);
        }
    }

    void refuse(gateway_context& context, gateway_call& call, error_code code, const char* message,
        std::chrono::milliseconds retryAfter)
    {
        refusal cause;
        cause.code = code;
        cause.message = message;
        cause.step = "rate";
        cause.retryAfter = std::max(retryAfter, std::chrono::milliseconds(1));
        refuseAndFinish(context, call, cause);
    }

    void sendRequests(gateway_context& context, const std::vector<wire::rate_lease_request>& requests)
    {
        controller_client::sendRateRequests(
            context.state.controllers, requests, context.state.configuration.groupCount, context.out);
    }

    /// Removes the account's longest-waiting call from the queue. @return the call, or null if none is waiting.
    gateway_call* takeWaitingCall(gateway_context& context, const std::string& account)
    {
        const auto waiting = limits::takeWaiting(context.state.rateQueues, account);
        return waiting ? &context.state.calls.at(*waiting) : nullptr;
    }

} // namespace

void acquireRateToken(gateway_context& context, gateway_call& call)
{
    const auto spent = limits::trySpend(context.state.rate, call.account, context.now);
    switch (spent.decision) {
    case limits::spend_decision::Admitted:
        continueAdmittedCall(context, call);
        return;
    case limits::spend_decision::Waiting:
        call.step = call_step::Rate;
        limits::addWaiting(context.state.rateQueues, call.account, call.id);
        return;
    case limits::spend_decision::Refused:
        refuse(context, call, error_code::RateLimited, "the client account's rate is used up", spent.retryAfter);
        return;
    case limits::spend_decision::Overloaded:
        refuse(
            context, call, error_code::Overloaded, "too many calls of the client account wait here", spent.retryAfter);
        return;
    }
}

void removeFromRateQueue(gateway_context& context, gateway_call& call)
{
    if (limits::removeWaiting(context.state.rateQueues, call.account, call.id)) {
        limits::cancelWaiting(context.state.rate, call.account);
    }
}

void sendRateRequests(gateway_context& context)
{
    sendRequests(context, limits::collectRequests(context.state.rate, context.now));
}

void onRateGrant(gateway_context& context, const std::string& peer, const wire::rate_lease_grant& grant)
{
    controller_client::recordLeaderFromGrant(context.state.controllers, peer, grant, context.state.configuration.groupCount);
    const auto outcome = limits::onRateGrant(context.state.rate, grant, context.now);
    for (std::int64_t i = 0; i < outcome.admitted; ++i) {
        if (auto* call = takeWaitingCall(context, grant.account)) {
            continueAdmittedCall(context, *call);
        }
    }
    for (std::int64_t i = 0; i < outcome.refused; ++i) {
        if (auto* call = takeWaitingCall(context, grant.account)) {
            refuse(context, *call, error_code::RateLimited, "the client account's rate is used up", outcome.retryAfter);
        }
    }
}

void onRateRecall(gateway_context& context, const wire::rate_lease_recall& recall)
{
    sendRequests(context, limits::onRateRecall(context.state.rate, recall, context.now));
}

void returnRateTokens(gateway_context& context)
{
    sendRequests(context, limits::returnAll(context.state.rate, context.now));
}

} // namespace cuminledge::core::gateway
