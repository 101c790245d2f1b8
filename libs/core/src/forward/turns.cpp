#include "turns.hpp"

#include <algorithm>

#include <core/forward/match_route.hpp>
#include <core/group.hpp>

#include "answers.hpp"
#include "attempts.hpp"

namespace cuminledge::core::forward {

namespace {

    /// A route that names no retention still has its programs' budgets remembered for so long.
    constexpr std::chrono::milliseconds minRetention { 60'000 };
    constexpr std::uint32_t firstSuccess = 200;
    constexpr std::uint32_t lastSuccess = 299;

    std::uint32_t groupOf(const context& c, const forward_call& subject)
    {
        return groupOfAccount(subject.account, c.state.configuration.groupCount);
    }

    std::chrono::milliseconds timeoutOf(const context& c, const forward_call& subject)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(subject.expiresAt - c.now);
        return std::clamp(left, std::chrono::milliseconds(1), c.state.settings.controllerTimeout);
    }

    bool hasBudget(const forward_call& subject)
    {
        const auto& place = subject.request.programContext;
        return subject.route.isStream && !place.program.empty() && place.budgetTokens > 0 && !subject.account.empty();
    }

    void reserve(context& c, forward_call& subject)
    {
        const auto& request = subject.request;
        const wire::reserve_tokens command { subject.account, request.programContext.program, request.attempt,
            request.maxOutputTokens, request.programContext.budgetTokens, std::max(subject.route.retention, minRetention) };
        subject.reserveRequest = controller_client::send(c.state.controllers, groupOf(c, subject),
            wire::command(command), "reserve_tokens", c.now, timeoutOf(c, subject), c.out);
        c.state.callOfRequest[subject.reserveRequest] = subject.exchange;
    }

    void readChain(context& c, forward_call& subject, const std::string& missing)
    {
        ++c.state.counters.chainsRead;
        subject.isChainRead = true;
        wire::read_chain query { subject.account, missing, {} };
        subject.chainRequest = controller_client::send(c.state.controllers, groupOf(c, subject), wire::query(query),
            "read_chain", c.now, timeoutOf(c, subject), c.out);
        c.state.callOfRequest[subject.chainRequest] = subject.exchange;
    }

    void findChain(context& c, forward_call& subject)
    {
        const auto& previous = subject.request.programContext.previousTurn;
        if (!subject.route.retainsTurns || previous.empty()) {
            return;
        }
        auto chain = collect(c.state.turns, subject.account, previous);
        if (!chain.isWhole) {
            readChain(c, subject, chain.missing);
            return;
        }
        ++c.state.counters.chainsCached;
        subject.chain = std::move(chain.text);
    }

    void startIfPrepared(context& c, forward_call& subject)
    {
        if (subject.reserveRequest == 0 && subject.chainRequest == 0) {
            startAttempt(c, subject);
        }
    }

    void failOnError(context& c, forward_call& subject, const error& problem)
    {
        failCall(c, subject, { error_code::Unavailable, problem.step + ": " + problem.message, c.state.settings.retryAdvice });
    }

    /// The controllers' refusal of a command: nothing was changed.
    void failOnRefusal(context& c, forward_call& subject, const wire::refused& refused)
    {
        failOnError(c, subject, error { error_code::Unavailable, refused.message, refused.step, {} });
    }

    void onReserved(context& c, forward_call& subject, const wire::command_result& outcome)
    {
        subject.reserveRequest = 0;
        const auto* reservation = std::get_if<wire::token_reservation>(&outcome);
        if (reservation == nullptr) {
            const auto* refused = std::get_if<wire::refused>(&outcome);
            failOnRefusal(c, subject, refused == nullptr ? wire::refused {} : *refused);
            return;
        }
        if (!reservation->isGranted) {
            failCall(c, subject,
                { error_code::BudgetExceeded,
                    "the budget of " + std::to_string(reservation->budget) + " tokens does not hold the turn: "
                        + std::to_string(reservation->used) + " used, " + std::to_string(reservation->reserved)
                        + " reserved" });
            return;
        }
        subject.hasReservation = true;
        startIfPrepared(c, subject);
    }

    void onChain(context& c, forward_call& subject, const wire::command_result& outcome)
    {
        subject.chainRequest = 0;
        const auto* chain = std::get_if<wire::turn_chain>(&outcome);
        if (chain == nullptr) {
            const auto* refused = std::get_if<wire::refused>(&outcome);
            failOnRefusal(c, subject, refused == nullptr ? wire::refused {} : *refused);
            return;
        }
        if (chain->links.empty()) {
            failCall(c, subject,
                { error_code::NotFound, "no turn " + subject.request.programContext.previousTurn + " is retained" });
            return;
        }
        for (const auto& link : chain->links) {
            put(c.state.turns, subject.account, link);
        }
        auto text = collect(c.state.turns, subject.account, subject.request.programContext.previousTurn);
        if (!text.isWhole) {
            failCall(c, subject, { error_code::Overloaded, "the turns are too large to be held", c.state.settings.retryAdvice });
            return;
        }
        subject.chain = std::move(text.text);
        startIfPrepared(c, subject);
    }

    void onRetained(context& c, forward_call& subject, const wire::command_result& outcome)
    {
        subject.retainRequest = 0;
        if (const auto* refused = std::get_if<wire::refused>(&outcome)) {
            failOnRefusal(c, subject, *refused);
            return;
        }
        const auto& request = subject.request;
        put(c.state.turns, subject.account,
            { request.attempt, request.programContext.previousTurn, request.body + subject.answer.output });
        completeCall(c, subject);
    }

} // namespace

bool isRetained(const forward_call& subject)
{
    const auto status = subject.answer.status;
    return subject.route.isStream && subject.route.retainsTurns && status >= firstSuccess && status <= lastSuccess;
}

std::int64_t tokensPassedOn(const context& c, const forward_call& subject)
{
    const auto* service = findService(c.state.configuration.table, subject.service);
    return subject.answer.eventCount * (service == nullptr ? 0 : service->tokensPerEvent);
}

void prepare(context& c, forward_call& subject)
{
    subject.step = call_step::Prepare;
    findChain(c, subject);
    if (hasBudget(subject)) {
        reserve(c, subject);
    }
    startIfPrepared(c, subject);
}

void onControllerAnswer(context& c, const controller_client::answer& answer)
{
    const auto waiting = c.state.callOfRequest.find(answer.request);
    if (waiting == c.state.callOfRequest.end()) {
        return;
    }
    auto& subject = c.state.calls.at(waiting->second);
    c.state.callOfRequest.erase(waiting);
    if (!answer.outcome) {
        // A reservation whose outcome is not known may hold; settled as unused, it is given back.
        subject.hasReservation = subject.hasReservation || answer.request == subject.reserveRequest;
        failOnError(c, subject, answer.outcome.error());
    } else if (answer.request == subject.reserveRequest) {
        onReserved(c, subject, *answer.outcome);
    } else if (answer.request == subject.chainRequest) {
        onChain(c, subject, *answer.outcome);
    } else if (answer.request == subject.retainRequest) {
        onRetained(c, subject, *answer.outcome);
    }
}

void finishTurn(context& c, forward_call& subject)
{
    if (!isRetained(subject)) {
        completeCall(c, subject);
        return;
    }
    subject.step = call_step::Retain;
    const auto& request = subject.request;
    wire::retain_turn command;
    command.account = subject.account;
    command.turn = request.attempt;
    command.previous = request.programContext.previousTurn;
    command.text = request.body + subject.answer.output;
    command.retention = subject.route.retention;
    command.program = request.programContext.program;
    command.used = tokensPassedOn(c, subject);
    subject.hasReservation = false;
    subject.retainRequest = controller_client::send(c.state.controllers, groupOf(c, subject), wire::command(command),
        "retain_turn", c.now, timeoutOf(c, subject), c.out);
    c.state.callOfRequest[subject.retainRequest] = subject.exchange;
}

} // namespace cuminledge::core::forward
