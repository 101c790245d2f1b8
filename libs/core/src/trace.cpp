#include <core/trace.hpp>

#include <memory>
#include <string_view>
#include <type_traits>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cuminledge::core {

namespace {

    constexpr std::size_t lengthBytes = 4;

    /// Feeds the fields of effects into one running digest.
    class effect_hasher {
    public:
        effect_hasher()
            : m_state(XXH64_createState(), &XXH64_freeState)
        {
            XXH64_reset(m_state.get(), 0);
        }

        template <typename... Fields>
        void add(const Fields&... fields)
        {
            (addField(fields), ...);
        }

        [[nodiscard]] std::uint64_t digest() const { return XXH64_digest(m_state.get()); }

    private:
        void addField(std::string_view text)
        {
            const auto size = static_cast<std::uint64_t>(text.size());
            XXH64_update(m_state.get(), &size, sizeof size);
            XXH64_update(m_state.get(), text.data(), text.size());
        }

        void addField(const std::string& text) { addField(std::string_view(text)); }

        template <typename Number>
        std::enable_if_t<std::is_arithmetic_v<Number> || std::is_enum_v<Number>> addField(const Number& number)
        {
            XXH64_update(m_state.get(), &number, sizeof number);
        }

        void addField(std::chrono::milliseconds span) { addField(span.count()); }

        void addField(const header_list& pairs)
        {
            addField(static_cast<std::uint64_t>(pairs.size()));
            for (const auto& [key, value] : pairs) {
                add(key, value);
            }
        }

        void addField(const wire::message& body) { addField(wire::encodeVariant(body)); }

        void addField(const std::vector<wire::log_entry>& entries) { addField(wire::encodeStruct(entries)); }
        void addField(const std::vector<snapshot_piece>& pieces) { addField(wire::encodeStruct(pieces)); }
        void addField(const std::vector<std::uint64_t>& numbers) { addField(wire::encodeStruct(numbers)); }

        std::unique_ptr<XXH64_state_t, XXH_errorcode (*)(XXH64_state_t*)> m_state;
    };

    void addFields(effect_hasher& hash, const connect_peer& e) { hash.add(e.peer, e.address); }
    void addFields(effect_hasher& hash, const disconnect_peer& e) { hash.add(e.peer); }
    void addFields(effect_hasher& hash, const send_message& e) { hash.add(e.peer, e.body); }
    void addFields(effect_hasher& hash, const reply_to_caller& e)
    {
        hash.add(e.exchange, e.status, e.contentType, e.headers, e.body);
    }
    void addFields(effect_hasher& hash, const begin_stream& e) { hash.add(e.exchange, e.headers); }
    void addFields(effect_hasher& hash, const stream_event& e) { hash.add(e.exchange, e.data); }
    void addFields(effect_hasher& hash, const end_stream& e) { hash.add(e.exchange); }
    void addFields(effect_hasher& hash, const abort_exchange& e) { hash.add(e.exchange); }
    void addFields(effect_hasher& hash, const tag_connection& e) { hash.add(e.exchange, e.key); }
    void addFields(effect_hasher& hash, const close_key_connections& e) { hash.add(e.key); }
    void addFields(effect_hasher& hash, const reply_to_operator& e) { hash.add(e.exchange, e.ok, e.code, e.body); }
    void addFields(effect_hasher& hash, const reply_dump& e) { hash.add(e.exchange, e.body); }
    void addFields(effect_hasher& hash, const start_upstream& e)
    {
        hash.add(e.request, e.address, e.method, e.target, e.headers, e.body, e.eventStream, e.freshConnection,
            e.silenceTimeout);
    }
    void addFields(effect_hasher& hash, const cancel_upstream& e) { hash.add(e.request); }
    void addFields(effect_hasher& hash, const persist_log& e)
    {
        hash.add(e.group, e.ticket, e.hasHardState, e.term, e.votedFor, e.truncateFrom, e.entries, e.hasSnapshot,
            e.snapshotIndex, e.snapshotTerm, e.snapshotConfiguration, e.snapshot, e.newPieces, e.pieces,
            e.isSnapshotOptional);
    }
    void addFields(effect_hasher& hash, const write_log& e) { hash.add(e.level, e.event, e.fields); }
    void addFields(effect_hasher& hash, const set_ready& e) { hash.add(e.ready, e.reason); }
    void addFields(effect_hasher&, const close_listeners&) { }
    void addFields(effect_hasher& hash, const stop_process& e) { hash.add(e.exitCode); }
    void addFields(effect_hasher& hash, const record_metric& e) { hash.add(e.name, e.value, e.isDistribution); }

    void addFields(effect_hasher& hash, const forward_upstream& e)
    {
        hash.add(e.request, e.address, e.backend, e.attempt, e.method, e.target, e.host, e.headers, e.body, e.account,
            e.timeLeft, e.lastEvent, e.freshConnection);
    }
    void addFields(effect_hasher& hash, const begin_answer& e) { hash.add(e.exchange, e.status, e.headers, e.length); }
    void addFields(effect_hasher& hash, const answer_data& e) { hash.add(e.exchange, e.data); }
    void addFields(effect_hasher& hash, const end_answer& e) { hash.add(e.exchange); }
    void addFields(effect_hasher& hash, const refuse_caller& e)
    {
        hash.add(e.exchange, e.code, e.mayHaveRun, e.retryAfter, e.message);
    }
    void addFields(effect_hasher&, const announce_closing&) { }
    void addFields(effect_hasher& hash, const reply_to_control& e)
    {
        hash.add(e.exchange, e.outcome, e.leader, e.document, e.state, e.message);
    }
    void addFields(effect_hasher& hash, const check_server& e) { hash.add(e.server, e.incarnation, e.address); }

    void addFields(effect_hasher& hash, const pause_upstream& e) { hash.add(e.request); }
    void addFields(effect_hasher& hash, const resume_upstream& e) { hash.add(e.request); }

    void addFields(effect_hasher& hash, const set_gauge& e) { hash.add(e.name, e.labels, e.value); }

    std::size_t bodySize(std::string_view trace)
    {
        std::size_t size = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i) {
            size |= static_cast<std::size_t>(static_cast<unsigned char>(trace[i])) << (8 * i);
        }
        return size;
    }

} // namespace

std::uint64_t digestOf(const effects& caused)
{
    effect_hasher hash;
    for (const auto& one : caused) {
        hash.add(static_cast<std::uint64_t>(one.index()));
        std::visit([&hash](const auto& alternative) { addFields(hash, alternative); }, one);
    }
    return hash.digest();
}

std::string encodeTraceRecord(time_point at, const event& happened, const effects& caused)
{
    trace_record record;
    record.nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(at.time_since_epoch()).count();
    record.event = wire::encodeVariant(happened);
    record.effectsDigest = digestOf(caused);
    const auto body = wire::encodeStruct(record);
    std::string frame;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        frame += static_cast<char>((body.size() >> (8 * i)) & 0xffU);
    }
    return frame + body;
}

bool hasTraceRecord(std::string_view trace)
{
    return trace.size() >= lengthBytes && trace.size() - lengthBytes >= bodySize(trace);
}

result<trace_record> readTraceRecord(std::string_view& trace)
{
    if (!hasTraceRecord(trace)) {
        return failure(error_code::Corrupt, "the trace ends within a record", "read_trace");
    }
    const auto size = bodySize(trace);
    auto record = wire::decodeStruct<trace_record>(trace.substr(lengthBytes, size), "read_trace", "");
    trace.remove_prefix(lengthBytes + size);
    return record;
}

} // namespace cuminledge::core
