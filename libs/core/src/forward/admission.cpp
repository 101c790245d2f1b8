#include "admission.hpp"

#include <algorithm>

#include <core/forward/match_route.hpp>
#include <core/request_fingerprint.hpp>

#include "answers.hpp"
#include "configuration.hpp"
#include "rate.hpp"
#include "stream_origin.hpp"
#include "turns.hpp"

namespace cuminledge::core::forward {

namespace {

    forward_call& openCall(context& c, const forward_request& request)
    {
        auto& call = c.state.calls[request.exchange];
        call.exchange = request.exchange;
        call.request = request;
        call.arrived = c.now;
        call.expiresAt = time_point::max();
        return call;
    }

    /// Right after a start, allows for controllers that were started at the same time and elect a leader first.
    std::chrono::milliseconds startUpRetryAfter(const context& c)
    {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(c.now - c.state.startedAt);
        return std::max(c.state.settings.startUpTime - age, c.state.settings.defaultRetryAfter);
    }

    /// Sets the call's route.
    /// @return the refusal if the request can't be served; none otherwise.
    std::optional<refusal> assignRoute(context& c, forward_call& call)
    {
        const auto& table = c.state.configuration.table;
        const auto advice = c.state.settings.defaultRetryAfter;
        if (table.version == 0) {
            return refusal { error_code::Unavailable, "no configuration is known yet", startUpRetryAfter(c) };
        }
        if (c.state.calls.size() > c.state.settings.maxCalls) {
            return refusal { error_code::Overloaded, "too many requests are under way", advice };
        }
        const auto* route = matchRoute(table, call.request.host, call.request.target);
        if (route == nullptr) {
            return refusal { error_code::NotFound, "no route for this host and path" };
        }
        call.route = *route;
        return std::nullopt;
    }

    const wire::account_rule* findAccount(const held_configuration& configuration, const std::string& key)
    {
        const auto found = configuration.accountByKey.find(key);
        return found == configuration.accountByKey.end() ? nullptr : &configuration.table.accounts[found->second];
    }

    void setExpiry(context& c, forward_call& call)
    {
        const auto callers = call.request.timeLeft;
        call.isExpiryFromCaller = callers.count() > 0 && callers < call.route.timeout;
        call.expiresAt = call.arrived + (call.isExpiryFromCaller ? callers : call.route.timeout);
        c.state.expiries.insert({ call.expiresAt, call.exchange });
    }

    void setFingerprint(forward_call& call)
    {
        const auto& request = call.request;
        call.fingerprint = fingerprintOf({ call.account, request.method, request.host, request.target, request.body });
    }

    /// @return whether the process may stop before the call's time has passed. While connections are still accepted, only
    ///         a call that may not be repeated counts: most calls end early, and another gateway can run the others again.
    bool outlivesProcess(const context& c, const forward_call& call)
    {
        switch (c.state.shutdown) {
        case shutdown_phase::Running:
            return false;
        case shutdown_phase::Announced: {
            const bool isRepeatable = call.route.isStream || call.route.isIdempotent;
            return !isRepeatable && call.expiresAt > c.state.shutdownStepAt + c.state.settings.shutdownLimit;
        }
        case shutdown_phase::Draining:
            return call.expiresAt > c.state.shutdownStepAt;
        }
        return false;
    }

    /// @return whether the call neither continues a turn nor belongs to a program that was active here lately.
    bool startsProgram(const context& c, const forward_call& call)
    {
        const auto& place = call.request.programContext;
        const bool isFirst = call.route.isStream && place.previousTurn.empty();
        return place.program.empty() || (isFirst && !isActive(c.state.programs, place.program, c.now));
    }

    /// Refuses the call for a reason that ends its program, which must hold in the newest configuration: a route or key may
    /// be missing here which other gateways serve already.
    void failIfConfirmed(context& c, forward_call& call, const refusal& reason)
    {
        if (isConfirmedSince(c, call.arrived)) {
            failCall(c, call, reason);
        } else {
            awaitConfirmation(c, call);
        }
    }

    bool isFinal(const refusal& reason)
    {
        return reason.code == error_code::NotFound;
    }

    void admitCall(context& c, forward_call& call)
    {
        if (const auto problem = assignRoute(c, call)) {
            if (isFinal(*problem)) {
                failIfConfirmed(c, call, *problem);
            } else {
                failCall(c, call, *problem);
            }
            return;
        }
        const bool hasAccounts = !c.state.configuration.table.accounts.empty();
        const wire::account_rule* account = nullptr;
        if (!call.route.isPublic && hasAccounts) {
            account = findAccount(c.state.configuration, call.request.key);
            if (account == nullptr) {
                failIfConfirmed(c, call, { error_code::Unauthenticated, "no account holds the key" });
                return;
            }
            call.account = account->name;
        }
        if (resumesStream(call) && !knowsServers(c)) {
            awaitConfirmation(c, call);
            return;
        }
        if (const auto problem = refuseUnrecordable(call)) {
            failCall(c, call, *problem);
            return;
        }
        setExpiry(c, call);
        if (outlivesProcess(c, call)) {
            failCall(c, call, { error_code::Unavailable, "the gateway is shutting down", c.state.settings.defaultRetryAfter });
            return;
        }
        setFingerprint(call);
        call.startsProgram = startsProgram(c, call);
        if (!mayRun(c.state.crashes, call.fingerprint)) {
            failQuarantined(c, call);
            return;
        }
        if (account != nullptr && account->ratePerSecond > 0) {
            requestRate(c, call);
        } else {
            prepare(c, call);
        }
    }

} // namespace

void admit(context& c, const forward_request& request)
{
    ++c.state.counters.requests;
    admitCall(c, openCall(c, request));
}

void admitAgain(context& c, forward_call& call)
{
    c.state.expiries.erase({ call.expiresAt, call.exchange });
    call.step = call_step::Rate;
    admitCall(c, call);
}

} // namespace cuminledge::core::forward
