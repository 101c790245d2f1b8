#include <core/controller/controller.hpp>

#include <algorithm>
#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "controller_cluster.hpp"

using namespace cuminledge;
using namespace std::chrono_literals;
using cuminledge::tests::controller_cluster;

namespace {

const std::string manifestOne = R"({"number": 1,
    "client_accounts": [{"id": "a", "rate_per_second": 100, "burst": 50}],
    "routes": [{"name": "r", "client_accounts": "all", "models": [{"model": "m"}], "max_tokens": 10,
        "budget_tokens": 100, "max_turns": 3}]})";

Json::Value parameters(std::initializer_list<std::pair<std::string, Json::Value>> members)
{
    Json::Value value(Json::objectValue);
    for (const auto& [name, member] : members) {
        value[name] = member;
    }
    return value;
}

Json::Value bodyOf(const core::reply_to_operator& reply)
{
    return *parseJson(reply.body, "test");
}

void accept(controller_cluster& cluster, const std::string& document)
{
    const auto reply = cluster.call(cluster.awaitLeader(0), "manifest.accept", parameters({ { "document", document } }));
    INFO(reply.body);
    REQUIRE(reply.ok);
}

void issue(controller_cluster& cluster, const std::string& key)
{
    const auto reply = cluster.call(cluster.awaitLeader(0), "key.issue",
        parameters({ { "key", key }, { "account", "a" }, { "salt", "s" }, { "hash", "h" } }));
    INFO(reply.body);
    REQUIRE(reply.ok);
}

wire::config_update poll(controller_cluster& cluster, const wire::config_poll& held = {})
{
    const auto update = cluster.ask<wire::config_update>("gw", cluster.awaitLeader(0), held);
    REQUIRE(update);
    REQUIRE_FALSE(update->notLeader);
    return *update;
}

wire::config_poll pollAfter(const wire::config_update& update)
{
    return { 0, update.manifestNumber, update.keyRevision, update.membershipEpoch, update.membershipVersion,
        update.quarantineRevision };
}

wire::announce_backend announcement(const std::string& backend, std::uint64_t incarnation, bool leaving = false)
{
    wire::announce_backend message;
    message.backend.backend = backend;
    message.backend.incarnation = incarnation;
    message.backend.models = { "m" };
    message.leaving = leaving;
    return message;
}

wire::announce_response announce(controller_cluster& cluster, const wire::announce_backend& message)
{
    const auto response = cluster.ask<wire::announce_response>("sidecar", cluster.awaitLeader(0), message);
    REQUIRE(response);
    return *response;
}

} // namespace

TEST_CASE("a manifest is accepted and reaches a gateway with its next poll, under a lease")
{
    controller_cluster cluster(3, 2, 1);
    accept(cluster, manifestOne);
    const auto update = poll(cluster);
    CHECK(update.manifestNumber == 1);
    CHECK(update.manifest == manifestOne);
    CHECK(update.lease == 2000ms);
    CHECK(update.groupCount == 2);
    CHECK(poll(cluster, pollAfter(update)).manifest.empty());
}

TEST_CASE("a faulty manifest is refused with every fault's path")
{
    controller_cluster cluster(3, 2, 2);
    const auto reply = cluster.call(cluster.awaitLeader(0), "manifest.accept",
        parameters({ { "document", R"({"number": 1, "client_accounts": [], "extra": 1})" } }));
    CHECK_FALSE(reply.ok);
    CHECK(bodyOf(reply)["code"] == "invalid_argument");
    CHECK(bodyOf(reply)["faults"].size() == 2);
}

TEST_CASE("a controller that does not lead names the one that does")
{
    controller_cluster cluster(3, 2, 3);
    const auto leader = cluster.awaitLeader(0);
    cluster.advance(200ms);
    const std::string other = leader == "c1" ? "c2" : "c1";
    const auto reply = cluster.call(other, "manifest.show", Json::objectValue);
    CHECK_FALSE(reply.ok);
    CHECK(bodyOf(reply)["code"] == "not_leader");
    CHECK(bodyOf(reply)["leader"] == leader);
    CHECK(bodyOf(reply)["leader_address"] == "op-" + leader);
    const auto redirected = cluster.ask<wire::config_update>("gw", other, wire::config_poll {});
    REQUIRE(redirected);
    CHECK(redirected->notLeader);
    CHECK(redirected->leader == leader);
}

TEST_CASE("a key that is issued or withdrawn is in the next update, and others are not")
{
    controller_cluster cluster(3, 2, 4);
    accept(cluster, manifestOne);
    issue(cluster, "k1");
    issue(cluster, "k2");
    const auto first = poll(cluster);
    CHECK(first.keys.size() == 2);
    const auto reply = cluster.call(cluster.awaitLeader(0), "key.withdraw", parameters({ { "key", "k1" } }));
    REQUIRE(reply.ok);
    const auto second = poll(cluster, pollAfter(first));
    REQUIRE(second.keys.size() == 1);
    CHECK(second.keys[0].key == "k1");
    CHECK(second.keys[0].withdrawn);
    CHECK_FALSE(second.keysComplete);
    CHECK(poll(cluster, pollAfter(second)).keys.empty());
}

TEST_CASE("a program's turn and a call go through the leaders of their groups")
{
    controller_cluster cluster(3, 4, 5);
    const auto group = core::groupOfProgram("p", 4);
    REQUIRE(cluster.run(group, wire::open_program { "p", "a", "r", 100, 3, 10s }));
    const auto begun = cluster.run(group, wire::begin_turn { "p", "a", 1, "a1", "d", 5, 5 });
    REQUIRE(begun);
    CHECK(std::holds_alternative<wire::turn_begun>(*begun));
    const auto committed = cluster.run(group, wire::commit_turn { "p", "a", 1, "a1", "[]", "{}", "stop", 5, 5, "e1" });
    REQUIRE(committed);
    CHECK(std::get<wire::program_status>(*committed).usedTokens == 10);
    const auto history = cluster.read(group, wire::read_history { "p", "a", 1 });
    REQUIRE(history);
    CHECK(std::get<wire::history>(*history).turns.size() == 1);

    const auto callGroup = core::groupOfCall("a", "call-1", 4);
    REQUIRE(cluster.run(callGroup, wire::record_call { "a", "call-1", "", "s", "o", "d", "a1" }));
    REQUIRE(cluster.run(callGroup, wire::dispatch_call { "a", "call-1", "a1", "s1", 1 }));
    const auto settled = cluster.run(callGroup, wire::settle_call { "a", "call-1", "a1", wire::call_state::Done, 200, "x" });
    REQUIRE(settled);
    CHECK(std::get<wire::call_status>(*settled).state == wire::call_state::Done);
}

TEST_CASE("peers may not give operators' commands, nor commands of another group")
{
    controller_cluster cluster(1, 2, 6);
    const auto manifest = cluster.run(0, wire::accept_manifest { 1, "d", "x" });
    REQUIRE(manifest);
    CHECK(std::holds_alternative<wire::refused>(*manifest));
    const auto wrong = 3 - core::groupOfProgram("p", 2);
    const auto opened = cluster.run(wrong, wire::open_program { "p", "a", "r", 100, 3, 10s });
    REQUIRE(opened);
    CHECK(std::holds_alternative<wire::refused>(*opened));
}

TEST_CASE("a backend server is announced, drained, and gone when its lease lapses or it leaves")
{
    controller_cluster cluster(3, 1, 7);
    cluster.awaitLeader(0);
    cluster.advance(5s);
    CHECK(announce(cluster, announcement("e1", 5)).accepted);
    CHECK(announce(cluster, announcement("e2", 5)).accepted);
    cluster.advance(100ms);
    const auto again = announce(cluster, announcement("e1", 5));
    CHECK(again.fencingNumber > 0);
    CHECK_FALSE(announce(cluster, announcement("e1", 4)).accepted);
    const auto update = poll(cluster);
    CHECK(update.membershipComplete);
    CHECK(update.backends.size() == 2);

    REQUIRE(cluster.call(cluster.awaitLeader(0), "backend.drain", parameters({ { "backend", "e1" } })).ok);
    const auto drained = poll(cluster, pollAfter(update));
    REQUIRE(drained.backends.size() == 1);
    CHECK(drained.backends[0].draining);
    CHECK(announce(cluster, announcement("e1", 5)).drainOrdered);

    CHECK(announce(cluster, announcement("e1", 5, true)).accepted);
    const auto left = poll(cluster, pollAfter(drained));
    REQUIRE(left.backends.size() == 1);
    CHECK(left.backends[0].backend == "e1");
    CHECK(left.backends[0].withdrawn);
    announce(cluster, announcement("e1", 5));
    cluster.advance(2100ms);
    const auto lapsed = poll(cluster, pollAfter(left));
    REQUIRE(lapsed.backends.size() == 1);
    CHECK(lapsed.backends[0].backend == "e2");
    CHECK(lapsed.backends[0].withdrawn);
    CHECK(announce(cluster, announcement("e1", 6)).accepted);
}

TEST_CASE("a new leader of group 0 drops no backend server before sidecars had time to announce themselves")
{
    controller_cluster cluster(3, 1, 8);
    const auto first = cluster.awaitLeader(0);
    cluster.advance(5s);
    announce(cluster, announcement("e1", 5));
    announce(cluster, announcement("e2", 5));
    const auto held = poll(cluster);
    cluster.kill(first);
    cluster.advance(2s);
    announce(cluster, announcement("e1", 5));
    const auto early = poll(cluster, pollAfter(held));
    CHECK_FALSE(early.membershipComplete);
    CHECK(early.membershipEpoch == held.membershipEpoch);
    CHECK(early.backends.size() == 1);
    for (int i = 0; i < 5; ++i) {
        cluster.advance(1s);
        announce(cluster, announcement("e1", 5));
    }
    const auto late = poll(cluster, pollAfter(early));
    CHECK(late.membershipComplete);
    CHECK(late.membershipEpoch != held.membershipEpoch);
    CHECK(late.backends.size() == 1);
}

TEST_CASE("idle programs are ended and lost turns are charged their worst case")
{
    controller_cluster cluster(3, 1, 9);
    cluster.awaitLeader(1);
    REQUIRE(cluster.run(1, wire::open_program { "idle", "a", "r", 100, 3, 2s }));
    REQUIRE(cluster.run(1, wire::open_program { "busy", "a", "r", 100, 3, 2s }));
    REQUIRE(cluster.run(1, wire::begin_turn { "busy", "a", 1, "a1", "d", 5, 5 }));
    cluster.advance(4s);
    const auto idle = cluster.read(1, wire::read_program { "idle", "a" });
    CHECK(std::get<wire::program_status>(*idle).endReason == "idle");
    const auto busy = cluster.read(1, wire::read_program { "busy", "a" });
    CHECK(std::get<wire::program_status>(*busy).state == "open");
    cluster.advance(900s);
    const auto lost = cluster.read(1, wire::read_program { "busy", "a" });
    CHECK(std::get<wire::program_status>(*lost).usedTokens == 10);
    CHECK(std::get<wire::program_status>(*lost).endReason == "idle");
}

TEST_CASE("a rate lease is granted by the leader of the account's group")
{
    controller_cluster cluster(3, 1, 10);
    accept(cluster, manifestOne);
    const auto leader = cluster.awaitLeader(1);
    wire::rate_lease_request request;
    request.request = 1;
    request.group = 1;
    request.account = "a";
    request.session = 1;
    request.wanted = 10;
    request.waiting = 10;
    const auto grant = cluster.ask<wire::rate_lease_grant>("gw", leader, request);
    REQUIRE(grant);
    CHECK_FALSE(grant->notLeader);
    CHECK(grant->tokens >= 10);
    const std::string other = leader == "c1" ? "c2" : "c1";
    const auto redirected = cluster.ask<wire::rate_lease_grant>("gw", other, request);
    REQUIRE(redirected);
    CHECK(redirected->notLeader);
}

TEST_CASE("status tells of every group whether a loss would be survived")
{
    controller_cluster cluster(3, 2, 11);
    const auto leader = cluster.awaitLeader(0);
    cluster.advance(500ms);
    const auto reply = cluster.call(leader, "status", Json::objectValue);
    REQUIRE(reply.ok);
    CHECK(bodyOf(reply)["groups"].size() == 3);
    CHECK(bodyOf(reply)["groups"][0]["survives_loss"] == true);
    CHECK(bodyOf(reply)["groups"][0]["replicas"].size() == 3);
}

TEST_CASE("random bytes from peers and operators are refused and change nothing")
{
    constexpr std::uint64_t seed = 12;
    constexpr int inputCount = 2000;
    CAPTURE(seed);
    controller_cluster cluster(1, 1, seed);
    std::mt19937_64 random(seed);
    const auto leader = cluster.awaitLeader(0);
    cluster.awaitLeader(1);
    const auto before = cluster.stateOf(leader).groups.at(1).replica.log.entries.size();
    const auto& methods = core::controller::operatorMethods();
    for (int i = 0; i < inputCount; ++i) {
        std::string bytes(random() % 40, ' ');
        std::generate(bytes.begin(), bytes.end(), [&random] { return static_cast<char>(random()); });
        const auto request = static_cast<std::uint64_t>(i) + 1;
        cluster.happen(leader,
            core::peer_message { "gw", 1, wire::controller_request { request, 1, random() % 2 == 0, bytes } });
        cluster.happen(leader, core::peer_message { "c9", 1, wire::consensus_envelope { 1, "c9#1", "c1#1", bytes } });
        cluster.happen(leader, core::operator_request { request, methods[random() % methods.size()], bytes });
        CHECK_FALSE(cluster.operatorReplies.at(request).ok);
    }
    cluster.deliver();
    std::size_t refusals = 0;
    for (const auto& message : cluster.inbox) {
        const auto* response = std::get_if<wire::controller_response>(&message.body);
        const auto outcome = response == nullptr
            ? result<wire::command_result>(wire::acknowledged {})
            : wire::decodeVariant<wire::command_result>(response->body, "test", "");
        refusals += outcome && std::holds_alternative<wire::refused>(*outcome) ? 1U : 0U;
    }
    CHECK(refusals == inputCount);
    CHECK(cluster.stateOf(leader).groups.at(1).replica.log.entries.size() == before);
}
