#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <base/error.hpp>
#include <core/store/change_index.hpp>
#include <wire/commands.hpp>
#include <wire/control_messages.hpp>

namespace cuminledge::core::store {

/// Keys in force at most; issuing more is refused. All of them fit one configuration update.
constexpr std::size_t maxKeys = 20'000;
/// Of a key's id, account, salt and hash, each.
constexpr std::size_t maxKeyFieldBytes = 64;
/// Withdrawn keys remembered; past it the one withdrawn first is forgotten, which is as good as unknown.
constexpr std::size_t maxWithdrawnKeys = 20'000;
/// Accepted manifests whose digests are remembered, to tell a resent one from one that lost.
constexpr std::size_t maxManifestHistory = 256;
constexpr std::size_t maxDrains = 20'000;
/// Fencing numbers remembered; past it the one given first is forgotten (numbers still only rise).
constexpr std::size_t maxOrderers = 50'000;
/// Suspects and quarantined fingerprints remembered; past it the oldest suspect goes, then the oldest quarantined one.
constexpr std::size_t maxCrashRecords = 10'000;
/// Cleared fingerprints remembered for updates.
constexpr std::size_t maxClearedFingerprints = 10'000;
/// A fingerprint under which so many backend servers died is quarantined.
constexpr std::uint32_t quarantineDeaths = 2;
/// Servers that have left remembered, so that a late announcement of one does not count.
constexpr std::size_t maxDepartedServers = 2'000;
/// Servers that announce themselves, at most.
constexpr std::size_t maxServers = 20'000;
constexpr std::size_t maxIdBytes = 256;

struct accepted_manifest {
    std::uint64_t number = 0;
    std::string digest;
    MSGPACK_DEFINE(number, digest)
};

/// Who orders a backend server, and under which fencing number.
struct orderer {
    std::string backend;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    MSGPACK_DEFINE(backend, incarnation, number)
};

struct crash_record {
    std::string fingerprint;
    std::string account;
    std::vector<std::pair<std::string, std::uint64_t>> deaths; ///< backend server and incarnation of its engine
    bool quarantined = false;
    bool cleared = false; ///< kept only so that updates can say so
    MSGPACK_DEFINE(fingerprint, account, deaths, quarantined, cleared)
};

/// The replicated state of group 0. Changed by applyCommand() alone; equal on every replica at the same log index.
struct control_state {
    std::uint64_t manifestNumber = 0; ///< 0: none accepted yet
    std::string manifestDigest;
    std::string manifest; ///< the document
    std::vector<accepted_manifest> manifestHistory; ///< oldest first; the last one is in force
    std::map<std::string, wire::key_record> keys; ///< by key id
    change_index keyChanges;
    std::size_t withdrawnKeys = 0; ///< derived, not coded
    std::set<std::string> drains; ///< backend servers that must get no new work
    std::uint64_t lastFencingNumber = 0;
    std::map<std::string, orderer> orderers; ///< by backend server
    std::map<std::string, crash_record> crashes; ///< by fingerprint
    change_index crashChanges;
    std::uint64_t routesVersion = 0; ///< 0: no route table accepted yet
    std::string routes; ///< coded wire::route_table
    std::string routesDocument; ///< as the operator sent it
    std::map<std::string, wire::backend_record> servers; ///< that announce themselves; `withdrawn`: it has left
    std::deque<std::string> departed; ///< of those that have left, oldest first
};

/// Applies one command, in log order. Applying it again gives the same truth and changes nothing.
/// @return what to tell whoever sent it; `refused` where it changed nothing because it may not.
wire::command_result applyCommand(control_state& state, const wire::command& command);

/// @return the state coded; equal states give equal bytes.
std::string encodeSnapshot(const control_state& state);

/// Reads what encodeSnapshot() wrote; anything else is an error.
result<control_state> decodeControlSnapshot(std::string_view bytes);

} // namespace cuminledge::core::store
