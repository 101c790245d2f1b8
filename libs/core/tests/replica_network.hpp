#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <core/consensus/consensus.hpp>

#include "naive_history.hpp"
#include "test_disk.hpp"

/// Replicas of one group in memory, with a network, disks and clocks that fail on demand. All time is manual.
namespace cuminledge::core::consensus::test {

/// How often things fail; chances for each step of 5 ms or each message.
struct fault_rates {
    double dropMessage = 0;
    double doubleMessage = 0;
    double lateMessage = 0; ///< by up to 1 s, so that later ones overtake it
    double crash = 0;
    double loseDisk = 0; ///< of the crashes
    double cutOff = 0;
    double freeze = 0;
    double transfer = 0; ///< the leader hands over
};

struct network_options {
    std::size_t size = 3;
    std::size_t founders = 0; ///< only the first so many nodes form the group, the others join it; 0: all form it
    fault_rates faults;
    safeguards guards;
    bool keepsIncarnation = false; ///< a lost disk comes back under its old incarnation: must show as a violation
    consensus_settings settings;
};

/// @return settings under which a short history passes through every mechanism.
consensus_settings smallSettings();

struct pending_write {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint64_t visibleBefore = 0; ///< it must come after everything that was visible when it was sent
};

struct test_node {
    std::string name;
    double clockRate = 1;
    test_disk disk;
    bool hasLostDisk = false;
    std::optional<replica> process; ///< nothing while it is down
    key_values state;
    std::uint64_t applied = 0;
    std::vector<pending_write> pending;
    time_point downUntil {};
    time_point frozenUntil {};
    time_point cutUntil {};
    std::uint64_t entriesReceived = 0;
};

struct message_under_way {
    time_point arrival {};
    wire::consensus_envelope envelope;
};

struct replica_network {
    network_options options;
    std::mt19937_64 random;
    time_point now { std::chrono::hours(1) };
    std::vector<test_node> nodes;
    std::vector<message_under_way> messages;
    history seen;
    std::uint64_t nextValue = 1;
    std::uint64_t disksLost = 0;
    time_point lastDiskLoss {};
    bool lostTooMuch = false; ///< a disk was lost while no status said that this would be survived
};

replica_network makeNetwork(const network_options& options, std::uint64_t seed);

/// Runs for that long in steps of 5 ms. @param faults strike at random, as do reads and writes if `clients`.
void run(replica_network& network, std::chrono::milliseconds span, const fault_rates& faults, bool clients);

/// Sends a write to a node. @return whether it leads and took it.
bool write(replica_network& network, std::size_t node);

/// Reads everything at a node. @return whether it served the read.
bool read(replica_network& network, std::size_t node);

/// Ends the process; a random part of its unsynced writes reaches the disk, the last one perhaps torn.
void crash(replica_network& network, std::size_t node, std::chrono::milliseconds downTime);

/// crash(), and the disk comes back empty.
void loseDisk(replica_network& network, std::size_t node, std::chrono::milliseconds downTime);

/// Drops all messages from and to the node, silently.
void cutOff(replica_network& network, std::size_t node, std::chrono::milliseconds span);

/// Ends cuts and freezes and starts every node again.
void heal(replica_network& network);

/// @return the node that serves reads now; nodes.size() if none does.
std::size_t readableLeader(replica_network& network);

/// @return the time on that node's clock.
time_point localTime(const replica_network& network, const test_node& node);

/// @return whether a leader says that losing any one disk now would be survived.
bool claimsToSurviveLoss(const replica_network& network);

/// Runs without faults until a write is acknowledged and all nodes hold the same. @return whether that came.
bool converges(replica_network& network, std::chrono::milliseconds limit);

} // namespace cuminledge::core::consensus::test
