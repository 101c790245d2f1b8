#include <type_traits>
#include <utility>
#include <variant>

#include <core/store/control_state.hpp>
#include <core/store/shard_state.hpp>

namespace cuminledge::core::store {

namespace {

    //--------------------------------------------------------------------------------------------------------------
    // A snapshot is a list of records. Each is a length (8 bytes, little endian) and an encoded variant alternative.
    // Each record is smaller than the frame limit, so that the decoder's limits allow a snapshot of any size.
    //--------------------------------------------------------------------------------------------------------------

    constexpr std::size_t lengthBytes = 8;
    constexpr std::uint32_t formatVersion = 1;
    const std::string decodeStep = "decode_snapshot";

    void appendLength(std::string& bytes, std::uint64_t length)
    {
        for (std::size_t i = 0; i < lengthBytes; ++i) {
            bytes.push_back(static_cast<char>((length >> (8 * i)) & 0xffU));
        }
    }

    std::uint64_t readLength(std::string_view bytes)
    {
        std::uint64_t length = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i) {
            length |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
        }
        return length;
    }

    template <typename Record>
    void appendRecord(std::string& bytes, const Record& record)
    {
        const auto coded = wire::encodeVariant(record);
        appendLength(bytes, coded.size());
        bytes += coded;
    }

    /// Calls `visit(record)` for each record. @return the first failure of decoding or of `visit`.
    template <typename Record, typename Visit>
    result<void> readRecords(std::string_view bytes, const Visit& visit)
    {
        while (!bytes.empty()) {
            if (bytes.size() < lengthBytes || readLength(bytes) > bytes.size() - lengthBytes) {
                return failure(error_code::Corrupt, "the snapshot ends within a record", decodeStep);
            }
            const auto length = static_cast<std::size_t>(readLength(bytes));
            auto record = wire::decodeVariant<Record>(bytes.substr(lengthBytes, length), decodeStep, "");
            if (!record) {
                return tl::unexpected(record.error());
            }
            if (auto visited = visit(std::move(*record)); !visited) {
                return visited;
            }
            bytes.remove_prefix(lengthBytes + length);
        }
        return {};
    }

    result<void> checkVersion(std::uint32_t version)
    {
        if (version != formatVersion) {
            return failure(error_code::Corrupt, "unknown snapshot version, expected 1", decodeStep);
        }
        return {};
    }

    //--------------------------------------------------------------------------------------------------------------
    // Group 0
    //--------------------------------------------------------------------------------------------------------------

    struct control_header {
        std::uint32_t version = formatVersion;
        std::uint64_t manifestNumber = 0;
        std::string manifestDigest;
        std::string manifest;
        std::vector<accepted_manifest> manifestHistory;
        std::uint64_t keyRevision = 0;
        std::uint64_t keyFloor = 0;
        std::uint64_t lastFencingNumber = 0;
        std::uint64_t crashRevision = 0;
        std::uint64_t crashFloor = 0;
        MSGPACK_DEFINE(version, manifestNumber, manifestDigest, manifest, manifestHistory, keyRevision, keyFloor,
            lastFencingNumber, crashRevision, crashFloor)
    };

    struct key_entry {
        wire::key_record key;
        std::uint64_t revision = 0;
        MSGPACK_DEFINE(key, revision)
    };

    struct crash_entry {
        crash_record crash;
        std::uint64_t revision = 0;
        MSGPACK_DEFINE(crash, revision)
    };

    struct drain_entry {
        std::string backend;
        MSGPACK_DEFINE(backend)
    };

    struct routes_entry {
        std::uint64_t version = 0;
        std::string table;
        std::string document;
        MSGPACK_DEFINE(version, table, document)
    };

    struct departed_entry {
        std::string server;
        MSGPACK_DEFINE(server)
    };

    using control_record = std::variant<control_header, key_entry, crash_entry, drain_entry, orderer, routes_entry,
        wire::backend_record, departed_entry>;

    void restore(change_index& index, const std::string& id, std::uint64_t revision)
    {
        index.revisionOf[id] = revision;
        index.byRevision[revision] = id;
    }

    result<void> restore(control_state& state, control_header header)
    {
        state.manifestNumber = header.manifestNumber;
        state.manifestDigest = std::move(header.manifestDigest);
        state.manifest = std::move(header.manifest);
        state.manifestHistory = std::move(header.manifestHistory);
        state.keyChanges.revision = header.keyRevision;
        state.keyChanges.floor = header.keyFloor;
        state.lastFencingNumber = header.lastFencingNumber;
        state.crashChanges.revision = header.crashRevision;
        state.crashChanges.floor = header.crashFloor;
        return checkVersion(header.version);
    }

    result<void> restore(control_state& state, key_entry entry)
    {
        restore(state.keyChanges, entry.key.key, entry.revision);
        state.withdrawnKeys += entry.key.withdrawn ? 1U : 0U;
        const auto id = entry.key.key;
        state.keys[id] = std::move(entry.key);
        return {};
    }

    result<void> restore(control_state& state, crash_entry entry)
    {
        restore(state.crashChanges, entry.crash.fingerprint, entry.revision);
        const auto id = entry.crash.fingerprint;
        state.crashes[id] = std::move(entry.crash);
        return {};
    }

    result<void> restore(control_state& state, drain_entry entry)
    {
        state.drains.insert(std::move(entry.backend));
        return {};
    }

    result<void> restore(control_state& state, orderer entry)
    {
        const auto id = entry.backend;
        state.orderers[id] = std::move(entry);
        return {};
    }

    result<void> restore(control_state& state, wire::backend_record server)
    {
        const auto id = server.backend;
        state.servers[id] = std::move(server);
        return {};
    }

    result<void> restore(control_state& state, departed_entry entry)
    {
        state.departed.push_back(std::move(entry.server));
        return {};
    }

    result<void> restore(control_state& state, routes_entry entry)
    {
        state.routesVersion = entry.version;
        state.routes = std::move(entry.table);
        state.routesDocument = std::move(entry.document);
        return {};
    }

    //--------------------------------------------------------------------------------------------------------------
    // Groups 1..N
    //--------------------------------------------------------------------------------------------------------------

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

    using shard_record = std::variant<shard_header, program, call_record, wire::reserve_rate, clock_entry,
        program_budget, retained_turn>;

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
        state.turns[key] = std::move(turn);
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

    template <typename Record, typename State>
    result<State> decode(std::string_view bytes)
    {
        if (bytes.empty()) {
            return failure(error_code::Corrupt, "the snapshot is empty", decodeStep);
        }
        State state;
        const auto read = readRecords<Record>(bytes, [&state](Record record) {
            return std::visit([&state](auto& alternative) { return restore(state, std::move(alternative)); }, record);
        });
        if (!read) {
            return tl::unexpected(read.error());
        }
        return state;
    }

} // namespace

std::string encodeSnapshot(const control_state& state)
{
    control_header header;
    header.manifestNumber = state.manifestNumber;
    header.manifestDigest = state.manifestDigest;
    header.manifest = state.manifest;
    header.manifestHistory = state.manifestHistory;
    header.keyRevision = state.keyChanges.revision;
    header.keyFloor = state.keyChanges.floor;
    header.lastFencingNumber = state.lastFencingNumber;
    header.crashRevision = state.crashChanges.revision;
    header.crashFloor = state.crashChanges.floor;
    std::string bytes;
    appendRecord(bytes, control_record(std::move(header)));
    for (const auto& [id, key] : state.keys) {
        appendRecord(bytes, control_record(key_entry { key, state.keyChanges.revisionOf.at(id) }));
    }
    for (const auto& [id, crash] : state.crashes) {
        appendRecord(bytes, control_record(crash_entry { crash, state.crashChanges.revisionOf.at(id) }));
    }
    for (const auto& backend : state.drains) {
        appendRecord(bytes, control_record(drain_entry { backend }));
    }
    for (const auto& [backend, entry] : state.orderers) {
        appendRecord(bytes, control_record(entry));
    }
    for (const auto& [id, server] : state.servers) {
        appendRecord(bytes, control_record(server));
    }
    for (const auto& server : state.departed) {
        appendRecord(bytes, control_record(departed_entry { server }));
    }
    if (state.routesVersion != 0) {
        appendRecord(bytes, control_record(routes_entry { state.routesVersion, state.routes, state.routesDocument }));
    }
    return bytes;
}

result<control_state> decodeControlSnapshot(std::string_view bytes)
{
    return decode<control_record, control_state>(bytes);
}

/// Returns an estimate of the encoded size, to reserve it at once. If the string grew by doubling, the largest part of
/// a snapshot, the retained turns, could be in memory up to three times.
static std::size_t estimatedBytes(const shard_state& state)
{
    constexpr std::size_t bytesPerRecord = 256;
    std::size_t bytes = bytesPerRecord * (state.programs.size() + state.calls.size() + state.budgets.size() + 1);
    for (const auto& [key, turn] : state.turns) {
        bytes += bytesPerRecord + turn.text.size();
    }
    return bytes;
}

std::string encodeSnapshot(const shard_state& state)
{
    const shard_header header { formatVersion, state.lastEndedOrder, state.lastSettledOrder, state.budgetOverruns,
        state.contradictions };
    std::string bytes;
    bytes.reserve(estimatedBytes(state));
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
    for (const auto& [key, turn] : state.turns) {
        appendRecord(bytes, shard_record(turn));
    }
    return bytes;
}

result<shard_state> decodeShardSnapshot(std::string_view bytes)
{
    return decode<shard_record, shard_state>(bytes);
}

} // namespace cuminledge::core::store
