#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <base/error.hpp>
#include <wire/commands.hpp>

namespace cuminledge::core::store {

/// Open programs of one group at most; opening more is refused.
constexpr std::size_t maxOpenPrograms = 200'000;
/// Ended programs whose history is kept; past it the one that ended first is forgotten.
constexpr std::size_t maxEndedPrograms = 10'000;
/// A turn is refused once the program's history is as large.
constexpr std::size_t maxHistoryBytes = 4U << 20U;
/// One turn's messages and answer. Together with maxHistoryBytes a whole history fits one frame.
constexpr std::size_t maxTurnBytes = 2U << 20U;
/// Attempts of the turn under way that are known to be abandoned, so that a late resend of one can't begin again.
constexpr std::size_t maxAbandonedAttempts = 16;
/// Counted for each turn on top of its texts, so that empty turns are bounded too.
constexpr std::size_t turnOverheadBytes = 64;
constexpr std::int64_t maxTokens = 1'000'000'000'000;

/// Calls of one group that are not settled; recording more is refused. They are never forgotten.
constexpr std::size_t maxUnsettledCalls = 100'000;
/// Settled calls remembered; past it the one settled first is forgotten, and its call id would be a new one.
constexpr std::size_t maxSettledCalls = 500'000;
/// Bytes of answers kept for settled calls; past it the oldest answers go, their records stay.
constexpr std::size_t maxAnswerBytes = 64U << 20U;
/// A larger answer is not kept: the call is Done, with `answerDropped`.
constexpr std::size_t maxCallAnswerBytes = 1U << 20U;
/// How often a leader counts the time that has passed for budgets and retained turns.
constexpr std::chrono::milliseconds clockInterval { 5'000 };
/// A chain of retained turns is followed so far at most.
constexpr std::size_t maxChainTurns = 1'000;
/// Settled attempts remembered for each budget.
constexpr std::size_t maxSettledAttempts = 16;
/// Budgets and retained turns of one group, each; past it new ones are refused.
constexpr std::size_t maxRetained = 500'000;

/// Times that a call proved as not run may be recorded again.
constexpr std::size_t maxCallAttempts = 16;
/// Client accounts with a rate reservation in one group.
constexpr std::size_t maxRateAccounts = 50'000;

struct committed_turn {
    std::string attempt;
    std::string requestDigest;
    std::string delta;
    std::string answer;
    std::string finishReason;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    MSGPACK_DEFINE(attempt, requestDigest, delta, answer, finishReason, promptTokens, completionTokens)
};

/// The turn under way and the worst case it may cost.
struct turn_reservation {
    std::uint32_t turn = 0; ///< 0: none under way
    std::string attempt;
    std::string requestDigest;
    std::int64_t tokens = 0;
    MSGPACK_DEFINE(turn, attempt, requestDigest, tokens)
};

struct program {
    std::string id;
    std::string account;
    std::string route;
    std::int64_t budgetTokens = 0;
    std::int64_t usedTokens = 0;
    std::uint32_t maxTurns = 0;
    std::chrono::milliseconds idleTimeout { 0 };
    std::string home; ///< backend server of the last committed turn
    std::int64_t historyTokens = 0; ///< prompt and completion of the last committed turn
    std::uint64_t endedOrder = 0; ///< 0: open; else its place among the ended ones
    std::string endReason;
    turn_reservation underWay;
    std::vector<committed_turn> turns;
    std::vector<std::string> abandoned; ///< attempts at the next turn; newest last
    std::size_t historyBytes = 0;
    MSGPACK_DEFINE(id, account, route, budgetTokens, usedTokens, maxTurns, idleTimeout, home, historyTokens, endedOrder,
        endReason, underWay, turns, abandoned, historyBytes)
};

/// The idempotency record of a call that may not be repeated.
struct call_record {
    wire::call_status status;
    std::string program;
    std::vector<std::string> pastAttempts; ///< each proved not to have run
    std::uint64_t settledOrder = 0; ///< 0: not settled; else its place among the settled ones
    MSGPACK_DEFINE(status, program, pastAttempts, settledOrder)
};

/// Names a call within a group. Account ids hold no line break.
using call_key = std::pair<std::string, std::string>;

/// What a program of forwarded requests may still generate.
struct program_budget {
    std::string account;
    std::string program;
    std::int64_t budget = 0;
    std::int64_t used = 0;
    std::map<std::string, std::int64_t> reserved; ///< tokens by attempt
    std::vector<std::string> settled; ///< latest attempts, so that a late resend of one reserves nothing
    std::chrono::milliseconds retention { 0 };
    std::chrono::milliseconds expires { 0 }; ///< on the group's clock
    MSGPACK_DEFINE(account, program, budget, used, reserved, settled, retention, expires)
};

/// A turn of a forwarded request that later turns may continue.
struct retained_turn {
    std::string account;
    std::string turn;
    std::string previous;
    std::string text;
    std::chrono::milliseconds expires { 0 }; ///< on the group's clock; never before that of a turn that continues it
    MSGPACK_DEFINE(account, turn, previous, text, expires)
};

/// The replicated state of one of the groups 1..N. Changed by applyCommand() alone; equal on every replica at the same index.
struct shard_state {
    std::map<std::string, program> programs; ///< by id
    std::map<std::uint64_t, std::string> endedPrograms; ///< by endedOrder; derived, not coded
    std::uint64_t lastEndedOrder = 0;
    std::map<call_key, call_record> calls;
    std::map<std::uint64_t, call_key> settledCalls; ///< by settledOrder; derived, not coded
    std::map<std::uint64_t, call_key> keptAnswers; ///< by settledOrder; derived, not coded
    std::size_t answerBytes = 0; ///< of keptAnswers; derived, not coded
    std::uint64_t lastSettledOrder = 0;
    std::map<std::string, wire::reserve_rate> rates; ///< the last reservation of each client account
    std::map<call_key, program_budget> budgets; ///< by account and program
    std::map<call_key, retained_turn> turns; ///< by account and turn
    std::chrono::milliseconds clock { 0 }; ///< time that the group's leaders have counted
    std::uint64_t budgetOverruns = 0; ///< turns that reported more tokens than they had reserved
    std::uint64_t contradictions = 0; ///< settlements refused because the opposite had been settled
};

/**
 * Applies one command, in log order. Applying it again gives the same truth and changes nothing more.
 *
 * Another client account's program or call looks as if it did not exist.
 *
 * @return program_status for open_program, commit_turn, abandon_turn and end_program; turn_begun for begin_turn;
 *         call_status for record_call, dispatch_call and settle_call; acknowledged for reserve_rate; `refused` where it changed nothing because it may not.
 */
wire::command_result applyCommand(shard_state& state, const wire::command& command);

/// Answers a read. @return program_status, history, call_status or program_list, or `refused`.
wire::command_result query(const shard_state& state, const wire::query& query);

/// @return the state coded; equal states give equal bytes.
std::string encodeSnapshot(const shard_state& state);

/// Reads what encodeSnapshot() wrote; anything else is an error.
result<shard_state> decodeShardSnapshot(std::string_view bytes);

/// @return whether the program's reservation, if any, keeps it within its budget.
bool isWithinBudget(const program& p);

} // namespace cuminledge::core::store
