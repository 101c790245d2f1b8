#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <core/consensus/consensus.hpp>

#include "controller_cluster.hpp"

using namespace cuminledge;
using namespace std::chrono_literals;
using cuminledge::tests::controller_cluster;

/// Deployments whose settings name only some of the controllers: joining, replacement at another address, return.

namespace {

const std::vector<std::string> seedNames { "10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7" };

core::controller::controller_settings seededSettings()
{
    core::controller::controller_settings settings;
    for (const auto& name : seedNames) {
        settings.controllers.push_back({ name, name, name.substr(0, name.rfind(':')) + ":8" });
    }
    settings.isSeeded = true;
    settings.groupCount = 1;
    settings.consensus.admitsOthers = true;
    settings.consensus.voters = 5;
    return settings;
}

core::controller::controller_settings joiningSettings()
{
    auto settings = seededSettings();
    settings.consensus.formsGroup = false;
    return settings;
}

/// @return the controllers that vote in the group, as its leader holds it.
std::set<std::string> votersOf(controller_cluster& cluster, std::uint32_t group)
{
    std::set<std::string> names;
    const auto& replica = cluster.stateOf(cluster.awaitLeader(group)).groups.at(group).replica;
    for (const auto& id : core::consensus::configurationOf(replica).members) {
        names.insert(core::consensus::controllerOf(id));
    }
    return names;
}

core::routes_submission makeSubmission(std::uint64_t version)
{
    core::routes_submission submission;
    submission.table.version = version;
    submission.document = "document " + std::to_string(version);
    return submission;
}

/// @return what the operator reads back from whoever leads; empty if nobody answered.
std::string readBack(controller_cluster& cluster)
{
    return cluster.control(cluster.awaitLeader(0), core::routes_query {}).document;
}

bool accept(controller_cluster& cluster, std::uint64_t version)
{
    const auto reply = cluster.control(cluster.awaitLeader(0), makeSubmission(version));
    return reply.outcome == core::control_outcome::Done;
}

} // namespace

TEST_CASE("controllers behind the seeds join, and the group then survives two losses", "[controller][directory]")
{
    auto names = seedNames;
    names.insert(names.end(), { "10.0.0.4:7", "10.0.0.5:7" });
    controller_cluster cluster(names, seededSettings(), 1);
    cluster.advance(3s);
    CHECK(votersOf(cluster, 0) == std::set(names.begin(), names.end()));
    CHECK(votersOf(cluster, 1).size() == 5);
    REQUIRE(accept(cluster, 1));
    cluster.kill("10.0.0.1:7");
    cluster.kill("10.0.0.3:7");
    cluster.advance(1s);
    CHECK(accept(cluster, 2));
    CHECK(readBack(cluster) == "document 2");
}

TEST_CASE("a fourth voter waits for a fifth", "[controller][directory]")
{
    controller_cluster cluster(seedNames, seededSettings(), 2);
    cluster.awaitLeader(0);
    cluster.add("10.0.0.4:7", joiningSettings());
    cluster.advance(3s);
    CHECK(votersOf(cluster, 0).size() == 3);
    cluster.add("10.0.0.5:7", joiningSettings());
    cluster.advance(3s);
    CHECK(votersOf(cluster, 0).size() == 5);
}

TEST_CASE("a controller at another address takes the place of one that is gone", "[controller][directory]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        controller_cluster cluster(seedNames, seededSettings(), seed);
        const auto lost = seed % 2 == 0 ? cluster.awaitLeader(0) : seedNames[seed % 3];
        cluster.advance(1s);
        REQUIRE(accept(cluster, 1));
        cluster.kill(lost);
        cluster.advance(1s);
        cluster.add("10.0.0.9:7", joiningSettings());
        cluster.advance(4s);
        INFO("seed " << seed);
        CHECK(votersOf(cluster, 0).contains("10.0.0.9:7"));
        CHECK_FALSE(votersOf(cluster, 0).contains(lost));
        CHECK(votersOf(cluster, 1).contains("10.0.0.9:7"));
        // A second loss after the repair leaves the group able to serve.
        const auto second = *std::find_if(
            seedNames.begin(), seedNames.end(), [&lost](const std::string& name) { return name != lost; });
        cluster.kill(second);
        cluster.advance(2s);
        CHECK(readBack(cluster) == "document 1");
        CHECK(accept(cluster, 2));
    }
}

TEST_CASE("a voter that was replaced while it was down comes back as a spare", "[controller][directory]")
{
    controller_cluster cluster(seedNames, seededSettings(), 3);
    cluster.advance(1s);
    REQUIRE(accept(cluster, 1));
    cluster.kill(seedNames[0]);
    cluster.add("10.0.0.9:7", joiningSettings());
    cluster.advance(5s);
    REQUIRE_FALSE(votersOf(cluster, 0).contains(seedNames[0]));
    cluster.start(seedNames[0]);
    cluster.advance(3s);
    const auto& replica = cluster.stateOf(cluster.awaitLeader(0)).groups.at(0).replica;
    const auto& learners = core::consensus::configurationOf(replica).learners;
    REQUIRE(learners.size() == 1);
    CHECK(core::consensus::controllerOf(learners.front()) == seedNames[0]);
    cluster.kill("10.0.0.9:7");
    cluster.advance(4s);
    CHECK(votersOf(cluster, 0) == std::set(seedNames.begin(), seedNames.end()));
    CHECK(readBack(cluster) == "document 1");
}

TEST_CASE("controllers that may not form a group wait for one", "[controller][directory]")
{
    controller_cluster cluster(seedNames, joiningSettings(), 4);
    cluster.advance(5s);
    CHECK_FALSE(cluster.leaderOf(0).has_value());
}

TEST_CASE("a standby is told of controllers that its settings don't name", "[controller][directory]")
{
    auto names = seedNames;
    names.push_back("10.0.0.4:7");
    names.push_back("10.0.0.5:7");
    controller_cluster cluster(names, seededSettings(), 5);
    cluster.advance(3s);
    auto standby = joiningSettings();
    standby.hostsGroups = false;
    cluster.add("storage-1", standby);
    cluster.advance(1s);
    CHECK(findController(cluster.stateOf("storage-1").directory, "10.0.0.5:7") != nullptr);
    CHECK(cluster.stateOf("10.0.0.5:7").peerRoles.contains("storage-1"));
    CHECK_FALSE(votersOf(cluster, 0).contains("storage-1"));
    CHECK(cluster.stateOf("storage-1").groups.empty());
}

TEST_CASE("processes are told when the controllers change", "[controller][directory]")
{
    controller_cluster cluster(seedNames, seededSettings(), 6);
    const auto leader = cluster.awaitLeader(0);
    cluster.happen(leader, core::peer_connected { "gw", "gateway" });
    cluster.advance(100ms);
    const auto first = cluster.take<wire::controller_directory>("gw");
    REQUIRE(first);
    CHECK(first->controllers.size() == 3);
    cluster.add("10.0.0.4:7", joiningSettings());
    cluster.advance(1s);
    const auto second = cluster.take<wire::controller_directory>("gw");
    REQUIRE(second);
    CHECK(second->index > first->index);
    CHECK(std::count(second->controllers.begin(), second->controllers.end(), "10.0.0.4:7") == 1);
}

TEST_CASE("an older directory does not replace a newer one", "[controller][directory]")
{
    controller_cluster cluster(seedNames, seededSettings(), 7);
    cluster.advance(1s);
    auto& state = cluster.stateOf(seedNames[0]);
    cluster.happen(seedNames[0], core::peer_message { seedNames[1], 1, wire::controller_directory { 900, { "10.0.0.8:7" } } });
    REQUIRE(findController(state.directory, "10.0.0.8:7") != nullptr);
    cluster.happen(seedNames[0], core::peer_message { seedNames[1], 1, wire::controller_directory { 800, { "10.0.0.9:7" } } });
    CHECK(findController(state.directory, "10.0.0.9:7") == nullptr);
    // A configuration that this controller applies late is older, too.
    cluster.add("10.0.0.4:7", joiningSettings());
    cluster.advance(1s);
    CHECK(state.directory.index == 900);
    CHECK(findController(state.directory, "10.0.0.8:7") != nullptr);
}

TEST_CASE("only controllers are believed about controllers", "[controller][directory]")
{
    controller_cluster cluster(seedNames, seededSettings(), 8);
    cluster.advance(1s);
    cluster.happen(seedNames[0], core::peer_connected { "gw", "gateway" });
    cluster.happen(seedNames[0], core::peer_message { "gw", 1, wire::controller_directory { 900, { "10.0.0.8:7" } } });
    CHECK(findController(cluster.stateOf(seedNames[0]).directory, "10.0.0.8:7") == nullptr);
}

TEST_CASE("settings with seeds say who votes and who may form a group", "[controller][directory]")
{
    const auto document = parseJson(
        R"({"seeds": ["10.0.0.1:8"], "peer_port": 7, "bootstrap": false, "tolerated_losses": 3, "hosts_groups": false})",
        "test");
    REQUIRE(document);
    std::vector<json_fault> faults;
    json_object_reader reader(*document, "$.controller", faults);
    const auto settings = core::controller::readSettings(reader);
    CHECK(faults.empty());
    CHECK(settings.controllers.front().name == "10.0.0.1:7");
    CHECK(settings.consensus.admitsOthers);
    CHECK_FALSE(settings.consensus.formsGroup);
    CHECK(settings.consensus.voters == 7);
    CHECK_FALSE(settings.hostsGroups);
}
