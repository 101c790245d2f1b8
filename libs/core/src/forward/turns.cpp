#include "turns.hpp"

#include <algorithm>
#include <utility>

#include <core/forward/match_route.hpp>
#include <core/store/control_state.hpp>
#include <core/store/shard_state.hpp>

#include "answers.hpp"
#include "attempts.hpp"
#include "stream_origin.hpp"

namespace cuminledge::core::forward {

namespace {

    /// Minimum retention of programs' budgets, also for a route without a configured retention.
    constexpr std::chrono::milliseconds minRetention { 60'000 };
    /// Longest time for which a cached turn is known to be retained. Longer ones are looked at again.
    constexpr std::chrono::milliseconds maxKnownRetention { 3'600'000 };

    bool isRetaining(const forward_call& call)
    {
        return call.route.isStream && call.route.retainsTurns;
    }

    bool hasBudget(const forward_call& call)
    {
        const auto& place = call.request.programContext;
        return call.route.isStream && !place.program.empty() && place.budgetTokens > 0 && !call.account.empty();
    }

    /// The budget is remembered until the turn has ended and for its retention from then on.
    void reserve(context& c, forward_call& call)
    {
        const auto& request = call.request;
        const wire::reserve_tokens command { call.account, request.programContext.program, request.attempt,
            request.maxOutputTokens, request.programContext.budgetTokens,
            std::max(call.route.retention, minRetention) + timeLeft(c, call),
            call.route.retainsTurns ? request.body.size() : 0, !request.programContext.previousTurn.empty() };
        call.reserveRequest = controller_client::send(c.state.controllers, accountGroup(c, call),
            wire::command(command), "reserve_tokens", c.now, controllerTimeout(c, call), c.out);
        c.state.callByControllerRequest[call.reserveRequest] = call.exchange;
    }

    void readChain(context& c, forward_call& call)
    {
        ++c.state.counters.chainsRead;
        ++call.chainReads;
        call.chainReadAt = c.now;
        const wire::read_chain query { call.account, call.missingTurn, {} };
        call.chainRequest = controller_client::send(c.state.controllers, accountGroup(c, call), wire::query(query),
            "read_chain", c.now, controllerTimeout(c, call), c.out);
        c.state.callByControllerRequest[call.chainRequest] = call.exchange;
    }

    /// Has the chain retained until the turn can be stored behind it, unless it is long enough as it is. The turn is sent to
    /// a server once that is confirmed: without its chain it could not be retained at its end.
    void holdChain(context& c, forward_call& call)
    {
        const auto& previous = call.request.programContext.previousTurn;
        if (keptUntil(c.state.turns, call.account, previous) >= call.expiresAt) {
            return;
        }
        ++c.state.counters.chainsHeld;
        const wire::hold_chain command { call.account, previous, timeLeft(c, call) };
        call.holdRequest = controller_client::send(c.state.controllers, accountGroup(c, call), wire::command(command),
            "hold_chain", c.now, controllerTimeout(c, call), c.out);
        c.state.callByControllerRequest[call.holdRequest] = call.exchange;
        logCall(c, log_level::Info, "chain_held", call, { { "previous", previous } });
    }

    /// Puts the turns that end at `turn` before those that are known, as far as they are cached, and reads the others.
    /// @return false if the chain is too large; the call has then failed.
    bool prependChain(context& c, forward_call& call, const std::string& turn)
    {
        const auto maxBytes = c.state.settings.maxChainBytes;
        const auto room = maxBytes - std::min(maxBytes, call.chainBytes);
        auto older = assembleChain(c.state.turns, call.account, turn, room);
        call.chainBytes += older.bytes;
        if (call.chainBytes > maxBytes) {
            failCall(c, call, { error_code::TooLarge, "the earlier turns are over " + std::to_string(maxBytes) + " bytes" });
            return false;
        }
        call.chain.insert(0, older.text);
        call.missingTurn = std::move(older.missingTurn);
        if (!call.missingTurn.empty()) {
            readChain(c, call);
        }
        return true;
    }

    /// @return false if the call has failed.
    bool loadChain(context& c, forward_call& call)
    {
        const auto& previous = call.request.programContext.previousTurn;
        if (!call.route.retainsTurns || previous.empty()) {
            return true;
        }
        if (!prependChain(c, call, previous)) {
            return false;
        }
        if (call.missingTurn.empty()) {
            ++c.state.counters.chainsCached;
        }
        // How long an uncached turn is retained is told by the answer to its read.
        if (call.missingTurn != previous) {
            holdChain(c, call);
        }
        return true;
    }

    /// Adds the turns to the cache and puts their texts before those that are known.
    void addLinks(context& c, forward_call& call, const wire::turn_chain& chain)
    {
        const auto keptUntil = call.chainReadAt + std::min(chain.keptFor, maxKnownRetention);
        std::string text;
        for (auto link = chain.links.rbegin(); link != chain.links.rend(); ++link) {
            put(c.state.turns, call.account, *link);
            extendKept(c.state.turns, call.account, link->turn, keptUntil);
            text += link->text;
            call.chainBytes += link->text.size() + store::turnOverheadBytes;
        }
        call.chain.insert(0, text);
    }

    void startIfPrepared(context& c, forward_call& call)
    {
        const bool isPrepared
            = call.reserveRequest == 0 && call.chainRequest == 0 && call.holdRequest == 0 && call.originRequest == 0;
        if (isPrepared) {
            startAttempt(c, call);
        }
    }

    void failOnError(context& c, forward_call& call, const error& problem)
    {
        failCall(c, call, { error_code::Unavailable, problem.step + ": " + problem.message, c.state.settings.defaultRetryAfter });
    }

    /// Fails the call because the controllers refused the command, which changed nothing.
    void failOnRefusal(context& c, forward_call& call, const wire::refused& refused)
    {
        if (static_cast<error_code>(refused.code) == error_code::Overloaded) {
            failCall(c, call, { error_code::Overloaded, refused.message, std::max(refused.retryAfter, c.state.settings.defaultRetryAfter) });
            return;
        }
        failOnError(c, call, error { error_code::Unavailable, refused.message, refused.step, {} });
    }

    void onReserved(context& c, forward_call& call, const wire::command_result& outcome)
    {
        call.reserveRequest = 0;
        const auto* reservation = std::get_if<wire::token_reservation>(&outcome);
        if (reservation == nullptr) {
            const auto* refused = std::get_if<wire::refused>(&outcome);
            failOnRefusal(c, call, refused == nullptr ? wire::refused {} : *refused);
            return;
        }
        if (!reservation->isGranted) {
            failCall(c, call,
                { error_code::BudgetExceeded,
                    "the budget of " + std::to_string(reservation->budget) + " tokens does not hold the turn: "
                        + std::to_string(reservation->used) + " used, " + std::to_string(reservation->reserved)
                        + " reserved" });
            return;
        }
        call.hasReservation = true;
        startIfPrepared(c, call);
    }

    void onChainRead(context& c, forward_call& call, const wire::command_result& outcome)
    {
        call.chainRequest = 0;
        const auto* chain = std::get_if<wire::turn_chain>(&outcome);
        if (chain == nullptr) {
            const auto* refused = std::get_if<wire::refused>(&outcome);
            failOnRefusal(c, call, refused == nullptr ? wire::refused {} : *refused);
            return;
        }
        if (chain->links.empty()) {
            failCall(c, call,
                { error_code::NotFound, "no turn " + call.request.programContext.previousTurn + " is retained" });
            return;
        }
        const bool isNewestPart = call.missingTurn == call.request.programContext.previousTurn;
        addLinks(c, call, *chain);
        if (!prependChain(c, call, chain->links.back().previous)) {
            return;
        }
        if (isNewestPart) {
            holdChain(c, call);
        }
        startIfPrepared(c, call);
    }

    void onChainHeld(context& c, forward_call& call, const wire::command_result& outcome)
    {
        call.holdRequest = 0;
        const auto& previous = call.request.programContext.previousTurn;
        const auto* refused = std::get_if<wire::refused>(&outcome);
        if (refused == nullptr) {
            extendKept(c.state.turns, call.account, previous, call.expiresAt);
            startIfPrepared(c, call);
        } else if (static_cast<error_code>(refused->code) == error_code::NotFound) {
            failCall(c, call, { error_code::NotFound, "no turn " + previous + " is retained" });
        } else {
            failOnRefusal(c, call, *refused);
        }
    }

    void onOriginRead(context& c, forward_call& call, const wire::command_result& outcome)
    {
        if (const auto problem = applyOrigin(c, call, outcome)) {
            failCall(c, call, *problem);
            return;
        }
        startIfPrepared(c, call);
    }

    /// A stream whose record is missing can't be resumed by the caller, but it is served.
    void onOriginRecorded(context& c, forward_call& call, const result<wire::command_result>& outcome)
    {
        call.originRecord.request = 0;
        const bool isAwaited = std::exchange(call.originRecord.isAwaited, false);
        const auto* refused = outcome ? std::get_if<wire::refused>(&*outcome) : nullptr;
        const bool isRecorded = outcome && refused == nullptr;
        if (!isRecorded) {
            logCall(c, log_level::Warning, "stream_not_recorded", call,
                { { "version", call.originRecord.softwareVersion },
                    { "reason", refused == nullptr ? outcome.error().message : refused->message } });
        }
        if (!isAwaited) {
            return;
        }
        if (isRecorded) {
            startAttempt(c, call);
        } else {
            failCall(c, call, { error_code::Unavailable, "the software version of the stream can't be recorded", c.state.settings.defaultRetryAfter });
        }
    }

    void onRetained(context& c, forward_call& call, const wire::command_result& outcome)
    {
        call.retainRequest = 0;
        if (const auto* refused = std::get_if<wire::refused>(&outcome)) {
            failOnRefusal(c, call, *refused);
            return;
        }
        const auto& request = call.request;
        put(c.state.turns, call.account,
            { request.attempt, request.programContext.previousTurn, request.body + call.answer.output });
        extendKept(c.state.turns, call.account, request.attempt, call.retainSentAt + std::min(call.route.retention, maxKnownRetention));
        completeCall(c, call);
    }

} // namespace

bool isRetained(const forward_call& call)
{
    return isRetaining(call) && isSuccess(call.answer.status);
}

std::optional<refusal> refuseUnrecordable(const forward_call& call)
{
    const auto over = [](std::size_t limit) { return " is over " + std::to_string(limit) + " bytes"; };
    const auto& request = call.request;
    const bool isRecorded = isRetaining(call) || hasBudget(call);
    if (isRecorded && request.attempt.size() > store::maxIdBytes) {
        return refusal { error_code::InvalidArgument, "the id of a turn" + over(store::maxIdBytes) };
    }
    if (hasBudget(call) && request.programContext.program.size() > store::maxIdBytes) {
        return refusal { error_code::InvalidArgument, "the id of a program" + over(store::maxIdBytes) };
    }
    if (isRetaining(call) && request.body.size() > store::maxTurnInputBytes) {
        return refusal { error_code::TooLarge, "the input of a retained turn" + over(store::maxTurnInputBytes) };
    }
    return std::nullopt;
}

std::int64_t tokensForwarded(const context& c, const forward_call& call)
{
    const auto* service = findService(c.state.configuration.table, call.service);
    return call.answer.eventCount * (service == nullptr ? 0 : service->tokensPerEvent);
}

void prepare(context& c, forward_call& call)
{
    call.step = call_step::Prepare;
    if (resumesStream(call)) {
        if (const auto problem = requestOrigin(c, call)) {
            failCall(c, call, *problem);
            return;
        }
    }
    if (!loadChain(c, call)) {
        return;
    }
    if (hasBudget(call)) {
        reserve(c, call);
    }
    startIfPrepared(c, call);
}

void onControllerAnswer(context& c, const controller_client::answer& answer)
{
    const auto waiting = c.state.callByControllerRequest.find(answer.request);
    if (waiting == c.state.callByControllerRequest.end()) {
        return;
    }
    auto& call = c.state.calls.at(waiting->second);
    c.state.callByControllerRequest.erase(waiting);
    if (answer.request == call.originRecord.request) {
        onOriginRecorded(c, call, answer.outcome);
    } else if (!answer.outcome) {
        // The outcome of the reservation is unknown; settling it as unused releases it in case it was granted.
        call.hasReservation = call.hasReservation || answer.request == call.reserveRequest;
        failOnError(c, call, answer.outcome.error());
    } else if (answer.request == call.reserveRequest) {
        onReserved(c, call, *answer.outcome);
    } else if (answer.request == call.chainRequest) {
        onChainRead(c, call, *answer.outcome);
    } else if (answer.request == call.holdRequest) {
        onChainHeld(c, call, *answer.outcome);
    } else if (answer.request == call.originRequest) {
        onOriginRead(c, call, *answer.outcome);
    } else if (answer.request == call.retainRequest) {
        onRetained(c, call, *answer.outcome);
    }
}

void finishTurn(context& c, forward_call& call)
{
    if (!isRetained(call)) {
        completeCall(c, call);
        return;
    }
    call.step = call_step::Retain;
    call.retainSentAt = c.now;
    const auto& request = call.request;
    wire::retain_turn command;
    command.account = call.account;
    command.turn = request.attempt;
    command.previous = request.programContext.previousTurn;
    command.text = request.body + call.answer.output;
    command.retention = call.route.retention;
    command.program = request.programContext.program;
    command.used = tokensForwarded(c, call);
    call.hasReservation = false;
    call.retainRequest = controller_client::send(c.state.controllers, accountGroup(c, call), wire::command(command),
        "retain_turn", c.now, controllerTimeout(c, call), c.out);
    c.state.callByControllerRequest[call.retainRequest] = call.exchange;
}

} // namespace cuminledge::core::forward
