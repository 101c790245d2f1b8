#include <catch2/catch.hpp>

#include "controller_cluster.hpp"

using namespace cuminledge;
using namespace std::chrono_literals;
using core::control_outcome;
using cuminledge::tests::controller_cluster;

namespace {

core::server_announcement makeAnnouncement(const std::string& id, std::uint64_t incarnation, std::uint64_t sequence)
{
    core::server_announcement announcement;
    announcement.backend.backend = id;
    announcement.backend.incarnation = incarnation;
    announcement.backend.address = id + ":80";
    announcement.backend.service = "s";
    announcement.backend.failureDomain = "a";
    announcement.sequence = sequence;
    return announcement;
}

wire::route_table makeTable(std::uint64_t version)
{
    wire::route_rule route;
    route.name = "r" + std::to_string(version);
    route.host = "h";
    route.pathPrefix = "/a/";
    route.timeout = 1s;
    route.services = { { "s", 1 } };
    wire::route_table table;
    table.version = version;
    table.routes = { route };
    table.services = { { "s", 0, 0, 0, 0 } };
    table.accounts = { { "alice", { "k" }, 0, 10, 20 } };
    return table;
}

core::routes_submission makeSubmission(std::uint64_t version, const std::string& document)
{
    return { 0, makeTable(version), document };
}

/// What a gateway that holds nothing is told.
wire::config_update poll(controller_cluster& cluster)
{
    const auto update = cluster.ask<wire::config_update>("gw", cluster.awaitLeader(0), wire::config_poll { 1 });
    REQUIRE(update);
    REQUIRE_FALSE(update->notLeader);
    return *update;
}

/// @return the server as gateways are told of it, if they are.
std::optional<wire::backend_record> findServer(controller_cluster& cluster, const std::string& id)
{
    for (const auto& record : poll(cluster).backends) {
        if (record.backend == id && !record.withdrawn) {
            return record;
        }
    }
    return std::nullopt;
}

std::string otherThan(const std::string& leader)
{
    return leader == "c1" ? "c2" : "c1";
}

} // namespace

TEST_CASE("A server's announcement is taken by the leader, and others name the leader", "[control]")
{
    controller_cluster cluster(3, 1, 5);
    const auto leader = cluster.awaitLeader(0);
    CHECK(cluster.control(leader, makeAnnouncement("i1", 7, 1)).outcome == control_outcome::Done);
    CHECK(findServer(cluster, "i1")->address == "i1:80");
    const auto redirected = cluster.control(otherThan(leader), makeAnnouncement("i2", 7, 1));
    CHECK(redirected.outcome == control_outcome::Redirected);
    CHECK(redirected.leader == "op-" + leader);
    CHECK_FALSE(findServer(cluster, "i2"));
}

TEST_CASE("A server that is silent past its lease is gone, and comes back when it announces itself", "[control]")
{
    controller_cluster cluster(3, 1, 5);
    const auto leader = cluster.awaitLeader(0);
    cluster.control(leader, makeAnnouncement("i1", 7, 1));
    cluster.advance(cluster.settings().announceLease + 200ms);
    CHECK_FALSE(findServer(cluster, "i1"));
    cluster.control(leader, makeAnnouncement("i1", 7, 2));
    CHECK(findServer(cluster, "i1"));
}

TEST_CASE("Late and doubled announcements change nothing", "[control]")
{
    controller_cluster cluster(3, 1, 5);
    const auto leader = cluster.awaitLeader(0);
    auto draining = makeAnnouncement("i1", 7, 5);
    draining.backend.draining = true;
    cluster.control(leader, makeAnnouncement("i1", 7, 1));
    cluster.control(leader, draining);
    SECTION("an older one of the same start")
    {
        CHECK(cluster.control(leader, makeAnnouncement("i1", 7, 2)).outcome == control_outcome::Done);
        CHECK(findServer(cluster, "i1")->draining);
    }
    SECTION("one of an earlier start")
    {
        CHECK(cluster.control(leader, makeAnnouncement("i1", 6, 99)).outcome == control_outcome::Done);
        CHECK(findServer(cluster, "i1")->draining);
    }
    SECTION("one of a later start counts")
    {
        cluster.control(leader, makeAnnouncement("i1", 8, 1));
        CHECK_FALSE(findServer(cluster, "i1")->draining);
    }
    SECTION("one that comes after the server has left")
    {
        core::server_departure departure;
        departure.backend = "i1";
        CHECK(cluster.control(leader, departure).outcome == control_outcome::Done);
        CHECK_FALSE(findServer(cluster, "i1"));
        cluster.control(leader, makeAnnouncement("i1", 7, 6));
        CHECK_FALSE(findServer(cluster, "i1"));
    }
}

TEST_CASE("An address belongs to the server that started last", "[control]")
{
    controller_cluster cluster(3, 1, 5);
    const auto leader = cluster.awaitLeader(0);
    auto later = makeAnnouncement("i2", 9, 1);
    later.backend.address = "i1:80";
    cluster.control(leader, makeAnnouncement("i1", 7, 1));
    cluster.control(leader, later);
    CHECK_FALSE(findServer(cluster, "i1"));
    CHECK(findServer(cluster, "i2"));
    cluster.control(leader, makeAnnouncement("i1", 7, 2));
    CHECK_FALSE(findServer(cluster, "i1"));
}

TEST_CASE("A new leader knows at once which servers there are, which drain and which have left", "[control]")
{
    controller_cluster cluster(3, 1, 5);
    const auto leader = cluster.awaitLeader(0);
    auto draining = makeAnnouncement("i2", 7, 1);
    draining.backend.draining = true;
    core::server_departure departure;
    departure.backend = "i3";
    cluster.control(leader, makeAnnouncement("i1", 7, 1));
    cluster.control(leader, draining);
    cluster.control(leader, makeAnnouncement("i3", 7, 1));
    cluster.control(leader, departure);
    cluster.kill(leader);
    const auto next = cluster.awaitLeader(0);
    REQUIRE(next != leader);
    CHECK(findServer(cluster, "i1"));
    CHECK(findServer(cluster, "i2")->draining);
    CHECK_FALSE(findServer(cluster, "i3"));
    cluster.control(next, makeAnnouncement("i3", 7, 9));
    CHECK_FALSE(findServer(cluster, "i3"));
}

TEST_CASE("A route table is acknowledged when it is durable, and read back as it was sent", "[control]")
{
    controller_cluster cluster(3, 1, 5);
    const auto leader = cluster.awaitLeader(0);
    CHECK(cluster.control(leader, core::routes_query {}).outcome == control_outcome::Unavailable);
    CHECK(cluster.control(leader, makeSubmission(5, "five")).outcome == control_outcome::Done);
    CHECK(cluster.control(leader, makeSubmission(5, "other")).outcome == control_outcome::Done);
    CHECK(cluster.control(leader, makeSubmission(4, "four")).outcome == control_outcome::Done);
    CHECK(cluster.control(leader, core::routes_query {}).document == "five");
    CHECK(poll(cluster).routesVersion == 5);
    cluster.kill(leader);
    CHECK(cluster.control(cluster.awaitLeader(0), core::routes_query {}).document == "five");
}

TEST_CASE("An invalid route table is refused by any controller and changes nothing", "[control]")
{
    controller_cluster cluster(3, 1, 5);
    const auto leader = cluster.awaitLeader(0);
    cluster.control(leader, makeSubmission(5, "five"));
    auto invalid = makeSubmission(6, "six");
    invalid.table.routes[0].timeout = 0ms;
    for (const auto& controller : { leader, otherThan(leader) }) {
        const auto refusal = cluster.control(controller, invalid);
        CHECK(refusal.outcome == control_outcome::Invalid);
        CHECK(refusal.message.find("timeout") != std::string::npos);
    }
    CHECK(cluster.control(leader, core::routes_query {}).document == "five");
}

TEST_CASE("A leader that is cut off answers no read of the route table", "[control]")
{
    controller_cluster cluster(3, 1, 5);
    const auto leader = cluster.awaitLeader(0);
    cluster.control(leader, makeSubmission(5, "five"));
    cluster.isLost = [&](const cuminledge::tests::sent_message& m) { return m.from == leader || m.to == leader; };
    cluster.advance(cluster.settings().consensus.electionTimeoutMax * 3);
    CHECK(cluster.control(leader, core::routes_query {}).outcome != control_outcome::Done);
}

TEST_CASE("A controller that starts again with other seeds keeps its place in its groups", "[control]")
{
    controller_cluster cluster(3, 1, 5);
    const auto leader = cluster.awaitLeader(0);
    cluster.control(leader, makeSubmission(5, "five"));
    const auto restarted = otherThan(leader);
    cluster.kill(restarted);
    auto& seeds = cluster.settings();
    seeds.isSeeded = true;
    std::erase_if(seeds.controllers, [&](const auto& member) { return member.name == restarted; });
    for (auto& member : seeds.controllers) {
        member.operatorAddress = member.name + ":80";
    }
    cluster.start(restarted);
    CHECK_FALSE(cluster.stateOf(restarted).isStandby);
    for (const std::string name : { "c1", "c2", "c3" }) {
        if (name != leader && name != restarted) {
            cluster.kill(name);
        }
    }
    cluster.advance(3s);
    CHECK(cluster.control(cluster.awaitLeader(0), makeSubmission(6, "six")).outcome == control_outcome::Done);
}
