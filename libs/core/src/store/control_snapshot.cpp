#include <core/store/control_state.hpp>

#include <utility>
#include <variant>

#include <store/snapshot_records.hpp>

namespace cuminledge::core::store {

namespace {

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

    struct evacuation_entry {
        std::string domain;
        MSGPACK_DEFINE(domain)
    };

    using control_record = std::variant<control_header, key_entry, crash_entry, drain_entry, orderer, routes_entry,
        wire::backend_record, departed_entry, evacuation_entry>;

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

    result<void> restore(control_state& state, evacuation_entry entry)
    {
        state.evacuatedDomains.insert(std::move(entry.domain));
        return {};
    }

    result<void> restore(control_state& state, routes_entry entry)
    {
        state.routesVersion = entry.version;
        state.routes = std::move(entry.table);
        state.routesDocument = std::move(entry.document);
        return {};
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
    for (const auto& domain : state.evacuatedDomains) {
        appendRecord(bytes, control_record(evacuation_entry { domain }));
    }
    if (state.routesVersion != 0) {
        appendRecord(bytes, control_record(routes_entry { state.routesVersion, state.routes, state.routesDocument }));
    }
    return bytes;
}

result<control_state> decodeControlSnapshot(std::string_view bytes)
{
    return decodeRecords<control_record, control_state>(
        bytes, [](control_state& state, auto&& record) { return restore(state, std::forward<decltype(record)>(record)); });
}

} // namespace cuminledge::core::store
