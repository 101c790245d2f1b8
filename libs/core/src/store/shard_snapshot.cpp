#include <core/store/shard_state.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <core/store/streamed_snapshot.hpp>
#include <store/snapshot_records.hpp>

namespace cuminledge::core::store {

namespace {

    struct shard_header {
        std::uint32_t version = formatVersion;
        std::uint64_t lastEndedOrder = 0;
        std::uint64_t lastSettledOrder = 0;
        std::uint64_t budgetOverruns = 0;
        std::uint64_t contradictions = 0;
        MSGPACK_DEFINE(version, lastEndedOrder, lastSettledOrder, budgetOverruns, contradictions)
    };

    struct clock_entry {
        std::chrono::milliseconds clock { 0 };
        MSGPACK_DEFINE(clock)
    };

    /// A turn whose text is in a piece. A piece isn't changed when the turn's expiry moves, so that stands here.
    struct turn_place {
        std::string account;
        std::string turn;
        std::uint64_t piece = 0;
        std::chrono::milliseconds expires { 0 };
        MSGPACK_DEFINE(account, turn, piece, expires)
    };

    /// Alternatives are only ever appended: stored records hold their numbers. A turn_place is in images alone.
    using shard_record = std::variant<shard_header, program, call_record, wire::reserve_rate, clock_entry,
        program_budget, retained_turn, turn_place, recorded_stream>;

    result<void> restore(shard_state& /*state*/, const turn_place& /*place*/)
    {
        return failure(error_code::Corrupt, "a snapshot without pieces places a turn in one", decodeStep);
    }

    result<void> restore(shard_state& state, recorded_stream stream)
    {
        const call_key key(stream.account, stream.attempt);
        state.streams[key] = std::move(stream);
        return {};
    }

    result<void> restore(shard_state& state, const clock_entry& entry)
    {
        state.clock = entry.clock;
        return {};
    }

    result<void> restore(shard_state& state, program_budget budget)
    {
        const call_key key(budget.account, budget.program);
        state.budgets[key] = std::move(budget);
        return {};
    }

    result<void> restore(shard_state& state, retained_turn turn)
    {
        const call_key key(turn.account, turn.turn);
        auto& restored = state.turns[key];
        state.turnBytes += turn.text.size() - restored.text.size();
        restored = std::move(turn);
        return {};
    }

    result<void> restore(shard_state& state, const shard_header& header)
    {
        state.lastEndedOrder = header.lastEndedOrder;
        state.lastSettledOrder = header.lastSettledOrder;
        state.budgetOverruns = header.budgetOverruns;
        state.contradictions = header.contradictions;
        return checkVersion(header.version);
    }

    result<void> restore(shard_state& state, program p)
    {
        const auto id = p.id;
        if (p.endedOrder != 0) {
            state.endedPrograms[p.endedOrder] = id;
        }
        state.programs[id] = std::move(p);
        return {};
    }

    result<void> restore(shard_state& state, call_record record)
    {
        const call_key key(record.status.account, record.status.call);
        if (record.settledOrder != 0) {
            state.settledCalls[record.settledOrder] = key;
        }
        if (record.settledOrder != 0 && !record.status.answer.empty()) {
            state.keptAnswers[record.settledOrder] = key;
            state.answerBytes += record.status.answer.size();
        }
        state.calls[key] = std::move(record);
        return {};
    }

    result<void> restore(shard_state& state, wire::reserve_rate reservation)
    {
        const auto id = reservation.account;
        state.rates[id] = std::move(reservation);
        return {};
    }

    using place_map = std::map<call_key, turn_place>;

} // namespace

/// Returns an estimate of the encoded size, to reserve it at once. If the string grew by doubling, the largest part of
/// a snapshot, the retained turns, could be in memory up to three times.
static std::size_t estimatedBytes(const shard_state& state)
{
    constexpr std::size_t bytesPerRecord = 256;
    std::size_t bytes = bytesPerRecord * (state.programs.size() + state.calls.size() + state.budgets.size() + state.streams.size() + 1);
    for (const auto& [key, turn] : state.turns) {
        bytes += bytesPerRecord + turn.text.size();
    }
    return bytes;
}

static void appendAllButTurns(std::string& bytes, const shard_state& state)
{
    const shard_header header { formatVersion, state.lastEndedOrder, state.lastSettledOrder, state.budgetOverruns,
        state.contradictions };
    appendRecord(bytes, shard_record(header));
    for (const auto& [id, p] : state.programs) {
        appendRecord(bytes, shard_record(p));
    }
    for (const auto& [key, record] : state.calls) {
        appendRecord(bytes, shard_record(record));
    }
    for (const auto& [account, reservation] : state.rates) {
        appendRecord(bytes, shard_record(reservation));
    }
    appendRecord(bytes, shard_record(clock_entry { state.clock }));
    for (const auto& [key, budget] : state.budgets) {
        appendRecord(bytes, shard_record(budget));
    }
    for (const auto& [key, stream] : state.streams) {
        appendRecord(bytes, shard_record(stream));
    }
}

std::string encodeSnapshot(const shard_state& state)
{
    std::string bytes;
    bytes.reserve(estimatedBytes(state));
    appendAllButTurns(bytes, state);
    for (const auto& [key, turn] : state.turns) {
        appendRecord(bytes, shard_record(turn));
    }
    return bytes;
}

//------------------------------------------------------------------------------------------------------------------
// Snapshots that are encoded part by part
//------------------------------------------------------------------------------------------------------------------

static std::string encodeTurn(const retained_turn& turn)
{
    std::string bytes;
    appendRecord(bytes, shard_record(turn));
    return bytes;
}

/// @return the record of the turn as it was when the snapshot was made, with blanks for what has changed.
static std::string encodeSlot(const streamed_snapshot::turn_slot& slot, const shard_state& state)
{
    const auto found = state.turns.find(slot.key);
    const bool isUnchanged = found != state.turns.end() && found->second.text.size() == slot.textBytes;
    retained_turn turn { slot.key.first, slot.key.second, slot.previous, {}, slot.expires };
    turn.text = isUnchanged ? found->second.text : std::string(slot.textBytes, ' ');
    return encodeTurn(turn);
}

streamed_snapshot makeStreamedSnapshot(const shard_state& state)
{
    streamed_snapshot snapshot;
    appendAllButTurns(snapshot.head, state);
    snapshot.turns.reserve(state.turns.size());
    auto end = snapshot.head.size();
    for (const auto& [key, turn] : state.turns) {
        end += encodeTurn(turn).size();
        snapshot.turns.push_back({ key, turn.previous, turn.text.size(), turn.expires, end });
    }
    snapshot.totalBytes = end;
    return snapshot;
}

std::size_t heldBytes(const streamed_snapshot& snapshot)
{
    return snapshot.head.size() + snapshot.turns.size() * sizeof(streamed_snapshot::turn_slot);
}

std::string readSnapshot(
    const streamed_snapshot& snapshot, const shard_state& state, std::uint64_t offset, std::size_t bytes)
{
    const auto wantedEnd = std::min<std::uint64_t>(offset + bytes, snapshot.totalBytes);
    std::string part;
    if (offset < snapshot.head.size()) {
        part = snapshot.head.substr(offset, bytes);
    }
    auto slot = std::upper_bound(snapshot.turns.begin(), snapshot.turns.end(), offset,
        [](std::uint64_t wanted, const streamed_snapshot::turn_slot& candidate) { return wanted < candidate.end; });
    while (offset + part.size() < wantedEnd) {
        const auto record = encodeSlot(*slot, state);
        const auto begin = slot->end - record.size();
        const auto from = offset + part.size() - begin;
        part += record.substr(from, wantedEnd - begin - from);
        ++slot;
    }
    return part;
}

result<shard_state> decodeShardSnapshot(std::string_view bytes)
{
    return decodeRecords<shard_record, shard_state>(
        bytes, [](shard_state& state, auto&& record) { return restore(state, std::forward<decltype(record)>(record)); });
}

//------------------------------------------------------------------------------------------------------------------
// Images in pieces
//------------------------------------------------------------------------------------------------------------------

namespace {

    /// A piece is sparse once less than this share of it is in use. It is then written anew without its expired turns.
    constexpr double minUsedShare = 0.75;

    std::map<std::uint64_t, std::size_t> usedBytes(const shard_state& state)
    {
        std::map<std::uint64_t, std::size_t> used;
        for (const auto& [key, turn] : state.turns) {
            used[turn.piece] += turn.text.size();
        }
        return used;
    }

    struct sparse_piece {
        std::uint64_t id = 0;
        std::size_t usedBytes = 0;
    };

    /// @return the sparse pieces, those that take the least to be written anew first.
    std::vector<sparse_piece> findSparsePieces(const shard_state& state, const piece_table& table)
    {
        const auto used = usedBytes(state);
        std::vector<sparse_piece> sparse;
        for (const auto& [id, bytes] : table.textBytes) {
            const auto found = used.find(id);
            const auto usedInPiece = found == used.end() ? 0 : found->second;
            if (usedInPiece == 0 || static_cast<double>(usedInPiece) < minUsedShare * static_cast<double>(bytes)) {
                sparse.push_back({ id, usedInPiece });
            }
        }
        std::sort(sparse.begin(), sparse.end(), [](const auto& a, const auto& b) { return a.usedBytes < b.usedBytes; });
        return sparse;
    }

    /// Removes sparse pieces from the table, and their turns from them, as far as those may be written anew at once: the old
    /// pieces and the new ones are on the disk together for a moment.
    void dropSparsePieces(shard_state& state, piece_table& table)
    {
        std::size_t rewrittenBytes = 0;
        for (const auto& piece : findSparsePieces(state, table)) {
            if (rewrittenBytes != 0 && rewrittenBytes + piece.usedBytes > maxRewrittenBytes) {
                break;
            }
            rewrittenBytes += piece.usedBytes;
            table.textBytes.erase(piece.id);
        }
        for (auto& [key, turn] : state.turns) {
            if (turn.piece != 0 && !table.textBytes.contains(turn.piece)) {
                turn.piece = 0;
            }
        }
    }

    std::vector<snapshot_piece> writeNewPieces(shard_state& state, piece_table& table)
    {
        std::vector<snapshot_piece> pieces;
        for (auto& [key, turn] : state.turns) {
            if (turn.piece != 0) {
                continue;
            }
            if (pieces.empty() || pieces.back().data.size() >= maxPieceBytes) {
                pieces.push_back({ ++table.lastId, {} });
            }
            turn.piece = table.lastId;
            table.textBytes[turn.piece] += turn.text.size();
            appendRecord(pieces.back().data, shard_record(turn));
        }
        return pieces;
    }

    /// Adds the turns of a piece that are still placed in it.
    void restorePiece(shard_state& state, std::uint64_t id, std::vector<retained_turn> turns, const place_map& places,
        piece_table& table)
    {
        table.lastId = std::max(table.lastId, id);
        for (auto& turn : turns) {
            table.textBytes[id] += turn.text.size();
            const auto place = places.find({ turn.account, turn.turn });
            if (place == places.end() || place->second.piece != id) {
                continue;
            }
            turn.expires = place->second.expires;
            turn.piece = id;
            static_cast<void>(restore(state, std::move(turn)));
        }
    }

} // namespace

snapshot_image encodeImage(shard_state& state, piece_table& table)
{
    snapshot_image image;
    dropSparsePieces(state, table);
    image.newPieces = writeNewPieces(state, table);
    for (const auto& [id, bytes] : table.textBytes) {
        image.pieces.push_back(id);
    }
    appendAllButTurns(image.state, state);
    for (const auto& [key, turn] : state.turns) {
        appendRecord(image.state, shard_record(turn_place { turn.account, turn.turn, turn.piece, turn.expires }));
    }
    return image;
}

result<void> decodePiece(const snapshot_piece& piece, decoded_pieces& decoded)
{
    auto& turns = decoded[piece.id];
    return readRecords<shard_record>(piece.data, [&turns](shard_record record) -> result<void> {
        auto* turn = std::get_if<retained_turn>(&record);
        if (turn == nullptr) {
            return failure(error_code::Corrupt, "a snapshot piece holds another record than a turn", decodeStep);
        }
        turns.push_back(std::move(*turn));
        return {};
    });
}

result<shard_state> assembleImage(std::string_view bytes, decoded_pieces pieces, piece_table& table)
{
    if (bytes.empty()) {
        return failure(error_code::Corrupt, "the snapshot is empty", decodeStep);
    }
    shard_state state;
    place_map places;
    const auto visit = [&](shard_record record) -> result<void> {
        if (auto* place = std::get_if<turn_place>(&record)) {
            const call_key key(place->account, place->turn);
            places[key] = std::move(*place);
            return {};
        }
        return std::visit([&state](auto& alternative) { return restore(state, std::move(alternative)); }, record);
    };
    if (auto read = readRecords<shard_record>(bytes, visit); !read) {
        return tl::unexpected(read.error());
    }
    table.textBytes.clear();
    while (!pieces.empty()) {
        auto piece = pieces.extract(pieces.begin());
        restorePiece(state, piece.key(), std::move(piece.mapped()), places, table);
    }
    const bool isComplete
        = std::all_of(places.begin(), places.end(), [&state](const auto& place) { return state.turns.contains(place.first); });
    if (!isComplete) {
        return failure(error_code::Corrupt, "a turn is missing from the snapshot's pieces", decodeStep);
    }
    return state;
}

result<shard_state> decodeImage(
    std::string_view bytes, const std::vector<snapshot_piece>& pieces, piece_table& table)
{
    decoded_pieces decoded;
    for (const auto& piece : pieces) {
        if (auto read = decodePiece(piece, decoded); !read) {
            return tl::unexpected(read.error());
        }
    }
    return assembleImage(bytes, std::move(decoded), table);
}

static std::uint64_t digestOf(const retained_turn& turn)
{
    return XXH64(turn.text.data(), turn.text.size(), XXH64(turn.previous.data(), turn.previous.size(), 0));
}

turn_places placesOf(const shard_state& state)
{
    turn_places places;
    for (const auto& [key, turn] : state.turns) {
        if (turn.piece != 0) {
            places.turns[key] = { turn.piece, digestOf(turn) };
        }
    }
    return places;
}

void reusePlaces(shard_state& state, const turn_places& places)
{
    for (auto& [key, turn] : state.turns) {
        const auto found = places.turns.find(key);
        if (found != places.turns.end() && found->second.digest == digestOf(turn)) {
            turn.piece = found->second.piece;
        }
    }
}

std::size_t leastUsedBytes(std::size_t pieceBytes)
{
    return static_cast<std::size_t>(minUsedShare * static_cast<double>(pieceBytes));
}

std::size_t totalBytes(const piece_table& table)
{
    std::size_t total = 0;
    for (const auto& [id, bytes] : table.textBytes) {
        total += bytes;
    }
    return total;
}

} // namespace cuminledge::core::store
