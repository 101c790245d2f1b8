#include <catch2/catch.hpp>

#include "controller_cluster.hpp"

using namespace cuminledge;
using namespace std::chrono_literals;
using core::control_outcome;
using cuminledge::tests::controller_cluster;

namespace {

core::server_announcement makeAnnouncement(const std::string& id, const std::string& domain, std::uint64_t sequence, bool isCold = false)
{
    core::server_announcement announcement;
    announcement.backend.backend = id;
    announcement.backend.incarnation = 1;
    announcement.backend.address = id + ":80";
    announcement.backend.service = "s";
    announcement.backend.failureDomain = domain;
    announcement.backend.isCold = isCold;
    announcement.coldFor = isCold ? 3s : 0s;
    announcement.sequence = sequence;
    return announcement;
}

wire::config_update poll(controller_cluster& cluster)
{
    const auto update = cluster.ask<wire::config_update>("gw", cluster.awaitLeader(0), wire::config_poll { 1 });
    REQUIRE(update);
    return *update;
}

using domains = std::vector<std::string>;

} // namespace

TEST_CASE("An evacuation is in force once it is acknowledged, and can be taken back", "[evacuation]")
{
    controller_cluster cluster(3, 1, 5);
    cluster.control(cluster.awaitLeader(0), makeAnnouncement("s1", "a", 1));
    CHECK(cluster.control(cluster.awaitLeader(0), core::evacuation_request { 0, "a", true }).outcome == control_outcome::Done);
    CHECK(poll(cluster).evacuatedDomains == domains { "a" });
    CHECK(cluster.control(cluster.awaitLeader(0), core::evacuation_request { 0, "a", true }).outcome == control_outcome::Done); // sent again
    CHECK(cluster.control(cluster.awaitLeader(0), core::evacuation_request { 0, "a", false }).outcome == control_outcome::Done);
    CHECK(poll(cluster).evacuatedDomains.empty());
    CHECK(cluster.control(cluster.awaitLeader(0), core::evacuation_request { 0, "a", false }).outcome == control_outcome::Done); // finish without start
}

TEST_CASE("An evacuation of an unknown failure domain is refused and changes nothing", "[evacuation]")
{
    controller_cluster cluster(3, 1, 5);
    cluster.control(cluster.awaitLeader(0), makeAnnouncement("s1", "a", 1));
    CHECK(cluster.control(cluster.awaitLeader(0), core::evacuation_request { 0, "nowhere", true }).outcome == control_outcome::NotFound);
    CHECK(poll(cluster).evacuatedDomains.empty());
}

// Guards against an order that is forgotten with the leader that acknowledged it.
TEST_CASE("An evacuation outlives the leader that acknowledged it", "[evacuation]")
{
    controller_cluster cluster(3, 1, 5);
    const auto leader = cluster.awaitLeader(0);
    cluster.control(leader, makeAnnouncement("s1", "a", 1));
    REQUIRE(cluster.control(leader, core::evacuation_request { 0, "a", true }).outcome == control_outcome::Done);
    cluster.kill(leader);
    CHECK(cluster.awaitLeader(0) != leader);
    CHECK(poll(cluster).evacuatedDomains == domains { "a" });
}

// Guards against an order that is lost when all machines lose power right after the acknowledgement.
TEST_CASE("An evacuation outlives a restart of all controllers", "[evacuation]")
{
    controller_cluster cluster(3, 1, 5);
    cluster.control(cluster.awaitLeader(0), makeAnnouncement("s1", "a", 1));
    REQUIRE(cluster.control(cluster.awaitLeader(0), core::evacuation_request { 0, "a", true }).outcome == control_outcome::Done);
    for (const auto* name : { "c1", "c2", "c3" }) {
        cluster.kill(name);
    }
    for (const auto* name : { "c1", "c2", "c3" }) {
        cluster.start(name);
    }
    CHECK(poll(cluster).evacuatedDomains == domains { "a" });
}

// Answers a cold server: its announcement alone limits what all gateways send to it, until it says that it is warm.
TEST_CASE("A server that is cold is limited for every gateway until it is warm", "[cold]")
{
    controller_cluster cluster(3, 1, 5);
    wire::route_table table;
    table.version = 1;
    table.services = { { "s", 0, 0, 0, 0, 20 } };
    wire::route_rule route;
    route.name = "r";
    route.host = "h";
    route.pathPrefix = "/a/";
    route.timeout = 1s;
    route.services = { { "s", 1 } };
    table.routes = { route };
    cluster.control(cluster.awaitLeader(0), core::routes_submission { 0, table, "document" });
    cluster.control(cluster.awaitLeader(0), makeAnnouncement("s1", "a", 1, true));
    const auto cold = poll(cluster);
    REQUIRE(cold.allowances.size() == 1);
    CHECK(cold.allowances.front().requestsPerSecond <= 20);
    CHECK(cold.allowances.front().maxSent == 0);

    const auto leader = cluster.awaitLeader(0);
    cluster.kill(leader);
    CHECK(poll(cluster).allowances.size() == 1);

    cluster.control(cluster.awaitLeader(0), makeAnnouncement("s1", "a", 2));
    CHECK(poll(cluster).allowances.empty());
}
