#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "controller_cluster.hpp"

using namespace cuminledge;
using namespace std::chrono_literals;
using cuminledge::tests::controller_cluster;
using cuminledge::tests::sent_message;

namespace {

constexpr std::uint64_t seedCount = 10;

std::string manifestText(int number, const std::string& account)
{
    return R"({"number": )" + std::to_string(number) + R"(, "client_accounts": [{"id": ")" + account
        + R"(", "rate_per_second": 1, "burst": 1}]})";
}

Json::Value documentOf(const std::string& text)
{
    Json::Value parameters;
    parameters["document"] = text;
    return parameters;
}

std::string codeOf(const core::reply_to_operator& reply)
{
    return reply.ok ? "ok" : parseJson(reply.body, "test")->operator[]("code").asString();
}

/// What an operator was told of its manifest, after resending until somebody knew.
std::string acceptAsOperator(controller_cluster& cluster, const std::string& text)
{
    for (int i = 0; i < 50; ++i) {
        auto code = codeOf(cluster.call(cluster.awaitLeader(0), "manifest.accept", documentOf(text)));
        if (code == "ok" || code == "conflict") {
            return code;
        }
        cluster.advance(100ms);
    }
    return "nobody knew";
}

std::string manifestInForce(controller_cluster& cluster)
{
    const auto reply = cluster.call(cluster.awaitLeader(0), "manifest.show", Json::objectValue);
    return parseJson(reply.body, "test")->operator[]("document").asString();
}

/// A gateway's answer to "was this acknowledged?" against what the surviving controllers hold.
struct acknowledged_turns {
    std::map<std::string, std::set<std::uint32_t>> byProgram;
    int acknowledgements = 0;
    int redirects = 0;
};

/// Reads the gateway's inbox. A response names the request, which names the program.
void collect(controller_cluster& cluster, const std::map<std::uint64_t, std::string>& asked, acknowledged_turns& told)
{
    for (const auto& message : cluster.inbox) {
        const auto* response = std::get_if<wire::controller_response>(&message.body);
        if (response == nullptr || !asked.contains(response->request)) {
            continue;
        }
        if (response->notLeader) {
            ++told.redirects;
            continue;
        }
        const auto outcome = wire::decodeVariant<wire::command_result>(response->body, "test", "");
        REQUIRE(outcome);
        if (std::holds_alternative<wire::program_status>(*outcome)) {
            ++told.acknowledgements;
            told.byProgram[asked.at(response->request)].insert(1);
        }
    }
    cluster.inbox.clear();
}

/// Proposes programs at the leader, cuts or kills it in the middle, and asks the next leader which are there.
/// @param answerEarly a variant of the controller's rule: whether a proposal counts as acknowledged once it was sent.
std::vector<std::string> findFalseAnswers(std::uint64_t seed, bool answerEarly, acknowledged_turns& told)
{
    controller_cluster cluster(3, 1, seed);
    std::mt19937_64 random(seed);
    const auto first = cluster.awaitLeader(1);
    std::map<std::uint64_t, std::string> asked;
    const auto cutAfter = static_cast<int>(random() % 8);
    for (int i = 0; i < 12; ++i) {
        const auto id = "p" + std::to_string(i);
        const std::uint64_t request = 1000 + static_cast<std::uint64_t>(i);
        asked[request] = id;
        if (i == cutAfter) {
            // The leader is cut off silently from the other controllers, not from the gateway.
            cluster.isLost = [first](const sent_message& message) {
                const bool isPeer = message.to.starts_with("c") && message.from.starts_with("c");
                return isPeer && (message.to == first || message.from == first);
            };
        }
        cluster.send("gw", first,
            wire::controller_request { request, 1, false,
                wire::encodeVariant(wire::command(wire::open_program { id, "a", "r", 10, 1, 3600s })) });
        if (answerEarly) {
            told.byProgram[id].insert(1);
        }
        if (random() % 2 == 0) {
            cluster.deliver();
        }
    }
    cluster.advance(3s);
    collect(cluster, asked, told);
    cluster.kill(first);
    cluster.isLost = [](const sent_message&) { return false; };
    cluster.advance(2s);
    std::vector<std::string> missing;
    for (const auto& [id, turns] : told.byProgram) {
        const auto held = cluster.read(1, wire::read_program { id, "a" });
        REQUIRE(held);
        if (!std::holds_alternative<wire::program_status>(*held)) {
            missing.push_back(id);
        }
    }
    return missing;
}

} // namespace

TEST_CASE("two operators race with equal numbers and resend: one wins, both are told the truth")
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        CAPTURE(seed);
        controller_cluster cluster(3, 1, seed);
        const auto one = manifestText(1, "one");
        const auto two = manifestText(1, "two");
        const auto leader = cluster.awaitLeader(0);
        // Both are proposed at once, and the leader dies with the answers under way or not yet given.
        cluster.startCall(leader, "manifest.accept", documentOf(seed % 2 == 0 ? one : two));
        cluster.startCall(leader, "manifest.accept", documentOf(seed % 2 == 0 ? two : one));
        if (seed % 3 != 0) {
            cluster.advance(std::chrono::milliseconds(10 * (seed % 4)));
            cluster.kill(leader);
        }
        const auto toldOne = acceptAsOperator(cluster, one);
        const auto toldTwo = acceptAsOperator(cluster, two);
        CHECK((toldOne == "ok") != (toldTwo == "ok"));
        CHECK(manifestInForce(cluster) == (toldOne == "ok" ? one : two));
        CHECK(acceptAsOperator(cluster, one) == toldOne);
        CHECK(acceptAsOperator(cluster, two) == toldTwo);
    }
}

TEST_CASE("a failover in the middle of proposals gives no false answer")
{
    // Answering a proposal before its commit is found out by the same check.
    std::size_t falseAnswers = 0;
    acknowledged_turns told;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        acknowledged_turns early;
        falseAnswers += findFalseAnswers(seed, true, early).size();
    }
    CHECK(falseAnswers > 0);
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        CAPTURE(seed);
        acknowledged_turns ofSeed;
        CHECK(findFalseAnswers(seed, false, ofSeed).empty());
        told.acknowledgements += ofSeed.acknowledgements;
        told.redirects += ofSeed.redirects;
    }
    CHECK(told.acknowledgements > 0);
    CHECK(told.redirects > 0);
}

TEST_CASE("a controller cut off for 10 minutes serves nothing stale, and catches up")
{
    controller_cluster cluster(3, 1, 21);
    REQUIRE(acceptAsOperator(cluster, manifestText(1, "one")) == "ok");
    const auto old = cluster.awaitLeader(0);
    cluster.isLost = [old](const sent_message& message) {
        const bool isPeer = message.to.starts_with("c") && message.from.starts_with("c");
        return isPeer && (message.to == old || message.from == old);
    };
    std::optional<std::string> next;
    for (int i = 0; i < 100 && !next; ++i) {
        cluster.advance(100ms);
        auto leader = cluster.leaderOf(0);
        next = leader && *leader != old ? leader : std::nullopt;
    }
    REQUIRE(next);
    CHECK(codeOf(cluster.call(*next, "manifest.accept", documentOf(manifestText(2, "two")))) == "ok");
    for (int i = 0; i < 60; ++i) {
        cluster.advance(10s);
        const auto stale = cluster.ask<wire::config_update>("gw", old, wire::config_poll {});
        REQUIRE(stale);
        REQUIRE(stale->notLeader);
        REQUIRE(codeOf(cluster.call(old, "manifest.show", Json::objectValue)) == "not_leader");
    }
    cluster.isLost = [](const sent_message&) { return false; };
    cluster.advance(3s);
    CHECK(cluster.stateOf(old).control.manifestNumber == 2);
    CHECK(manifestInForce(cluster) == manifestText(2, "two"));
}
