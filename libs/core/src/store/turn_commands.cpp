#include <store/turn_commands.hpp>

#include <algorithm>
#include <optional>
#include <vector>

#include <core/store/control_state.hpp>
#include <store/expiry.hpp>
#include <store/refusal.hpp>

namespace cuminledge::core::store {

namespace {

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= maxIdBytes;
    }

    std::int64_t reservedTokens(const program_budget& budget)
    {
        std::int64_t sum = 0;
        for (const auto& [attempt, tokens] : budget.reserved) {
            sum += tokens;
        }
        return sum;
    }

    wire::token_reservation reservationStatus(const program_budget& budget, bool isGranted)
    {
        return { isGranted, budget.budget, budget.used, reservedTokens(budget) };
    }

    bool isSettled(const program_budget& budget, const std::string& attempt)
    {
        return budget.settledAt.contains(attempt)
            || std::find(budget.settled.begin(), budget.settled.end(), attempt) != budget.settled.end();
    }

    void forgetSettled(program_budget& budget, std::chrono::milliseconds clock)
    {
        std::erase_if(budget.settledAt, [&](const auto& entry) { return entry.second + settledRetention <= clock; });
    }

    void settleAttempt(shard_state& state, program_budget& budget, const std::string& attempt, std::int64_t used)
    {
        if (isSettled(budget, attempt)) {
            return;
        }
        // Only a reserved attempt runs, so what is settled without a reservation has been settled before.
        const bool wasReserved = budget.reserved.erase(attempt) != 0;
        budget.used += wasReserved ? std::clamp<std::int64_t>(used, 0, maxTokens) : 0;
        budget.expires = expiryOf(state, budget.retention);
        budget.settledAt[attempt] = state.clock;
        budget.settled.push_back(attempt);
        if (budget.settled.size() > maxSettledAttempts) {
            budget.settled.erase(budget.settled.begin());
        }
    }

    void settleIfKnown(shard_state& state, const call_key& key, const std::string& attempt, std::int64_t used)
    {
        const auto found = state.budgets.find(key);
        if (found != state.budgets.end()) {
            settleAttempt(state, found->second, attempt, used);
        }
    }

    /// Finds the turns of a chain that expire too early. A turn never expires before one that continues it, so the
    /// search ends at the first turn that is kept for long enough, and the turn before that one.
    ///
    /// @return the turns that expire before `expires`, newest first; nothing if a turn on the way is missing.
    std::optional<std::vector<retained_turn*>> findTurnsToExtend(
        shard_state& state, const std::string& account, const std::string& newest, std::chrono::milliseconds expires)
    {
        std::vector<retained_turn*> expiring;
        auto turn = newest;
        bool isLast = false;
        while (!turn.empty()) {
            const auto found = state.turns.find({ account, turn });
            if (found == state.turns.end() || expiring.size() > state.turns.size()) {
                return std::nullopt;
            }
            if (isLast) {
                return expiring;
            }
            isLast = found->second.expires >= expires;
            if (!isLast) {
                expiring.push_back(&found->second);
            }
            turn = found->second.previous;
        }
        return expiring;
    }

    void setExpiry(const std::vector<retained_turn*>& turns, std::chrono::milliseconds expires)
    {
        for (auto* turn : turns) {
            turn->expires = expires;
        }
    }

    /// @return whether the chain that ends at `newest` holds `turn`.
    bool chainHolds(const shard_state& state, const std::string& account, const std::string& newest, const std::string& turn)
    {
        auto next = newest;
        for (std::size_t followed = 0; !next.empty() && followed <= state.turns.size(); ++followed) {
            if (next == turn) {
                return true;
            }
            const auto found = state.turns.find({ account, next });
            next = found == state.turns.end() ? std::string() : found->second.previous;
        }
        return false;
    }

    /// @return whether the command would place a turn behind itself. Only one that is retained already can be continued.
    bool wouldFormLoop(const shard_state& state, const wire::retain_turn& command)
    {
        const auto found = state.turns.find({ command.account, command.turn });
        const bool isMoved = found != state.turns.end() && found->second.previous != command.previous;
        return isMoved && chainHolds(state, command.account, command.previous, command.turn);
    }

    std::size_t sizeOf(const wire::chain_link& link)
    {
        return link.turn.size() + link.previous.size() + link.text.size() + turnOverheadBytes;
    }

    void dropExpiredTurns(shard_state& state)
    {
        std::erase_if(state.turns, [&state](const auto& entry) {
            const bool isExpired = entry.second.expires <= state.clock;
            state.turnBytes -= isExpired ? entry.second.text.size() : 0;
            return isExpired;
        });
    }

    /// @return how long the turn is retained at least, without the allowance that expiryOf() adds for the clock's lag.
    std::chrono::milliseconds keptFor(const shard_state& state, const retained_turn& turn)
    {
        const auto left = turn.expires - state.clock - 2 * clockInterval;
        return std::max(left, std::chrono::milliseconds(0));
    }

} // namespace

wire::command_result applyCommand(shard_state& state, const wire::reserve_tokens& command)
{
    const std::string step = "reserve_tokens";
    if (!isName(command.account) || !isName(command.program) || !isName(command.attempt) || command.tokens < 0
        || command.tokens > maxTokens || command.budget < 0 || command.budget > maxTokens) {
        return refuse(error_code::InvalidArgument, "a field is empty, too long or out of range", step);
    }
    const call_key key(command.account, command.program);
    if (state.budgets.size() >= maxRetained && !state.budgets.contains(key)) {
        return refuse(error_code::Overloaded, "too many programs are under way", step);
    }
    const auto [entry, isNew] = state.budgets.try_emplace(key);
    auto& budget = entry->second;
    if (isNew) {
        budget.account = command.account;
        budget.program = command.program;
        budget.budget = command.budget;
    }
    budget.retention = std::max(budget.retention, command.retention);
    budget.expires = expiryOf(state, budget.retention);
    if (isSettled(budget, command.attempt) || budget.reserved.contains(command.attempt)) {
        return reservationStatus(budget, true);
    }
    if (budget.used + reservedTokens(budget) + command.tokens > budget.budget) {
        return reservationStatus(budget, false);
    }
    budget.reserved[command.attempt] = command.tokens;
    return reservationStatus(budget, true);
}

wire::command_result applyCommand(shard_state& state, const wire::settle_tokens& command)
{
    settleIfKnown(state, { command.account, command.program }, command.attempt, command.used);
    return wire::acknowledged {};
}

wire::command_result applyCommand(shard_state& state, const wire::retain_turn& command)
{
    const std::string step = "retain_turn";
    if (command.account.size() > maxIdBytes || !isName(command.turn) || command.previous.size() > maxIdBytes) {
        return refuse(error_code::InvalidArgument, "a field is empty or too long", step);
    }
    if (command.text.size() > maxRetainedTurnBytes) {
        return refuse(error_code::TooLarge, "the turn is too large to be retained", step);
    }
    const call_key key(command.account, command.turn);
    if (state.turns.size() >= maxRetained && !state.turns.contains(key)) {
        return refuse(error_code::Overloaded, "too many turns are retained", step);
    }
    const auto existing = state.turns.find(key);
    const auto shortest = existing == state.turns.end() ? std::chrono::milliseconds(0) : existing->second.expires;
    const auto expires = std::max(expiryOf(state, command.retention), shortest);
    const auto expiring = findTurnsToExtend(state, command.account, command.previous, expires);
    if (!expiring) {
        return refuse(error_code::NotFound, "a turn that it continues is no longer retained", step);
    }
    if (wouldFormLoop(state, command)) {
        return refuse(error_code::InvalidArgument, "the turn would continue itself", step);
    }
    auto& turn = state.turns[key];
    state.turnBytes += command.text.size() - turn.text.size();
    turn = { command.account, command.turn, command.previous, command.text, expires };
    setExpiry(*expiring, expires);
    settleIfKnown(state, { command.account, command.program }, command.turn, command.used);
    return wire::acknowledged {};
}

wire::command_result applyCommand(shard_state& state, const wire::hold_chain& command)
{
    const std::string step = "hold_chain";
    if (command.account.size() > maxIdBytes || !isName(command.turn)) {
        return refuse(error_code::InvalidArgument, "a field is empty or too long", step);
    }
    const auto duration = std::clamp(command.duration, std::chrono::milliseconds(0), maxChainHold);
    const auto expires = expiryOf(state, duration);
    const auto expiring = findTurnsToExtend(state, command.account, command.turn, expires);
    if (!expiring) {
        return refuse(error_code::NotFound, "no turn " + command.turn + " is retained", step);
    }
    setExpiry(*expiring, expires);
    return wire::acknowledged {};
}

wire::command_result applyCommand(shard_state& state, const wire::advance_time& command)
{
    state.clock += std::max(command.elapsed, std::chrono::milliseconds(0));
    std::erase_if(state.budgets, [&](const auto& entry) { return entry.second.expires <= state.clock; });
    for (auto& [key, budget] : state.budgets) {
        forgetSettled(budget, state.clock);
    }
    dropExpiredTurns(state);
    std::erase_if(state.streams, [&](const auto& entry) { return entry.second.expires <= state.clock; });
    return wire::acknowledged {};
}

wire::command_result answerQuery(const shard_state& state, const wire::read_chain& query)
{
    wire::turn_chain chain;
    std::size_t bytes = 0;
    auto turn = query.turn;
    while (!turn.empty()) {
        if (std::find(query.held.begin(), query.held.end(), turn) != query.held.end()) {
            return chain;
        }
        const auto found = state.turns.find({ query.account, turn });
        if (found == state.turns.end()) {
            return wire::turn_chain {};
        }
        wire::chain_link link { turn, found->second.previous, found->second.text };
        bytes += sizeOf(link);
        if (!chain.links.empty() && bytes > maxChainPartBytes) {
            return chain;
        }
        if (chain.links.empty()) {
            chain.keptFor = keptFor(state, found->second);
        }
        turn = link.previous;
        chain.links.push_back(std::move(link));
    }
    return chain;
}

} // namespace cuminledge::core::store
