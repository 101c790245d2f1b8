#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <base/clock.hpp>
#include <base/error.hpp>
#include <core/consensus/replica.hpp>

/**
 * Replication of one group's log. Free functions over a replica; each appends to `out` what is to be done next.
 *
 *     replica r = makeReplica(settings, 0, "c1", { "c1", "c2", "c3" }, loaded, now);
 *     replica_output out;
 *     onTick(r, now, random, out);            // every few milliseconds
 *     auto index = propose(r, payload, now, out);
 *     for (auto& write : out.writes) { ... }  // answered by onPersisted() or onStorageFailed()
 */
namespace cuminledge::core::consensus {

/**
 * Makes the replica of a group from what its disk held.
 *
 * The replicated state starts as loaded.snapshot; the entries behind it come out as `committed` once the group says so.
 * With a disk that held nothing it either forms the group, if all initial members are as blank, or joins as a learner.
 *
 * @param controller this process's name.
 * @param initialMembers names of the controllers that host the group, this one among them; the same everywhere.
 * @param guards only tests pass them.
 */
replica makeReplica(const consensus_settings& settings, std::uint32_t group, const std::string& controller,
    std::vector<std::string> initialMembers, const replica_loaded& loaded, time_point now, const safeguards& guards = {});

/// Notes a controller that hosts the group, or may: while this replica belongs to no group, it asks there to join.
void addContact(replica& r, const std::string& controller);

void onTick(replica& r, time_point now, std::mt19937_64& random, replica_output& out);

/// Takes any bytes from a peer; what is not a valid message for this replica is counted and dropped.
void onMessage(replica& r, const wire::consensus_envelope& envelope, time_point now, replica_output& out);

void onPersisted(replica& r, const log_persisted& event, time_point now, replica_output& out);

/// Stops the replica for good: it sends and accepts nothing more until the process starts again.
void onStorageFailed(replica& r, const storage_failed& event, replica_output& out);

/**
 * Adds a Command entry to the log.
 *
 * @param payload up to maxCommandBytes.
 * @return its index. It is done when `committed` brings that index with the term in which it was proposed; after
 *         `lostLeadership` its outcome is unknown. Errors: NotLeader (peer names the leader, if known), TooLarge,
 *         Storage.
 */
result<std::uint64_t> propose(replica& r, std::string payload, time_point now, replica_output& out);

constexpr std::size_t maxCommandBytes = 4U << 20U;

bool isLeader(const replica& r);

/// @return whether the applied state may answer a linearizable read now: this leader holds a lease, and all that
///         earlier leaders committed is applied here.
bool mayRead(const replica& r, time_point now);

/// @return the controller that leads as far as this replica knows; empty if unknown.
std::string leaderName(const replica& r);

/// @return whether takeSnapshot() should be called.
bool snapshotDue(const replica& r);

/// @param state the replicated state with every entry applied that `committed` has brought.
void takeSnapshot(replica& r, std::string state, replica_output& out);

/**
 * Hands the leadership to the follower that holds the most, for a graceful shutdown.
 *
 * @return whether this replica leads no longer. False: nobody holds the whole log yet; call again after a few ticks.
 */
bool transferLeadership(replica& r, time_point now, replica_output& out);

/**
 * Takes a controller out of the group for good, as the leader, by one membership change.
 *
 * @return errors: NotLeader, NotFound, Conflict (a change is under way, or it is this replica itself).
 */
result<std::uint64_t> removeMember(replica& r, const std::string& controller, time_point now, replica_output& out);

/// For status and dumps. @param now ages the followers' last answers.
group_status statusOf(const replica& r, time_point now);

/// @return the part of a replica id that names the process; the text itself if it has no incarnation.
std::string controllerOf(const std::string& replicaId);

/// @return the configuration that holds now; empty in a replica that belongs to no group yet.
const wire::group_configuration& configurationOf(const replica& r);

} // namespace cuminledge::core::consensus
