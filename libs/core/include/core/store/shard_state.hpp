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
#include <core/snapshot_image.hpp>
#include <wire/commands.hpp>

namespace cuminledge::core::store {

/// Maximum number of open programs in one group; opening more is refused.
constexpr std::size_t maxOpenPrograms = 200'000;
/// Maximum number of ended programs whose history is kept. Beyond it, the program that ended first is removed.
constexpr std::size_t maxEndedPrograms = 10'000;
/// A turn is refused once the program's history has reached this size.
constexpr std::size_t maxHistoryBytes = 4U << 20U;
/// Maximum size of one turn's messages and answer. With maxHistoryBytes, it ensures that a whole history fits one
/// frame.
constexpr std::size_t maxTurnBytes = 2U << 20U;
/// Maximum number of abandoned attempts at the next turn that are kept, so that a late resend of one can't begin the
/// turn again.
constexpr std::size_t maxAbandonedAttempts = 16;
/// Added to the size of each turn's texts, so that the number of empty turns is limited too.
constexpr std::size_t turnOverheadBytes = 64;
constexpr std::int64_t maxTokens = 1'000'000'000'000;

/// Maximum number of unsettled calls in one group; recording more is refused. Unsettled calls are never removed.
constexpr std::size_t maxUnsettledCalls = 100'000;
/// Maximum number of settled calls kept. Beyond it, the call settled first is removed, and its call id counts as new.
constexpr std::size_t maxSettledCalls = 500'000;
/// Maximum total size of the answers kept for settled calls. Beyond it, the oldest answers are dropped; their records
/// stay.
constexpr std::size_t maxAnswerBytes = 64U << 20U;
/// A larger answer is not kept: the call is Done with `answerDropped` set.
constexpr std::size_t maxCallAnswerBytes = 1U << 20U;
/// Interval at which a leader advances the group's clock for the expiry of budgets and retained turns.
constexpr std::chrono::milliseconds clockInterval { 5'000 };
/// Maximum sizes of a retained turn's input, output, and both together, which fit one frame.
constexpr std::size_t maxTurnInputBytes = 4U << 20U;
constexpr std::size_t maxTurnOutputBytes = 2U << 20U;
constexpr std::size_t maxRetainedTurnBytes = maxTurnInputBytes + maxTurnOutputBytes;
/// Maximum size of the part of a chain that one read returns, with the overhead of its turns; a larger single turn is
/// returned by itself. The rest of the chain is read in further parts, each of which fits one frame.
constexpr std::size_t maxChainPartBytes = 4U << 20U;
/// Longest time by which one hold_chain command keeps a chain.
constexpr std::chrono::milliseconds maxChainHold { 3'600'000 };
/// Maximum number of settled attempts that a budget lists without a time.
constexpr std::size_t maxSettledAttempts = 16;
/// Time on the group's clock for which a settled attempt is remembered, longer than copies of its commands are under way.
constexpr std::chrono::milliseconds settledRetention { 15'000 };
/// Maximum number of budgets, of retained turns, and of recorded streams in one group; new ones beyond it are refused.
constexpr std::size_t maxRetained = 500'000;

/// Maximum number of times that a call known not to have run may be recorded again.
constexpr std::size_t maxCallAttempts = 16;
/// Maximum number of client accounts with a rate reservation in one group.
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

/// The turn under way and its reservation: the most tokens that it may cost.
struct turn_reservation {
    std::uint32_t turn = 0; ///< 0: no turn is under way
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
    std::uint64_t endedOrder = 0; ///< 0: open; else the program's position in the order of ending
    std::string endReason;
    turn_reservation underWay;
    std::vector<committed_turn> turns;
    std::vector<std::string> abandoned; ///< abandoned attempts at the next turn, newest last
    std::size_t historyBytes = 0;
    MSGPACK_DEFINE(id, account, route, budgetTokens, usedTokens, maxTurns, idleTimeout, home, historyTokens, endedOrder,
        endReason, underWay, turns, abandoned, historyBytes)
};

/// The idempotency record of a non-repeatable call.
struct call_record {
    wire::call_status status;
    std::string program;
    std::vector<std::string> pastAttempts; ///< each is known not to have run
    std::uint64_t settledOrder = 0; ///< 0: not settled; else the call's position in the order of settling
    MSGPACK_DEFINE(status, program, pastAttempts, settledOrder)
};

/// Identifies a call, budget or retained turn within a group: the client account, and the id within the account.
/// Account ids contain no line break.
using call_key = std::pair<std::string, std::string>;

/// The token budget of a program of forwarded requests.
struct program_budget {
    std::string account;
    std::string program;
    std::int64_t budget = 0;
    std::int64_t used = 0;
    std::map<std::string, std::int64_t> reserved; ///< tokens by attempt
    std::vector<std::string> settled; ///< the latest settled attempts, all that versions before know of
    std::chrono::milliseconds retention { 0 };
    std::chrono::milliseconds expires { 0 }; ///< expiry time on the group's clock
    /// When attempts were settled, on the group's clock, so that a late copy of a command reserves and charges nothing.
    std::map<std::string, std::chrono::milliseconds> settledAt;
    MSGPACK_DEFINE(account, program, budget, used, reserved, settled, retention, expires, settledAt)
};

/// A turn of a forwarded request that later turns may continue.
struct retained_turn {
    std::string account;
    std::string turn;
    std::string previous;
    std::string text;
    std::chrono::milliseconds expires { 0 }; ///< on the group's clock; never earlier than for a turn that continues this one
    std::uint64_t piece = 0; ///< snapshot piece on this replica's disk that holds the turn; 0: none. Not encoded
    MSGPACK_DEFINE(account, turn, previous, text, expires)
};

/// Where a stream that may be resumed began.
struct recorded_stream {
    std::string account;
    std::string attempt;
    wire::stream_origin origin;
    std::uint32_t sequence = 0;
    std::chrono::milliseconds expires { 0 }; ///< on the group's clock
    MSGPACK_DEFINE(account, attempt, origin, sequence, expires)
};

/// The replicated state of one of the groups 1..N. Modified only by applyCommand(), so it is equal on every replica at
/// the same log index.
struct shard_state {
    std::map<std::string, program> programs; ///< by id
    std::map<std::uint64_t, std::string> endedPrograms; ///< by endedOrder; derived, not encoded
    std::uint64_t lastEndedOrder = 0;
    std::map<call_key, call_record> calls;
    std::map<std::uint64_t, call_key> settledCalls; ///< by settledOrder; derived, not encoded
    std::map<std::uint64_t, call_key> keptAnswers; ///< by settledOrder; derived, not encoded
    std::size_t answerBytes = 0; ///< total size of keptAnswers; derived, not encoded
    std::uint64_t lastSettledOrder = 0;
    std::map<std::string, wire::reserve_rate> rates; ///< the latest reservation of each client account
    std::map<call_key, program_budget> budgets; ///< by account and program
    std::map<call_key, retained_turn> turns; ///< by account and turn
    std::size_t turnBytes = 0; ///< total size of the texts of `turns`; derived, not encoded
    std::map<call_key, recorded_stream> streams; ///< by account and attempt
    std::chrono::milliseconds clock { 0 }; ///< total time measured by the group's leaders
    std::uint64_t budgetOverruns = 0; ///< number of turns that used more tokens than reserved
    std::uint64_t contradictions = 0; ///< number of settlements refused because they contradict an earlier one
};

/**
 * Applies one command, in log order. Commands are idempotent: applying one again gives an equivalent result and changes
 * nothing more.
 *
 * A program or call of another client account is treated as if it did not exist.
 *
 * @return program_status for open_program, commit_turn, abandon_turn and end_program; turn_begun for begin_turn;
 *         call_status for record_call, dispatch_call and settle_call; token_reservation for
 *         reserve_tokens; acknowledged for the others; `refused` if the command was not allowed and changed nothing.
 */
wire::command_result applyCommand(shard_state& state, const wire::command& command);

/// Answers a read. @return program_status, history, call_status, program_list, turn_chain or stream_origin, or
/// `refused`.
wire::command_result query(const shard_state& state, const wire::query& query);

/// @return the encoded state; equal states have equal encodings.
std::string encodeSnapshot(const shard_state& state);

/// Decodes the output of encodeSnapshot(). @return the state, or a Corrupt error for any other input.
result<shard_state> decodeShardSnapshot(std::string_view bytes);

/// A piece of an image is ended once it has this size.
constexpr std::size_t maxPieceBytes = 4U << 20U;
/// Maximum size of the turns that one image writes anew because much of their pieces has expired. One piece is always
/// written, even if it is larger.
constexpr std::size_t maxRewrittenBytes = maxPieceBytes;

/// The snapshot pieces on one replica's disk. Not replicated.
struct piece_table {
    std::uint64_t lastId = 0;
    std::map<std::uint64_t, std::size_t> textBytes; ///< of the turns written to each piece, by id
};

/// Encodes the state for the replica's own disk. Turns that are in no piece yet form new ones, and so do those of pieces
/// of which much has expired, but no more than maxRewrittenBytes of these.
snapshot_image encodeImage(shard_state& state, piece_table& table);

/// Where the turns of a state lie on one replica's disk.
struct turn_places {
    struct place {
        std::uint64_t piece = 0;
        std::uint64_t digest = 0; ///< of the turn's texts
    };

    std::map<call_key, place> turns; ///< those that are in a piece
};

/// @return the places of the state's turns.
turn_places placesOf(const shard_state& state);

/// Has the turns that the state shares with an earlier one stay in their pieces, so that its image writes only the others.
void reusePlaces(shard_state& state, const turn_places& places);

/// The turns of pieces that are decoded before the image that names them.
using decoded_pieces = std::map<std::uint64_t, std::vector<retained_turn>>;

/// Decodes a piece that encodeImage() made, and adds it to `decoded`. @return a Corrupt error for any other input.
result<void> decodePiece(const snapshot_piece& piece, decoded_pieces& decoded);

/// Decodes an image whose pieces are decoded already. @param table gets the pieces. @return the state, or a Corrupt error.
result<shard_state> assembleImage(std::string_view bytes, decoded_pieces pieces, piece_table& table);

/// Decodes what encodeImage() wrote, or the output of encodeSnapshot() without pieces.
/// @param table gets the pieces. @return the state, or a Corrupt error.
result<shard_state> decodeImage(
    std::string_view bytes, const std::vector<snapshot_piece>& pieces, piece_table& table);

/// @return how many bytes of the pieces are in use at least, behind a snapshot.
std::size_t leastUsedBytes(std::size_t pieceBytes);

/// @return the size of all pieces on the disk.
std::size_t totalBytes(const piece_table& table);

/// @return whether the program's used and reserved tokens are within its budget.
bool isWithinBudget(const program& p);

} // namespace cuminledge::core::store
