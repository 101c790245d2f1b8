#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <base/clock.hpp>
#include <core/consensus/replica.hpp>
#include <core/controller/controller_settings.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>
#include <core/identity.hpp>
#include <core/limits/load_board.hpp>
#include <core/limits/rate_authority.hpp>
#include <core/limits/retention_room.hpp>
#include <core/limits/server_limit_authority.hpp>
#include <core/manifest/manifest.hpp>
#include <core/store/change_index.hpp>
#include <core/store/control_state.hpp>
#include <core/store/shard_state.hpp>
#include <core/store/streamed_snapshot.hpp>

/**
 * The controller: hosts a replica of every group, answers for those that it leads.
 *
 * A command is answered when its log entry is committed and applied; a read, while the leader holds its lease. After
 * a lost leadership the asker is told to ask the next leader, never a result that may not hold.
 */
namespace cuminledge::core::controller {

//------------------------------------------------------------------------------------------------------------------
// Proposals
//------------------------------------------------------------------------------------------------------------------

/// The controller itself proposed the command; nobody waits.
struct own_origin {
};

struct peer_origin {
    std::string peer;
    std::uint64_t request = 0;
};

struct operator_origin {
    exchange_id exchange = 0;
    std::string method;
};

/// A call on the control interface of a deployment with route tables.
struct control_origin {
    exchange_id exchange = 0;
};

using proposal_origin = std::variant<own_origin, peer_origin, operator_origin, control_origin>;

/// A proposed log entry that is not committed yet.
struct pending_proposal {
    std::uint64_t term = 0; ///< another entry may come to stand at the index, in another term
    proposal_origin origin;
};

//------------------------------------------------------------------------------------------------------------------
// What a leader keeps in memory; a new leader builds it anew
//------------------------------------------------------------------------------------------------------------------

/// A backend server that is announced, or was a short time ago.
struct announced_backend {
    wire::backend_record record; ///< `withdrawn` once it left or its lease lapsed
    time_point leaseEnd {};
    bool isLeaving = false; ///< said so itself; this incarnation does not come back
    std::uint64_t sequence = 0; ///< of the last announcement taken, where the server announces itself
};

/// Backend servers as their sidecars announce them to the leader of group 0.
struct membership {
    std::uint64_t epoch = 0; ///< term of the leadership
    time_point completeAt {}; ///< before it, a server that is missing here may only not have announced itself yet
    std::map<std::string, announced_backend> backends; ///< by id
    store::change_index changes;
    std::set<std::pair<std::string, std::uint64_t>> registrations; ///< proposed fencing numbers: backend, incarnation
};

/// Looks at a program again later: has it been idle, or its turn under way, for too long?
struct watched_program {
    time_point lastActivity {};
    time_point nextCheck {};
};

struct program_watch {
    std::map<std::string, watched_program> programs; ///< the open ones, by id
    std::set<std::pair<time_point, std::string>> checks; ///< by nextCheck
};

//------------------------------------------------------------------------------------------------------------------
// The controller
//------------------------------------------------------------------------------------------------------------------

struct hosted_group {
    std::uint32_t group = 0;
    consensus::replica replica;
    std::map<std::uint64_t, pending_proposal> pending; ///< by log index
    std::uint64_t watchedCommit = 0; ///< commit index at the last proposal
    time_point watchedSince {}; ///< since when it has that value while proposals are pending
    std::uint64_t appliedIndex = 0;
    bool isServing = false; ///< leads, and has had a lease since: the leader's duties have begun
    store::shard_state shard; ///< unused in group 0
    store::streamed_snapshot outgoing; ///< what the replica sends to followers; in group 0 its head is all of it
    store::decoded_pieces loading; ///< of the snapshot that is being loaded at a start
    store::piece_table pieces; ///< of the snapshot on this controller's disk; unused in group 0
    time_point snapshotTakenAt {}; ///< for the disk of this controller
    limits::rate_authority authority; ///< unused in group 0
    limits::retention_room room; ///< of the turns that the group retains; unused in group 0
    time_point learningSince {}; ///< since when the replica has seen the programs of `room` begin
    limits::retained_now retained; ///< as of retainedCountedAt
    time_point retainedCountedAt {};
    program_watch watch; ///< unused in group 0
    time_point clockCountedAt {}; ///< unused in group 0; while leading: up to when time was counted
};

/**
 * The controllers that this one knows of.
 *
 * Those of the settings; where the settings name only seeds, also those of the configuration of group 0, which changes
 * as controllers join and are replaced.
 */
struct controller_directory {
    std::vector<controller_member> controllers;
    std::uint64_t index = 0; ///< log index of the configuration that it follows; 0: the settings alone
};

struct controller_counters {
    std::uint64_t commandsAnswered = 0;
    std::uint64_t queriesAnswered = 0;
    std::uint64_t redirected = 0; ///< answered "not leader" at once
    std::uint64_t proposalsStalled = 0; ///< refused because nothing was committed for longer than an election takes
    std::uint64_t outcomesLost = 0; ///< proposals whose leadership was lost before they were committed
    std::uint64_t pollsAnswered = 0;
    std::uint64_t announcements = 0;
    std::uint64_t lapses = 0; ///< announcements not renewed in time
    std::uint64_t idlePrograms = 0; ///< ended after their idle lease
    std::uint64_t lostTurns = 0; ///< turns under way past the turn timeout
    std::uint64_t badRequests = 0;
};

/// Changes with the engines whose load the gateways share.
struct engines_version {
    std::uint64_t membership = 0; ///< revision of the announced servers
    std::uint64_t routes = 0; ///< version of the route table
    std::set<std::string> evacuatedDomains;

    friend bool operator==(const engines_version&, const engines_version&) = default;
};

/// Made with the settings filled in. Then process_started, one replica_loaded for each group, and ticks.
struct controller_state {
    controller_settings settings;
    controller_directory directory;
    std::map<std::uint32_t, hosted_group> groups;
    store::control_state control; ///< of group 0
    std::optional<manifest::manifest> manifest; ///< control.manifest, parsed
    std::optional<wire::route_table> routes; ///< control.routes, decoded
    membership members;
    limits::server_limit_authority requestLimits; ///< while leading group 0
    limits::load_board loads; ///< while leading group 0
    engines_version enginesVersion; ///< of the engines that `loads` knows
    std::map<std::string, std::string> peerRoles; ///< of connected processes, by name
    bool isReady = false;
    bool isStandby = false; ///< hosts no group
    std::optional<time_point> shutdownSince;
    bool isDrained = false; ///< the listeners are closed and have no connection left
    time_point nextSweep {};
    time_point nextSizeReport {};
    controller_counters counters;
};

/// Commands of one group that may wait for their commit; more are refused as overloaded.
constexpr std::size_t maxPendingProposals = 20'000;

/// @return the controller, or null.
const controller_member* findController(const controller_directory& directory, const std::string& name);

/// @return the JSON-RPC methods that operators may call.
const std::vector<std::string>& operatorMethods();

/**
 * Takes one event.
 *
 * @param now monotonic; never goes back from one call to the next.
 * @param random for election timeouts.
 * @param out gets the effects, in order.
 */
void reduceController(controller_state& state, const event& e, const process_identity& self, time_point now,
    std::mt19937_64& random, effects& out);

} // namespace cuminledge::core::controller
