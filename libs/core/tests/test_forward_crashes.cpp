#include <catch2/catch.hpp>

#include <set>

#include "forward_fleet.hpp"

using namespace cuminledge;
using namespace cuminledge::core;
using namespace cuminledge::core::forward;
using namespace std::chrono_literals;
using cuminledge::tests::forward_fleet;

namespace {

constexpr std::size_t gatewayCount = 4;
constexpr std::size_t serverCount = 9;
constexpr int toleratedRetries = 3; ///< after the grace period
constexpr std::size_t crashesToConvict = 3;
/// Time that the gateways have to learn of the third crash.
constexpr auto gracePeriod = 3'000ms;

/// How a server ends under a request, as the gateway sees it.
enum class server_end {
    Reset,
    MidAnswer, ///< after the first event or a part of the body
    Silence ///< the connection stays open and nothing comes
};

/// Callers that repeat one request, which ends every server that begins to run it, and what came of it.
class crash_scenario {
public:
    explicit crash_scenario(std::uint64_t seed, std::string target = "/status/1")
        : fleet(gatewayCount, seed)
        , m_target(std::move(target))
    {
        for (std::size_t i = 0; i < serverCount; ++i) {
            fleet.addServer("s" + std::to_string(i), "shop");
            fleet.addServer("e" + std::to_string(i), "engines");
        }
        fleet.onSent = [this](std::size_t gateway, const forward_upstream& sent) { m_sent.emplace_back(gateway, sent); };
        fleet.onReply = [this](std::size_t, const effect& reply) {
            if (const auto* refusal = std::get_if<refuse_caller>(&reply)) {
                lastRefusal = *refusal;
            }
            answers += std::holds_alternative<end_answer>(reply) ? 1 : 0;
        };
        fleet.configure(forward_gateway::makeTable());
    }

    forward_fleet fleet;
    server_end end = server_end::Reset;
    std::vector<std::string> crashed; ///< servers in the order in which they ended
    std::optional<time_point> thirdCrashAt;
    int lateSends = 0; ///< sends later than the grace period after the third crash
    int answers = 0;
    std::optional<refuse_caller> lastRefusal;

    /// One try of a caller, with a new request id, at the gateway.
    void tryAt(std::size_t gateway, const std::string& body)
    {
        auto request = fleet.gateways[gateway]->makeRequest(m_target);
        request.body = body;
        request.attempt = "try" + std::to_string(m_tries++);
        fleet.dispatch(gateway, request);
    }

    /// Lets the servers end under the requests that were sent to them.
    void crashServers()
    {
        while (!m_sent.empty()) {
            const auto [gateway, sent] = m_sent.front();
            m_sent.erase(m_sent.begin());
            if (!fleet.isUp(sent.backend)) {
                fleet.dispatch(gateway, upstream_failed { sent.request, upstream_phase::NotSent, "refused" });
                continue;
            }
            recordCrash(sent.backend);
            fleet.crash(sent.backend, 1'500ms);
            endExchange(gateway, sent);
        }
    }

    /// Answers everything that was sent.
    void answerAll()
    {
        while (!m_sent.empty()) {
            const auto [gateway, sent] = m_sent.front();
            m_sent.erase(m_sent.begin());
            fleet.dispatch(gateway, forward_gateway::makeHead(sent));
            fleet.dispatch(gateway, upstream_finished { sent.request });
        }
    }

    /// The answers are lost, as if their connections broke; the servers live on.
    void loseAnswers()
    {
        while (!m_sent.empty()) {
            const auto [gateway, sent] = m_sent.front();
            m_sent.erase(m_sent.begin());
            fleet.dispatch(gateway, upstream_failed { sent.request, upstream_phase::Sent, "reset" });
        }
    }

    /// Repeats the request at gateways in turn. @param before called before each try, e.g. to disturb a process.
    void repeat(
        int tries, std::chrono::milliseconds interval, const std::function<void(int)>& before = [](int) {})
    {
        for (int i = 0; i < tries; ++i) {
            before(i);
            tryAt(static_cast<std::size_t>(i) % gatewayCount, "crashing body");
            crashServers();
            advance(interval);
        }
    }

    /// Retries that start while time passes meet the same end.
    void advance(std::chrono::milliseconds time)
    {
        for (auto left = time; left.count() > 0; left -= 10ms) {
            fleet.advance(10ms);
            crashServers();
        }
    }

private:
    void recordCrash(const std::string& server)
    {
        if (thirdCrashAt && fleet.cluster.now() > *thirdCrashAt + gracePeriod) {
            ++lateSends;
        }
        crashed.push_back(server);
        if (crashed.size() == crashesToConvict) {
            thirdCrashAt = fleet.cluster.now();
        }
    }

    void endExchange(std::size_t gateway, const forward_upstream& sent)
    {
        if (end == server_end::MidAnswer) {
            fleet.dispatch(gateway, forward_gateway::makeHead(sent));
            fleet.dispatch(gateway, upstream_data { sent.request, "id: 1\ndata: one\n\n" });
        }
        if (end != server_end::Silence) {
            fleet.dispatch(gateway, upstream_failed { sent.request, upstream_phase::Sent, "reset" });
        }
    }

    std::string m_target;
    std::vector<std::pair<std::size_t, forward_upstream>> m_sent;
    int m_tries = 0;
};

} // namespace

// Guards against gateways that remember a request no longer than one try of its caller.
TEST_CASE("A request that crashes each server is refused at all gateways soon after the third crash", "[forward][crashes]")
{
    const auto target = GENERATE(as<std::string>(), "/status/1", "/pay/1", "/draft/1", "/chat/1");
    crash_scenario scenario(11, target);
    scenario.repeat(60, 400ms);
    INFO(target << ": " << scenario.crashed.size() << " servers crashed, " << scenario.lateSends << " sends after the grace period");
    CHECK(scenario.crashed.size() >= crashesToConvict);
    CHECK(scenario.lateSends <= toleratedRetries);
    REQUIRE(scenario.lastRefusal);
    CHECK(scenario.lastRefusal->code == error_code::Quarantined);
    CHECK_FALSE(scenario.lastRefusal->mayHaveRun);
}

// Guards against crashes that go unnoticed because the connection did not end at once and before any answer.
TEST_CASE("A crash counts however the exchange ended", "[forward][crashes]")
{
    crash_scenario scenario(12, "/draft/1");
    scenario.end = GENERATE(server_end::Reset, server_end::MidAnswer, server_end::Silence);
    scenario.repeat(60, 700ms);
    INFO(scenario.crashed.size() << " servers crashed");
    CHECK(scenario.lateSends <= toleratedRetries);
}

// Guards against a record of crashes that is lost with the process that saw them.
TEST_CASE("Crashes are remembered while gateways and controllers are killed", "[forward][crashes]")
{
    crash_scenario scenario(13);
    SECTION("the gateway that saw the crashes is restarted")
    {
        scenario.repeat(60, 400ms, [&](int i) { scenario.fleet.restartGateway(static_cast<std::size_t>(i + 3) % gatewayCount); });
    }
    SECTION("the leading controller is killed")
    {
        scenario.repeat(60, 400ms, [&](int i) {
            constexpr int pause = 15;
            if (i % pause == 2) {
                const auto leader = scenario.fleet.cluster.awaitLeader(0);
                scenario.fleet.cluster.kill(leader);
                scenario.fleet.cluster.start(leader);
            }
        });
    }
    SECTION("a gateway is cut off from the controllers for a while")
    {
        bool isCut = true;
        scenario.fleet.isCutOff = [&](std::size_t gateway) { return isCut && gateway < 2; };
        scenario.repeat(60, 400ms, [&](int i) { isCut = i < 4; });
    }
    INFO(scenario.crashed.size() << " servers crashed");
    CHECK(scenario.lateSends <= toleratedRetries);
}

// Guards against innocent requests that are refused because their servers ended for another reason.
TEST_CASE("A request that completes anywhere is never refused for crashes", "[forward][crashes]")
{
    crash_scenario scenario(14);
    SECTION("it completed at another gateway before")
    {
        scenario.tryAt(3, "frequent body");
        scenario.answerAll();
        for (std::size_t i = 0; i < 3; ++i) {
            scenario.tryAt(i, "frequent body");
        }
        scenario.crashServers();
        scenario.advance(2'000ms);
    }
    SECTION("it completes after some of its servers have crashed")
    {
        scenario.tryAt(0, "frequent body");
        scenario.crashServers();
        scenario.advance(3'000ms);
        scenario.tryAt(1, "frequent body");
        scenario.answerAll();
        scenario.fleet.advance(3'000ms);
        scenario.tryAt(2, "frequent body");
        scenario.crashServers();
        scenario.advance(3'000ms);
    }
    scenario.answers = 0;
    scenario.tryAt(0, "frequent body");
    scenario.answerAll();
    CHECK(scenario.answers == 1);
}

// Guards against lost answers that are taken for crashes although the server goes on answering.
TEST_CASE("A server that answers others after an answer was lost has not crashed", "[forward][crashes]")
{
    crash_scenario scenario(15);
    for (int i = 0; i < 6; ++i) {
        scenario.tryAt(0, "unlucky body");
        scenario.loseAnswers();
        // The servers answer other requests meanwhile.
        for (int other = 0; other < 30; ++other) {
            scenario.tryAt(0, "other body " + std::to_string(i * 100 + other));
            scenario.fleet.advance(10ms);
            scenario.answerAll();
        }
        scenario.fleet.advance(700ms);
    }
    scenario.answers = 0;
    scenario.tryAt(0, "unlucky body");
    scenario.answerAll();
    CHECK(scenario.answers == 1);
}

// Guards against a quarantine that refuses the requests which happened to run beside the one that crashes servers.
TEST_CASE("Requests that ran beside the crashing one are served", "[forward][crashes]")
{
    crash_scenario scenario(16);
    constexpr int rounds = 12;
    for (int round = 0; round < rounds; ++round) {
        scenario.tryAt(static_cast<std::size_t>(round) % gatewayCount, "crashing body");
        scenario.tryAt(static_cast<std::size_t>(round) % gatewayCount, "neighbour " + std::to_string(round));
        scenario.crashServers();
        scenario.advance(400ms);
    }
    scenario.advance(2'000ms);
    scenario.answers = 0;
    for (int round = 0; round < rounds; ++round) {
        scenario.tryAt(static_cast<std::size_t>(round) % gatewayCount, "neighbour " + std::to_string(round));
        scenario.answerAll();
    }
    CHECK(scenario.answers == rounds);
}
