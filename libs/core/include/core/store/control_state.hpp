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

/// Maximum number of keys in force; issuing more is refused. All of them fit one configuration update.
constexpr std::size_t maxKeys = 20'000;
/// Maximum size of each of a key's id, account, salt and hash.
constexpr std::size_t maxKeyFieldBytes = 64;
/// Maximum number of withdrawn keys kept. Beyond it, the key withdrawn first is removed; an unknown key is as
/// invalid as a withdrawn one.
constexpr std::size_t maxWithdrawnKeys = 20'000;
/// Maximum number of accepted manifests whose digests are kept. They distinguish a resent manifest that was accepted
/// before from one that was not accepted.
constexpr std::size_t maxManifestHistory = 256;
constexpr std::size_t maxDrains = 20'000;
constexpr std::size_t maxEvacuatedDomains = 1'000;
/// Maximum number of fencing numbers kept. Beyond it, the one granted first is removed; new numbers are still higher.
constexpr std::size_t maxOrderers = 50'000;
/// Maximum number of suspect and quarantined fingerprints. Beyond it, the oldest suspect is removed; without a suspect,
/// the oldest quarantined one.
constexpr std::size_t maxCrashRecords = 10'000;
/// Maximum number of cleared fingerprints kept for configuration updates.
constexpr std::size_t maxClearedFingerprints = 10'000;
/// A fingerprint is quarantined once this number of backend servers died while running it, unless the report says
/// otherwise.
constexpr std::uint32_t quarantineDeaths = 2;
/// Maximum number of departed servers kept, so that a late announcement of one of them has no effect.
constexpr std::size_t maxDepartedServers = 2'000;
/// Maximum number of announced servers.
constexpr std::size_t maxServers = 20'000;
constexpr std::size_t maxIdBytes = 256;

struct accepted_manifest {
    std::uint64_t number = 0;
    std::string digest;
    MSGPACK_DEFINE(number, digest)
};

/// The sidecar incarnation that controls a backend server, and its fencing number.
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
    bool cleared = false; ///< kept only so that updates can report it
    MSGPACK_DEFINE(fingerprint, account, deaths, quarantined, cleared)
};

/// The replicated state of group 0. Modified only by applyCommand(), so it is equal on every replica at the same log
/// index.
struct control_state {
    std::uint64_t manifestNumber = 0; ///< 0: none accepted yet
    std::string manifestDigest;
    std::string manifest; ///< the document
    std::vector<accepted_manifest> manifestHistory; ///< oldest first; the last one is in force
    std::map<std::string, wire::key_record> keys; ///< by key id
    change_index keyChanges;
    std::size_t withdrawnKeys = 0; ///< derived, not encoded
    std::set<std::string> drains; ///< backend servers that must not get new work
    std::set<std::string> evacuatedDomains; ///< failure domains whose backend servers must not get new work
    std::uint64_t lastFencingNumber = 0;
    std::map<std::string, orderer> orderers; ///< by backend server
    std::map<std::string, crash_record> crashes; ///< by fingerprint
    change_index crashChanges;
    std::uint64_t routesVersion = 0; ///< 0: no route table accepted yet
    std::string routes; ///< encoded wire::route_table
    std::string routesDocument; ///< as the operator sent it
    std::map<std::string, wire::backend_record> servers; ///< announced servers; `withdrawn`: the server has departed
    std::deque<std::string> departed; ///< ids of departed servers, oldest first
};

/// Applies one command, in log order. Commands are idempotent: applying one again gives an equivalent result and
/// changes nothing.
/// @return the result for the sender; `refused` if the command was not allowed and changed nothing.
wire::command_result applyCommand(control_state& state, const wire::command& command);

/// @return the encoded state; equal states have equal encodings.
std::string encodeSnapshot(const control_state& state);

/// Decodes the output of encodeSnapshot(). @return the state, or a Corrupt error for any other input.
result<control_state> decodeControlSnapshot(std::string_view bytes);

} // namespace cuminledge::core::store
