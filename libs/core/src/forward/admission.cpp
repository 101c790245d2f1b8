#include "admission.hpp"

#include <algorithm>

#include <core/forward/match_route.hpp>

#include "answers.hpp"
#include "rate.hpp"
#include "turns.hpp"

namespace cuminledge::core::forward {

namespace {

    forward_call& openCall(context& c, const forward_request& request)
    {
        auto& subject = c.state.calls[request.exchange];
        subject.exchange = request.exchange;
        subject.request = request;
        subject.arrived = c.now;
        subject.expiresAt = time_point::max();
        return subject;
    }

    /// A gateway that has just started may have done so together with the controllers, which first elect a leader.
    std::chrono::milliseconds untilConfigured(const context& c)
    {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(c.now - c.state.startedAt);
        return std::max(c.state.settings.startUpTime - age, c.state.settings.retryAdvice);
    }

    /// @return why the request can't be served; nothing where it can.
    std::optional<refusal> findRoute(context& c, forward_call& subject)
    {
        const auto& table = c.state.configuration.table;
        const auto advice = c.state.settings.retryAdvice;
        if (table.version == 0) {
            return refusal { error_code::Unavailable, "no configuration is known yet", untilConfigured(c) };
        }
        if (c.state.calls.size() > c.state.settings.maxCalls) {
            return refusal { error_code::Overloaded, "too many requests are under way", advice };
        }
        const auto* route = matchRoute(table, subject.request.host, subject.request.target);
        if (route == nullptr) {
            return refusal { error_code::NotFound, "no route for this host and path" };
        }
        subject.route = *route;
        return std::nullopt;
    }

    const wire::account_rule* findAccount(const held_configuration& configuration, const std::string& key)
    {
        const auto found = configuration.accountOfKey.find(key);
        return found == configuration.accountOfKey.end() ? nullptr : &configuration.table.accounts[found->second];
    }

    void setExpiry(context& c, forward_call& subject)
    {
        const auto callers = subject.request.timeLeft;
        subject.expiryIsCallers = callers.count() > 0 && callers < subject.route.timeout;
        subject.expiresAt = c.now + (subject.expiryIsCallers ? callers : subject.route.timeout);
        c.state.expiries.insert({ subject.expiresAt, subject.exchange });
    }

} // namespace

void admit(context& c, const forward_request& request)
{
    ++c.state.counters.requests;
    auto& subject = openCall(c, request);
    if (const auto problem = findRoute(c, subject)) {
        failCall(c, subject, *problem);
        return;
    }
    setExpiry(c, subject);
    const bool hasAccounts = !c.state.configuration.table.accounts.empty();
    if (subject.route.isPublic || !hasAccounts) {
        prepare(c, subject);
        return;
    }
    const auto* account = findAccount(c.state.configuration, request.key);
    if (account == nullptr) {
        failCall(c, subject, { error_code::Unauthenticated, "no account holds the key" });
        return;
    }
    subject.account = account->name;
    if (account->ratePerSecond > 0) {
        requestRate(c, subject);
    } else {
        prepare(c, subject);
    }
}

} // namespace cuminledge::core::forward
