#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <base/clock.hpp>
#include <base/error.hpp>
#include <core/consensus/replica.hpp>

/**
 * Replication of one group's log, as free functions over a replica. Each function appends to `out` the messages, writes
 * and committed entries that its caller has to process.
 *
 *     replica r = makeReplica(settings, 0, "c1", { "c1", "c2", "c3" }, loaded, now);
 *     replica_output out;
 *     onTick(r, now, random, out);            // every few milliseconds
 *     auto index = propose(r, payload, now, out);
 *     for (auto& write : out.writes) { ... }  // answered by onPersisted() or onStorageFailed()
 */
namespace cuminledge::core::consensus {

/**
 * Creates the replica of a group from the state loaded from its disk.
 *
 * The replicated state starts as loaded.snapshot. Later entries are returned in `committed` once the group has
 * committed them. With an empty disk, the replica either forms the group, if all initial members are blank too, or
 * joins it as a learner.
 *
 * @param controller the name of this process.
 * @param initialMembers names of the controllers that host the group, including this one; equal on all of them.
 * @param guards the safeguards to apply; only tests pass them.
 */
replica makeReplica(const consensus_settings& settings, std::uint32_t group, const std::string& controller,
    std::vector<std::string> initialMembers, const replica_loaded& loaded, time_point now, const safeguards& guards = {});

/// Adds a controller that hosts the group or may host it. While this replica belongs to no group, it sends join
/// requests to that controller.
void addContact(replica& r, const std::string& controller);

void onTick(replica& r, time_point now, std::mt19937_64& random, replica_output& out);

/// Handles a message from a peer. Counts and drops bytes that are not a valid message, and drops messages that are not
/// addressed to this replica.
void onMessage(replica& r, const wire::consensus_envelope& envelope, time_point now, replica_output& out);

void onPersisted(replica& r, const log_persisted& event, time_point now, replica_output& out);

/// Stops the replica permanently: it sends and accepts nothing more until the process restarts.
void onStorageFailed(replica& r, const storage_failed& event, replica_output& out);

/**
 * Adds a Command entry to the log.
 *
 * @param payload up to maxCommandBytes.
 * @return the index of the entry. The command has been committed when `committed` contains that index with the term in
 *         which it was proposed; after `lostLeadership` its outcome is unknown. Errors: NotLeader (peer names the
 *         leader, if known), TooLarge, Overloaded (too much waits for the disk), Storage.
 */
result<std::uint64_t> propose(replica& r, std::string payload, time_point now, replica_output& out);

constexpr std::size_t maxCommandBytes = 7U << 20U;

bool isLeader(const replica& r);

/// @return whether the applied state can serve a linearizable read now: this leader holds its lease, and everything
///         that earlier leaders committed is applied here.
bool mayRead(const replica& r, time_point now);

/// @return the name of the controller that this replica knows as the leader; empty if unknown.
std::string leaderName(const replica& r);

/// @return whether takeSnapshot() should be called.
bool snapshotDue(const replica& r);

/// Replaces the log up to the commit index, except the retained entries, by a snapshot.
/// @param image the replicated state after every entry returned in `committed` so far.
void takeSnapshot(replica& r, snapshot_image image, replica_output& out);

/// Completes the write of an installed snapshot.
/// @param image the replicated state that was installed.
void attachImage(replica_output& out, snapshot_image image);

/// @return whether provideOutgoingSnapshot() should be called: a follower needs the whole state.
bool needsOutgoingSnapshot(const replica& r);

/// Sends the state to the followers that need it. It is held in memory until they have it.
/// @param state the whole replicated state after every entry returned in `committed` so far.
void provideOutgoingSnapshot(replica& r, std::uint64_t totalBytes, time_point now, replica_output& out);

/// @return the message that sends a chunk. @param data wanted.bytes bytes of the outgoing snapshot from wanted.chunk.offset on.
wire::consensus_envelope fillChunk(const replica& r, wanted_chunk wanted, std::string data);

/// @return whether the replica sends an outgoing snapshot, whose bytes must be held on.
bool hasOutgoingSnapshot(const replica& r);

/**
 * Transfers the leadership to a voter that holds the whole log, for a graceful shutdown.
 *
 * @return whether this replica is no longer the leader. False: no responsive voter holds the whole log yet; call again
 *         after a few ticks.
 */
bool transferLeadership(replica& r, time_point now, replica_output& out);

/**
 * Removes a controller from the group permanently by one membership change. Only the leader can do this.
 *
 * @return the index of the configuration entry. Errors: NotLeader, NotFound, Conflict (a membership change is in
 *         progress, or the controller is the leader itself).
 */
result<std::uint64_t> removeMember(replica& r, const std::string& controller, time_point now, replica_output& out);

/// Returns the replica's status, for status requests and dumps.
/// @param now the time against which the age of the followers' last responses is measured.
group_status statusOf(const replica& r, time_point now);

/// @return the controller's name in a replica id; the whole text if it contains no disk incarnation.
std::string controllerOf(const std::string& replicaId);

/// @return the configuration in effect; empty if the replica belongs to no group yet.
const wire::group_configuration& configurationOf(const replica& r);

} // namespace cuminledge::core::consensus
