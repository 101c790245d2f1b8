#include <store/turn_commands.hpp>

#include <algorithm>

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

    void settleAttempt(shard_state& state, program_budget& budget, const std::string& attempt, std::int64_t used)
    {
        if (std::find(budget.settled.begin(), budget.settled.end(), attempt) != budget.settled.end()) {
            return;
        }
        budget.reserved.erase(attempt);
        budget.used += std::clamp<std::int64_t>(used, 0, maxTokens);
        budget.expires = expiryOf(state, budget.retention);
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

    /// Extends the expiry of a turn and of all turns before it, since a turn is only usable with its whole chain.
    void extendChainExpiry(shard_state& state, const std::string& account, std::string turn, std::chrono::milliseconds expires)
    {
        for (std::size_t followed = 0; followed < maxChainTurns && !turn.empty(); ++followed) {
            const auto found = state.turns.find({ account, turn });
            if (found == state.turns.end()) {
                return;
            }
            found->second.expires = std::max(found->second.expires, expires);
            turn = found->second.previous;
        }
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
    const bool isSettled
        = std::find(budget.settled.begin(), budget.settled.end(), command.attempt) != budget.settled.end();
    if (isSettled || budget.reserved.contains(command.attempt)) {
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
    if (!isName(command.account) || !isName(command.turn) || command.previous.size() > maxIdBytes) {
        return refuse(error_code::InvalidArgument, "a field is empty or too long", step);
    }
    if (command.text.size() > maxTurnBytes) {
        return refuse(error_code::TooLarge, "the turn is too large to be retained", step);
    }
    const call_key key(command.account, command.turn);
    if (state.turns.size() >= maxRetained && !state.turns.contains(key)) {
        return refuse(error_code::Overloaded, "too many turns are retained", step);
    }
    auto& turn = state.turns[key];
    turn = { command.account, command.turn, command.previous, command.text, expiryOf(state, command.retention) };
    extendChainExpiry(state, command.account, command.previous, turn.expires);
    settleIfKnown(state, { command.account, command.program }, command.turn, command.used);
    return wire::acknowledged {};
}

wire::command_result applyCommand(shard_state& state, const wire::advance_time& command)
{
    state.clock += std::max(command.elapsed, std::chrono::milliseconds(0));
    std::erase_if(state.budgets, [&](const auto& entry) { return entry.second.expires <= state.clock; });
    std::erase_if(state.turns, [&](const auto& entry) { return entry.second.expires <= state.clock; });
    std::erase_if(state.streams, [&](const auto& entry) { return entry.second.expires <= state.clock; });
    return wire::acknowledged {};
}

wire::command_result answerQuery(const shard_state& state, const wire::read_chain& query)
{
    wire::turn_chain chain;
    auto turn = query.turn;
    while (!turn.empty() && chain.links.size() < maxChainTurns) {
        if (std::find(query.held.begin(), query.held.end(), turn) != query.held.end()) {
            return chain;
        }
        const auto found = state.turns.find({ query.account, turn });
        if (found == state.turns.end()) {
            return wire::turn_chain {};
        }
        chain.links.push_back({ turn, found->second.previous, found->second.text });
        turn = found->second.previous;
    }
    return chain;
}

} // namespace cuminledge::core::store
