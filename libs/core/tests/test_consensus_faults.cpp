#include <catch2/catch.hpp>

#include <algorithm>

#include <fmt/format.h>

#include "replica_network.hpp"

using namespace cuminledge;
using namespace cuminledge::core;
using namespace cuminledge::core::consensus;
using namespace cuminledge::core::consensus::test;
using namespace std::chrono_literals;

namespace {

replica_network runningGroup(std::uint64_t seed, const network_options& options = {})
{
    auto network = makeNetwork(options, seed);
    REQUIRE(converges(network, 5000ms));
    return network;
}

std::uint64_t leadershipsLost(const replica_network& network)
{
    std::uint64_t sum = 0;
    for (const auto& node : network.nodes) {
        sum += node.process->counters.leadershipsLost;
    }
    return sum;
}

/// Sends a write and a read to every node every 5 ms.
void writeAndReadAtAllNodes(replica_network& network, std::chrono::milliseconds span)
{
    for (auto passed = 0ms; passed < span; passed += 5ms) {
        run(network, 5ms, {}, false);
        for (std::size_t i = 0; i < network.nodes.size(); ++i) {
            write(network, i);
            read(network, i);
        }
    }
}

/// Sends writes to the leader until `count` more are acknowledged, with a bounded number pending.
void writeMany(replica_network& network, std::uint64_t count)
{
    constexpr std::size_t maxPending = 20;
    const std::uint64_t goal = network.observed.acknowledged + count;
    for (int tries = 0; network.observed.acknowledged < goal && tries < 100000; ++tries) {
        const std::size_t leader = readableLeader(network);
        while (leader < network.nodes.size()) {
            const std::size_t waiting = network.nodes[leader].pending.size();
            if (waiting >= maxPending || network.observed.acknowledged + waiting >= goal) {
                break;
            }
            write(network, leader);
        }
        run(network, 10ms, {}, false);
    }
    REQUIRE(network.observed.acknowledged >= goal);
}

std::string joinLines(const std::vector<std::string>& violations)
{
    std::string text;
    for (const auto& violation : violations) {
        text += violation + "\n";
    }
    return text;
}

} // namespace

//------------------------------------------------------------------------------------------------------------------
// Leadership
//------------------------------------------------------------------------------------------------------------------

/// A follower restarts after it acknowledged a heartbeat, and a third replica requests its vote while the leader's
/// lease is valid. If the follower votes, the old leader serves stale reads.
/// @return the number of violations over all seeds.
static std::size_t staleReadsAfterRestart(const network_options& options)
{
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        auto network = runningGroup(seed, options);
        const std::size_t leader = readableLeader(network);
        const std::size_t follower = (leader + 1) % 3;
        const std::size_t third = (leader + 2) % 3;
        isolate(network, third, 700ms);
        run(network, 700ms, {}, false);
        isolate(network, leader, 2000ms);
        crash(network, follower, 5ms);
        writeAndReadAtAllNodes(network, 500ms);
        violations += network.observed.violations.size();
    }
    return violations;
}

TEST_CASE("a restarted follower gives no vote within the lease it granted", "[consensus]")
{
    CHECK(staleReadsAfterRestart({}) == 0);
    network_options variant;
    variant.guards.voteBanAfterStart = false;
    CHECK(staleReadsAfterRestart(variant) > 0);
}

static std::uint64_t leadershipsLostAfterIsolation(const network_options& options)
{
    std::uint64_t lost = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto network = runningGroup(seed, options);
        const std::uint64_t before = leadershipsLost(network);
        isolate(network, (readableLeader(network) + 1) % 3, 3000ms);
        run(network, 5000ms, {}, true);
        lost += leadershipsLost(network) - before;
        CHECK(network.observed.violations.empty());
    }
    return lost;
}

TEST_CASE("a follower that was isolated does not depose the leader when it reconnects", "[consensus]")
{
    CHECK(leadershipsLostAfterIsolation({}) == 0);
    network_options variant;
    variant.guards.preVote = false;
    CHECK(leadershipsLostAfterIsolation(variant) > 0);
}

static bool leadsAfterIsolation(const network_options& options)
{
    auto network = runningGroup(3, options);
    const std::size_t leader = readableLeader(network);
    isolate(network, leader, 5000ms);
    run(network, 2000ms, {}, false);
    return isLeader(*network.nodes[leader].process);
}

TEST_CASE("an isolated leader steps down by itself", "[consensus]")
{
    CHECK_FALSE(leadsAfterIsolation({}));
    network_options variant;
    variant.guards.checkQuorum = false;
    CHECK(leadsAfterIsolation(variant));
}

TEST_CASE("a leader isolated for 10 minutes serves no stale read and reverts no committed write", "[consensus]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 6));
    network_options options;
    options.settings = smallLimitSettings();
    auto network = runningGroup(seed, options);
    const std::size_t isolated = readableLeader(network);
    isolate(network, isolated, 600s);
    std::uint64_t servedByIsolated = 0;
    const std::uint64_t acknowledgedBefore = network.observed.acknowledged;
    for (int second = 0; second < 600; ++second) {
        run(network, 1000ms, {}, true);
        servedByIsolated += read(network, isolated) ? 1 : 0;
        write(network, isolated);
    }
    INFO(joinLines(network.observed.violations));
    CHECK(servedByIsolated == 0);
    CHECK(network.observed.acknowledged > acknowledgedBefore + 1000);
    CHECK(converges(network, 5000ms));
    CHECK(network.nodes[isolated].process->counters.snapshotsInstalled >= 1);
    CHECK(network.observed.violations.empty());
}

TEST_CASE("a leader transfers its leadership immediately on a graceful shutdown", "[consensus]")
{
    auto network = runningGroup(4);
    const std::size_t leader = readableLeader(network);
    run(network, 100ms, {}, false);
    auto& node = network.nodes[leader];
    replica_output out;
    REQUIRE(transferLeadership(*node.process, localTime(network, node), out));
    REQUIRE(out.messages.size() == 1);
    CHECK(out.lostLeadership);
    CHECK_FALSE(mayRead(*node.process, localTime(network, node)));
    const std::string expectedLeader = controllerOf(out.messages.front().to);
    network.messages.push_back({ network.now, out.messages.front() });
    run(network, 100ms, {}, false);
    const std::size_t next = readableLeader(network);
    REQUIRE(next < network.nodes.size());
    CHECK(network.nodes[next].name == expectedLeader);
}

//------------------------------------------------------------------------------------------------------------------
// Lost disks
//------------------------------------------------------------------------------------------------------------------

TEST_CASE("a second disk loss at any step of a repair loses no committed write, or the group stops", "[consensus]")
{
    const bool secondIsLeader = GENERATE(false, true);
    std::size_t survived = 0;
    std::size_t stopped = 0;
    for (std::uint64_t repairStep = 0; repairStep < 160; ++repairStep) {
        network_options options;
        options.settings = smallLimitSettings();
        auto network = runningGroup(repairStep + 1, options);
        writeMany(network, 30);
        const std::size_t leader = readableLeader(network);
        loseDisk(network, (leader + 1) % 3, 50ms);
        run(network, 5ms * static_cast<int>(repairStep), {}, true);
        loseDisk(network, secondIsLeader ? leader : (leader + 2) % 3, 50ms);
        const bool mustSurvive = !network.exceededFaultTolerance;
        const bool serves = converges(network, 5000ms);
        INFO("step " << repairStep << ", seed " << repairStep + 1 << "\n"
                     << joinLines(network.observed.violations));
        CHECK(network.observed.violations.empty());
        CHECK((serves || !mustSurvive));
        (serves ? survived : stopped) += 1;
    }
    // Both outcomes must occur; otherwise the steps don't cover the whole repair.
    CHECK(survived > 0);
    CHECK(stopped > 0);
}

// Guards against a write that was acknowledged and is lost with a disk, because the other replicas had not synced it yet.
TEST_CASE("a disk loss with a power loss of all other nodes at the same moment loses no committed write", "[consensus]")
{
    constexpr std::uint64_t seeds = 150;
    const auto size = GENERATE(as<std::size_t>(), 3, 5);
    std::size_t mustSurvive = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        network_options options;
        options.size = size;
        options.settings = smallLimitSettings();
        auto network = runningGroup(seed, options);
        run(network, 5ms * static_cast<int>(seed % 40), {}, true);
        const std::size_t victim = seed % size;
        loseDisk(network, victim, 50ms);
        for (std::size_t i = 0; i < size; ++i) {
            if (i != victim) {
                crash(network, i, 5ms * static_cast<int>((seed * (i + 1)) % 60));
            }
        }
        const bool isOwed = !network.exceededFaultTolerance;
        mustSurvive += isOwed ? 1 : 0;
        const bool serves = converges(network, 10000ms);
        INFO(size << " nodes, seed " << seed << "\n"
                  << joinLines(network.observed.violations));
        CHECK(network.observed.violations.empty());
        CHECK((serves || !isOwed));
    }
    CHECK(mustSurvive > seeds / 2);
}

TEST_CASE("after a repair the status reports that the next disk loss is survived, and the group survives it", "[consensus]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 11));
    network_options options;
    options.settings = smallLimitSettings();
    auto network = runningGroup(seed, options);
    writeMany(network, 100);
    for (std::size_t loss = 0; loss < 6; ++loss) {
        run(network, 3000ms, {}, true);
        REQUIRE(claimsToSurviveLoss(network));
        const std::size_t victim = loss % 3;
        const std::string oldId = network.nodes[victim].process->id;
        loseDisk(network, victim, 100ms);
        REQUIRE(converges(network, 10000ms));
        run(network, 1000ms, {}, true);
        const auto& members = configurationOf(*network.nodes[victim].process).members;
        CHECK(members.size() == 3);
        CHECK(std::count(members.begin(), members.end(), oldId) == 0);
    }
    CHECK_FALSE(network.exceededFaultTolerance);
    INFO(joinLines(network.observed.violations));
    CHECK(network.observed.violations.empty());
}

/// A new controller is added while one of three is isolated, and is then isolated too. If the learner counted as a
/// voter, no quorum would be left. @return whether a write still commits.
static bool commitsWhileLearnerLags(const network_options& options)
{
    auto network = runningGroup(5, options);
    writeMany(network, 50);
    const std::size_t leader = readableLeader(network);
    test_node newNode;
    newNode.name = "c4";
    newNode.disk.image.isNew = true;
    newNode.disk.image.diskIncarnation = 77;
    network.nodes.push_back(newNode);
    for (auto& node : network.nodes) {
        if (node.process) {
            node.process->initialMembers.emplace_back("c4");
        }
    }
    isolate(network, (leader + 1) % 3, 60s);
    const auto& serving = *network.nodes[leader].process;
    while (configurationOf(serving).learners.empty() && configurationOf(serving).members.size() == 3) {
        run(network, 5ms, {}, false);
    }
    isolate(network, 3, 60s);
    run(network, 200ms, {}, false);
    const std::uint64_t before = network.observed.acknowledged;
    write(network, leader);
    run(network, 1000ms, {}, false);
    CHECK(network.observed.violations.empty());
    return network.observed.acknowledged > before;
}

TEST_CASE("a learner that has not caught up does not delay commits", "[consensus]")
{
    CHECK(commitsWhileLearnerLags({}));
    network_options variant;
    variant.guards.promoteOnlyCaughtUp = false;
    CHECK_FALSE(commitsWhileLearnerLags(variant));
}

//------------------------------------------------------------------------------------------------------------------
// Catching up, invalid input, disk failure
//------------------------------------------------------------------------------------------------------------------

TEST_CASE("with a snapshot, the cost of catching up does not grow with the number of missed entries", "[consensus]")
{
    network_options options;
    options.settings.snapshotAfterEntries = 200;
    options.settings.retainedEntries = 50;
    const std::uint64_t missed = GENERATE(100, 1000, 10000);
    auto network = runningGroup(6, options);
    const std::size_t absent = (readableLeader(network) + 1) % 3;
    crash(network, absent, 3600s);
    writeMany(network, missed);
    network.nodes[absent].entriesReceived = 0;
    REQUIRE(converges(network, 5000ms));
    const auto& node = network.nodes[absent];
    const bool needsSnapshot = missed > options.settings.snapshotAfterEntries;
    CHECK((node.process->counters.snapshotsInstalled > 0) == needsSnapshot);
    CHECK(node.entriesReceived <= 2 * options.settings.snapshotAfterEntries);
    CHECK(network.observed.violations.empty());
}

TEST_CASE("a replica accepts only valid messages for its own disk incarnation", "[consensus]")
{
    auto network = runningGroup(7);
    auto& node = network.nodes[0];
    auto& r = *node.process;
    const auto status = statusOf(r, localTime(network, node));
    std::mt19937_64 random(8);
    for (int i = 0; i < 2000; ++i) {
        std::string body(std::uniform_int_distribution<std::size_t>(0, 40)(random), '\0');
        std::generate(body.begin(), body.end(), [&random] { return static_cast<char>(random()); });
        replica_output out;
        onMessage(r, { 0, "c2#1", r.id, body }, localTime(network, node), out);
        CHECK(out.writes.empty());
    }
    replica_output out;
    const wire::consensus_message vote = wire::vote_request { 1000, 1000, 1000, false, true };
    onMessage(r, { 0, "c2#1", "c1#00000000000000ff", wire::encodeVariant(vote) }, localTime(network, node), out);
    wire::append_request append;
    append.term = r.term;
    append.previousIndex = r.commitIndex - 1;
    append.entries = { { r.commitIndex, r.term + 1, wire::log_entry_kind::Command, "other" } };
    onMessage(r, { 0, "c2#1", r.id, wire::encodeVariant(wire::consensus_message(append)) }, localTime(network, node),
        out);
    CHECK(out.writes.empty());
    CHECK(out.messages.empty());
    CHECK(statusOf(r, localTime(network, node)).commitIndex == status.commitIndex);
    CHECK(r.counters.messagesInvalid > 0);
}

TEST_CASE("a replica stops when its disk fails, and the others continue", "[consensus]")
{
    auto network = runningGroup(9);
    const std::size_t leader = readableLeader(network);
    auto& node = network.nodes[leader];
    replica_output out;
    REQUIRE(propose(*node.process, "k1=x", localTime(network, node), out));
    replica_output failed;
    onStorageFailed(*node.process, { 0, "no space left" }, failed);
    CHECK(failed.lostLeadership);
    node.pending.clear();
    node.disk.unsynced.clear();
    replica_output late;
    onPersisted(*node.process, { 0, node.process->lastTicket }, localTime(network, node), late);
    onTick(*node.process, localTime(network, node), network.random, late);
    CHECK(late.messages.empty());
    CHECK(propose(*node.process, "k1=y", localTime(network, node), late).error().code == error_code::Storage);
    CHECK(statusOf(*node.process, localTime(network, node)).isStopped);
    writeMany(network, 5);
    CHECK(network.observed.violations.empty());
}

namespace {

std::size_t fewestVoters(const replica_network& network)
{
    std::size_t fewest = network.nodes.size();
    for (const auto& node : network.nodes) {
        const auto count = node.process ? configurationOf(*node.process).members.size() : 0;
        fewest = count == 0 ? fewest : std::min(fewest, count);
    }
    return fewest;
}

bool isSendingState(const replica_network& network)
{
    return std::any_of(network.nodes.begin(), network.nodes.end(),
        [](const test_node& node) { return node.process && node.process->outgoing.index != 0; });
}

} // namespace

TEST_CASE("a silent voter is replaced without the group having fewer voters meanwhile", "[consensus]")
{
    // A voter that was only slow counted for nothing between its removal and the learner's promotion: the loss of
    // another one in between stopped the group.
    network_options options;
    options.size = 5;
    options.initialMemberCount = 3;
    options.settings = smallLimitSettings();
    options.settings.admitsOthers = true;
    options.settings.voters = 3;
    options.settings.voterReplacementTimeout = 700ms;
    auto network = runningGroup(1, options);
    const auto leader = readableLeader(network);
    const auto members = configurationOf(*network.nodes[leader].process).members;
    REQUIRE(members.size() == 3);
    std::size_t voter = 0;
    while (voter == leader || std::find(members.begin(), members.end(), network.nodes[voter].process->id) == members.end()) {
        ++voter;
    }
    const auto silent = network.nodes[voter].process->id;
    isolate(network, voter, 3000ms);
    std::size_t fewest = network.nodes.size();
    for (auto passed = 0ms; passed < 2500ms; passed += 5ms) {
        run(network, 5ms, {}, false);
        fewest = std::min(fewest, fewestVoters(network));
    }
    CHECK(fewest == 3);
    const auto after = configurationOf(*network.nodes[readableLeader(network)].process).members;
    CHECK(after.size() == 3);
    CHECK(std::find(after.begin(), after.end(), silent) == after.end());
}

TEST_CASE("the whole state is in memory a second time only while a follower receives it", "[consensus]")
{
    network_options options;
    options.settings = smallLimitSettings();
    auto network = runningGroup(1, options);
    const auto leader = readableLeader(network);
    const std::size_t follower = leader == 0 ? 1 : 0;
    isolate(network, follower, 60'000ms);
    writeMany(network, 200);
    run(network, 3000ms, {}, false);
    CHECK_FALSE(isSendingState(network)); // not for a follower that does not answer
    heal(network);
    bool wasSent = false;
    for (auto passed = 0ms; passed < 5000ms; passed += 5ms) {
        run(network, 5ms, {}, false);
        wasSent = wasSent || isSendingState(network);
    }
    CHECK(wasSent);
    CHECK_FALSE(isSendingState(network));
    CHECK(network.nodes[follower].state == network.nodes[leader].state);
    CHECK(network.nodes[follower].process->counters.snapshotsInstalled > 0);
}
