#include <store/program_commands.hpp>

#include <algorithm>

#include <fmt/format.h>

#include <core/store/control_state.hpp>
#include <store/refusal.hpp>

namespace cuminledge::core::store {

namespace {

    bool isId(const std::string& id)
    {
        return !id.empty() && id.size() <= maxIdBytes;
    }

    bool isTokenCount(std::int64_t tokens)
    {
        return tokens >= 0 && tokens <= maxTokens;
    }

    /// @return the program, or null if it does not exist or belongs to another client account. An empty account matches
    /// all programs.
    template <typename State>
    auto* findProgram(State& state, const std::string& id, const std::string& account)
    {
        const auto found = state.programs.find(id);
        const bool isVisible
            = found != state.programs.end() && (account.empty() || found->second.account == account);
        return isVisible ? &found->second : nullptr;
    }

    wire::command_result refuseUnknown(const std::string& step)
    {
        return refuse(error_code::NotFound, "no such program", step);
    }

    wire::program_status statusOf(const program& p)
    {
        wire::program_status status;
        status.program = p.id;
        status.account = p.account;
        status.route = p.route;
        status.state = p.endedOrder == 0 ? "open" : "ended";
        status.endReason = p.endReason;
        status.committedTurns = static_cast<std::uint32_t>(p.turns.size());
        status.turnUnderWay = p.underWay.turn;
        status.budgetTokens = p.budgetTokens;
        status.usedTokens = p.usedTokens;
        status.reservedTokens = p.underWay.tokens;
        status.historyTokens = p.historyTokens;
        status.home = p.home;
        status.maxTurns = p.maxTurns;
        status.idleTimeout = p.idleTimeout;
        return status;
    }

    void evictOldestEndedProgram(shard_state& state)
    {
        // A program whose turn is under way is kept until the turn is settled, so that the commit still finds it.
        for (auto entry = state.endedPrograms.begin(); entry != state.endedPrograms.end(); ++entry) {
            if (state.programs.at(entry->second).underWay.turn == 0) {
                state.programs.erase(entry->second);
                state.endedPrograms.erase(entry);
                return;
            }
        }
    }

    void endProgram(shard_state& state, program& p, const std::string& reason)
    {
        if (p.endedOrder != 0) {
            return;
        }
        p.endedOrder = ++state.lastEndedOrder;
        p.endReason = reason;
        state.endedPrograms[p.endedOrder] = p.id;
        if (state.endedPrograms.size() > maxEndedPrograms) {
            evictOldestEndedProgram(state);
        }
    }

    //--------------------------------------------------------------------------------------------------------------
    // Beginning a turn
    //--------------------------------------------------------------------------------------------------------------

    wire::turn_begun grantTurn(const program& p)
    {
        wire::turn_begun begun;
        begun.historyTurns = static_cast<std::uint32_t>(p.turns.size());
        begun.historyTokens = p.historyTokens;
        begun.attainedTokens = p.usedTokens;
        begun.home = p.home;
        return begun;
    }

    wire::command_result answerCommitted(const program& p, const wire::begin_turn& command)
    {
        const auto& turn = p.turns[command.turn - 1];
        if (turn.requestDigest != command.requestDigest) {
            return refuse(error_code::Conflict, "the turn was committed for another request", "begin_turn");
        }
        auto begun = grantTurn(p);
        begun.committed = true;
        begun.answer = turn.answer;
        begun.finishReason = turn.finishReason;
        begun.promptTokens = turn.promptTokens;
        begun.completionTokens = turn.completionTokens;
        return begun;
    }

    std::int64_t worstCaseTokens(const program& p, const wire::begin_turn& command)
    {
        return p.historyTokens + command.deltaTokens + command.maxCompletionTokens;
    }

    wire::command_result answerTurnUnderWay(const program& p, const wire::begin_turn& command)
    {
        const auto& held = p.underWay;
        const bool isResend = held.turn == command.turn && held.attempt == command.attempt
            && held.requestDigest == command.requestDigest && held.tokens == worstCaseTokens(p, command);
        if (isResend) {
            return grantTurn(p);
        }
        auto message = fmt::format("turn {} is under way in attempt {}", held.turn, held.attempt);
        return refuse(error_code::Conflict, std::move(message), "begin_turn", held.attempt);
    }

    bool wasAbandoned(const program& p, const std::string& attempt)
    {
        return std::find(p.abandoned.begin(), p.abandoned.end(), attempt) != p.abandoned.end();
    }

    /// If the program was ended by its budget or turn cap, the code is the one that the turn that ended it got, so that
    /// a resend of that turn gets the same code.
    wire::command_result refuseEnded(const program& p)
    {
        const bool isSpent = p.endReason == "budget" || p.endReason == "turn_cap";
        const auto code = isSpent ? error_code::BudgetExceeded : error_code::Conflict;
        return refuse(code, "the program has ended: " + p.endReason, "begin_turn", p.endReason);
    }

    /// Checks the conditions for beginning a turn that do not depend on its cost. @return the refusal, if any.
    std::optional<wire::command_result> checkTurnStart(shard_state& state, program& p, const wire::begin_turn& command)
    {
        const std::string step = "begin_turn";
        const auto next = p.turns.size() + 1;
        if (command.turn != next) {
            auto message = fmt::format("the next turn is {}, not {}", next, command.turn);
            return refuse(error_code::OutOfOrder, std::move(message), step, std::to_string(next));
        }
        if (wasAbandoned(p, command.attempt)) {
            return refuse(error_code::Conflict, "this attempt at the turn was abandoned", step, command.attempt);
        }
        if (command.turn > p.maxTurns) {
            auto message = fmt::format("the program may have {} turns", p.maxTurns);
            endProgram(state, p, "turn_cap");
            return refuse(error_code::BudgetExceeded, std::move(message), step, "turn_cap");
        }
        if (p.historyBytes >= maxHistoryBytes) {
            return refuse(error_code::TooLarge, fmt::format("the history is over {} bytes", maxHistoryBytes), step);
        }
        return std::nullopt;
    }

    wire::command_result refuseOverBudget(shard_state& state, program& p, std::int64_t worstCase)
    {
        const auto left = p.budgetTokens - p.usedTokens;
        auto message = fmt::format("the turn may cost {} tokens, {} are left of the budget", worstCase, left);
        // Even the cheapest possible turn resends the history and generates one token.
        if (left <= p.historyTokens) {
            endProgram(state, p, "budget");
        }
        return refuse(error_code::BudgetExceeded, std::move(message), "begin_turn", "budget");
    }

    //--------------------------------------------------------------------------------------------------------------
    // Committing a turn
    //--------------------------------------------------------------------------------------------------------------

    /// Charges the tokens that the attempt used, at most its reservation, and releases the reservation.
    void settleReservation(shard_state& state, program& p, std::int64_t usedTokens)
    {
        if (usedTokens > p.underWay.tokens) {
            ++state.budgetOverruns;
        }
        p.usedTokens += std::clamp<std::int64_t>(usedTokens, 0, p.underWay.tokens);
        p.underWay = {};
    }

    /// Answers a commit or an abandonment that arrives after the turn was committed.
    wire::command_result answerAfterCommit(
        const program& p, std::uint32_t turn, const std::string& attempt, const std::string& step)
    {
        const auto& committed = p.turns[turn - 1];
        if (committed.attempt == attempt) {
            return statusOf(p);
        }
        return refuse(error_code::Conflict, "another attempt committed the turn", step, committed.attempt);
    }

    /// Also records an attempt that is not under way: its begin_turn may still arrive later and must be refused then.
    void recordAbandonedAttempt(program& p, const std::string& attempt)
    {
        if (wasAbandoned(p, attempt)) {
            return;
        }
        p.abandoned.push_back(attempt);
        if (p.abandoned.size() > maxAbandonedAttempts) {
            p.abandoned.erase(p.abandoned.begin());
        }
    }

    void appendTurn(program& p, const wire::commit_turn& command)
    {
        committed_turn turn;
        turn.attempt = command.attempt;
        turn.requestDigest = p.underWay.requestDigest;
        p.historyBytes += turnOverheadBytes + turn.attempt.size() + turn.requestDigest.size();
        turn.delta = command.delta;
        turn.answer = command.answer;
        turn.finishReason = command.finishReason;
        turn.promptTokens = command.promptTokens;
        turn.completionTokens = command.completionTokens;
        p.turns.push_back(std::move(turn));
        p.historyBytes += command.delta.size() + command.answer.size() + command.finishReason.size();
        p.historyTokens = command.promptTokens + command.completionTokens;
        p.home = command.backend;
        p.abandoned.clear();
    }

} // namespace

bool isWithinBudget(const program& p)
{
    return p.usedTokens + p.underWay.tokens <= p.budgetTokens;
}

wire::command_result applyCommand(shard_state& state, const wire::open_program& command)
{
    const std::string step = "open_program";
    const auto found = state.programs.find(command.program);
    if (found != state.programs.end()) {
        const auto& held = found->second;
        const bool isResend = held.account == command.account && held.route == command.route
            && held.budgetTokens == command.budgetTokens && held.maxTurns == command.maxTurns
            && held.idleTimeout == command.idleTimeout;
        return isResend ? wire::command_result(statusOf(held))
                        : refuse(error_code::Conflict, "the program id is taken", step);
    }
    if (!isId(command.program) || !isId(command.account) || command.route.size() > maxIdBytes
        || !isTokenCount(command.budgetTokens) || command.idleTimeout.count() < 0) {
        return refuse(error_code::InvalidArgument, "a field is empty, too long or out of range", step);
    }
    if (state.programs.size() - state.endedPrograms.size() >= maxOpenPrograms) {
        return refuse(error_code::Overloaded, fmt::format("{} programs are open in this group", maxOpenPrograms), step);
    }
    auto& p = state.programs[command.program];
    p.id = command.program;
    p.account = command.account;
    p.route = command.route;
    p.budgetTokens = command.budgetTokens;
    p.maxTurns = command.maxTurns;
    p.idleTimeout = command.idleTimeout;
    return statusOf(p);
}

wire::command_result applyCommand(shard_state& state, const wire::begin_turn& command)
{
    const std::string step = "begin_turn";
    auto* p = findProgram(state, command.program, command.account);
    if (p == nullptr) {
        return refuseUnknown(step);
    }
    if (command.turn == 0 || !isId(command.attempt) || command.requestDigest.size() > maxIdBytes
        || !isTokenCount(command.deltaTokens) || !isTokenCount(command.maxCompletionTokens)) {
        return refuse(error_code::InvalidArgument, "a field is empty, too long or out of range", step);
    }
    if (command.turn <= p->turns.size()) {
        return answerCommitted(*p, command);
    }
    if (p->endedOrder != 0) {
        return refuseEnded(*p);
    }
    if (p->underWay.turn != 0) {
        return answerTurnUnderWay(*p, command);
    }
    if (auto refusal = checkTurnStart(state, *p, command)) {
        return *refusal;
    }
    const auto worstCase = worstCaseTokens(*p, command);
    if (worstCase > p->budgetTokens - p->usedTokens) {
        return refuseOverBudget(state, *p, worstCase);
    }
    p->underWay = { command.turn, command.attempt, command.requestDigest, worstCase };
    return grantTurn(*p);
}

wire::command_result applyCommand(shard_state& state, const wire::commit_turn& command)
{
    const std::string step = "commit_turn";
    auto* p = findProgram(state, command.program, command.account);
    if (p == nullptr) {
        return refuseUnknown(step);
    }
    if (command.turn == 0 || command.backend.size() > maxIdBytes || !isTokenCount(command.promptTokens)
        || !isTokenCount(command.completionTokens)) {
        return refuse(error_code::InvalidArgument, "a field is out of range", step);
    }
    if (command.turn <= p->turns.size()) {
        return answerAfterCommit(*p, command.turn, command.attempt, step);
    }
    if (p->underWay.turn != command.turn || p->underWay.attempt != command.attempt) {
        return refuse(error_code::Conflict, "this attempt at the turn is not under way", step, p->underWay.attempt);
    }
    if (command.delta.size() + command.answer.size() + command.finishReason.size() > maxTurnBytes) {
        return refuse(error_code::TooLarge, fmt::format("the turn is over {} bytes", maxTurnBytes), step);
    }
    appendTurn(*p, command);
    settleReservation(state, *p, command.promptTokens + command.completionTokens);
    return statusOf(*p);
}

wire::command_result applyCommand(shard_state& state, const wire::abandon_turn& command)
{
    const std::string step = "abandon_turn";
    auto* p = findProgram(state, command.program, command.account);
    if (p == nullptr) {
        return refuseUnknown(step);
    }
    if (command.turn == 0 || !isId(command.attempt)) {
        return refuse(error_code::InvalidArgument, "a field is empty, too long or out of range", step);
    }
    if (command.turn <= p->turns.size()) {
        return answerAfterCommit(*p, command.turn, command.attempt, step);
    }
    recordAbandonedAttempt(*p, command.attempt);
    if (p->underWay.turn == command.turn && p->underWay.attempt == command.attempt) {
        settleReservation(state, *p, command.usedTokens);
    }
    return statusOf(*p);
}

wire::command_result applyCommand(shard_state& state, const wire::end_program& command)
{
    auto* p = findProgram(state, command.program, command.account);
    if (p == nullptr) {
        return refuseUnknown("end_program");
    }
    auto status = statusOf(*p);
    if (p->endedOrder == 0) {
        // The result is completed first: ending the program may remove the oldest ended program, which can be this one.
        status.state = "ended";
        status.endReason = command.reason;
        endProgram(state, *p, command.reason.substr(0, maxIdBytes));
    }
    return status;
}

wire::command_result answerQuery(const shard_state& state, const wire::read_program& query)
{
    const auto* p = findProgram(state, query.program, query.account);
    return p == nullptr ? refuseUnknown("read_program") : statusOf(*p);
}

wire::command_result answerQuery(const shard_state& state, const wire::read_history& query)
{
    const auto* p = findProgram(state, query.program, query.account);
    if (p == nullptr) {
        return refuseUnknown("read_history");
    }
    wire::history answer;
    answer.program = p->id;
    for (std::size_t i = std::max(query.fromTurn, 1U) - 1; i < p->turns.size(); ++i) {
        const auto& turn = p->turns[i];
        answer.turns.push_back({ static_cast<std::uint32_t>(i + 1), turn.delta, turn.answer, turn.promptTokens,
            turn.completionTokens });
    }
    return answer;
}

wire::command_result answerQuery(const shard_state& state, const wire::read_ended_programs& query)
{
    wire::program_list ended;
    for (const auto& id : query.programs) {
        const auto found = state.programs.find(id);
        if (found == state.programs.end() || found->second.endedOrder != 0) {
            ended.programs.push_back(id);
        }
    }
    return ended;
}

} // namespace cuminledge::core::store
