#include <catch2/catch.hpp>

#include <algorithm>

#include "forward_fleet.hpp"

using namespace cuminledge;
using namespace cuminledge::core;
using namespace cuminledge::core::forward;
using namespace std::chrono_literals;
using cuminledge::tests::forward_fleet;

namespace {

/// What the users' pages allow a server that states a limit.
constexpr auto gracePeriod = 3'000ms; ///< windows that end earlier are not judged
constexpr auto learningTime = 500ms; ///< a gateway's requests count so long after it passed on an answer that stated the limit
constexpr auto window = 4'000ms;
constexpr double toleratedFactor = 1.5;
constexpr double toleratedRequests = 5;

/// A server of the service "shop" that answers each request after a tick.
struct limited_server {
    std::optional<double> limit; ///< stated in each answer
    std::optional<time_point> statedSince;
    std::vector<time_point> arrivals; ///< while it states a limit
    std::vector<time_point> counted; ///< those from gateways that had known of the limit for a while
    std::map<std::size_t, time_point> knownSince; ///< by gateway
    int answered = 0;
};

/// Callers that press on gateways unevenly, in front of servers of which some limit their requests.
class limit_scenario {
public:
    limit_scenario(std::size_t gatewayCount, std::size_t serverCount, std::uint64_t seed)
        : fleet(gatewayCount, seed)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < serverCount; ++i) {
            const auto id = "s" + std::to_string(i);
            fleet.addServer(id, "shop");
            servers[id];
        }
        fleet.onSent = [this](std::size_t gateway, const forward_upstream& sent) { m_sent.emplace_back(gateway, sent); };
        fleet.onReply = [this](std::size_t, const effect& reply) {
            answered += std::holds_alternative<end_answer>(reply) ? 1 : 0;
            if (const auto* refusal = std::get_if<refuse_caller>(&reply)) {
                ++refused;
                lastRefusal = *refusal;
            }
        };
        fleet.configure(forward_gateway::makeTable());
    }

    forward_fleet fleet;
    std::map<std::string, limited_server> servers;
    int answered = 0;
    int refused = 0;
    std::optional<refuse_caller> lastRefusal;
    std::size_t busyGateways = 0; ///< the callers reach only so many; 0: all

    void limitServers(std::size_t count, double limit)
    {
        for (auto& [id, server] : servers) {
            if (count-- == 0) {
                return;
            }
            server.limit = limit;
        }
    }

    /// Callers send this many requests a second over all gateways, more of them to the first gateways.
    void press(double requestsPerSecond, std::chrono::milliseconds time)
    {
        constexpr auto step = 10ms;
        std::poisson_distribution<int> arrivals(requestsPerSecond * std::chrono::duration<double>(step).count());
        for (auto left = time; left.count() > 0; left -= step) {
            for (int i = arrivals(m_random); i > 0; --i) {
                const auto gateway = drawGateway();
                auto request = fleet.gateways[gateway]->makeRequest("/status/1");
                request.body = std::to_string(m_requests++);
                fleet.dispatch(gateway, request);
            }
            answerServers();
            fleet.advance(step);
        }
    }

    /// @return the largest excess over what a window may hold, over all servers; at most 0: none.
    [[nodiscard]] double worstExcess(double limit) const
    {
        const double allowed = toleratedFactor * limit * std::chrono::duration<double>(window).count() + toleratedRequests;
        double worst = -allowed;
        for (const auto& [id, server] : servers) {
            if (!server.statedSince) {
                continue;
            }
            const auto& counted = server.counted;
            for (auto first = counted.begin(); first != counted.end(); ++first) {
                const auto windowEnd = std::max(*first + window, *server.statedSince + gracePeriod);
                const auto begin = std::lower_bound(counted.begin(), counted.end(), windowEnd - window);
                const auto end = std::lower_bound(counted.begin(), counted.end(), windowEnd);
                worst = std::max(worst, static_cast<double>(end - begin) - allowed);
            }
        }
        return worst;
    }

    /// @return how many requests the limited servers have got.
    [[nodiscard]] std::size_t sentToLimited() const
    {
        std::size_t total = 0;
        for (const auto& [id, server] : servers) {
            total += server.arrivals.size();
        }
        return total;
    }

private:
    std::size_t drawGateway()
    {
        const auto count = busyGateways == 0 ? fleet.gateways.size() : busyGateways;
        std::uniform_int_distribution<std::size_t> draw(0, count - 1);
        return std::min(draw(m_random), draw(m_random));
    }

    void answerServers()
    {
        for (const auto& [gateway, sent] : std::exchange(m_sent, {})) {
            auto& server = servers.at(sent.backend);
            auto head = forward_gateway::makeHead(sent);
            if (server.limit) {
                server.statedSince = server.statedSince.value_or(fleet.cluster.now());
                server.arrivals.push_back(fleet.cluster.now());
                const auto known = server.knownSince.emplace(gateway, fleet.cluster.now()).first->second;
                if (fleet.cluster.now() >= known + learningTime) {
                    server.counted.push_back(fleet.cluster.now());
                }
                head.statesLimit = true;
                head.requestsPerSecond = *server.limit;
            }
            ++server.answered;
            fleet.dispatch(gateway, head);
            fleet.dispatch(gateway, upstream_finished { sent.request });
        }
    }

    std::mt19937_64 m_random;
    std::vector<std::pair<std::size_t, forward_upstream>> m_sent;
    int m_requests = 0;
};

} // namespace

// Guards against gateways that each keep to a limit which holds for all of them together, or that do not know of it.
TEST_CASE("Servers that state a limit get no more from all gateways together", "[forward][limits]")
{
    const auto limit = GENERATE(0.0, 0.4, 2.3, 9.5, 40.0);
    const auto gatewayCount = GENERATE(as<std::size_t>(), 1, 4, 60);
    limit_scenario scenario(gatewayCount, 12, 21);
    scenario.press(150, 2'000ms);
    scenario.limitServers(8, limit);
    scenario.press(150, 16'000ms);
    INFO(gatewayCount << " gateways, limit " << limit);
    CHECK(scenario.worstExcess(limit) <= 0);
    CHECK(scenario.refused == 0); // four servers state none
}

// Guards against limits that are kept by leaving most of them unused, in particular where few of many gateways are busy.
TEST_CASE("Limited servers are used when no others are left, wherever the callers arrive", "[forward][limits]")
{
    constexpr double limit = 9.5;
    constexpr double measuredSeconds = 16;
    constexpr std::size_t serverCount = 12;
    constexpr double owedShare = 0.7;
    const auto gatewayCount = GENERATE(as<std::size_t>(), 4, 60);
    limit_scenario scenario(gatewayCount, serverCount, 22);
    scenario.busyGateways = GENERATE(as<std::size_t>(), 3, 0);
    scenario.limitServers(serverCount, limit);
    scenario.press(200, 4'000ms);
    const auto before = scenario.sentToLimited();
    scenario.press(200, 16'000ms);
    const auto used = static_cast<double>(scenario.sentToLimited() - before);
    INFO(gatewayCount << " gateways, " << scenario.busyGateways << " busy");
    CHECK(scenario.worstExcess(limit) <= 0);
    CHECK(used >= owedShare * limit * serverCount * measuredSeconds);
    REQUIRE(scenario.lastRefusal);
    CHECK(scenario.lastRefusal->code == error_code::Unavailable);
    CHECK_FALSE(scenario.lastRefusal->mayHaveRun);
    CHECK(scenario.lastRefusal->retryAfter.count() > 0);
}

// Guards against limits that are exceeded, or servers that get nothing, while the controllers are out of reach.
TEST_CASE("Limits hold while controllers and gateways are lost", "[forward][limits]")
{
    constexpr double limit = 6;
    const auto gatewayCount = GENERATE(as<std::size_t>(), 4, 60);
    constexpr std::size_t serverCount = 12;
    limit_scenario scenario(gatewayCount, serverCount, 23);
    scenario.limitServers(serverCount, limit);
    scenario.press(150, 5'000ms);
    SECTION("the leading controller is killed")
    {
        scenario.fleet.cluster.kill(scenario.fleet.cluster.awaitLeader(0));
        scenario.press(150, 10'000ms);
    }
    SECTION("all gateways are cut off from the controllers, and reach them again")
    {
        constexpr double cutSeconds = 10;
        constexpr double owedShare = 0.4; // equal shares, whatever the demand
        scenario.fleet.isCutOff = [](std::size_t) { return true; };
        const auto before = scenario.sentToLimited();
        scenario.press(150, 10'000ms);
        CHECK(static_cast<double>(scenario.sentToLimited() - before) > owedShare * limit * serverCount * cutSeconds);
        scenario.fleet.isCutOff = [](std::size_t) { return false; };
        scenario.press(150, 6'000ms);
    }
    SECTION("gateways are restarted one after the other")
    {
        for (std::size_t i = 0; i < 4; ++i) {
            scenario.fleet.restartGateway(i);
            scenario.press(150, 2'500ms);
        }
    }
    CHECK(scenario.worstExcess(limit) <= 0);
}

// Guards against a limit that outlives the server's need, as a server that gets nothing says nothing.
TEST_CASE("The end of a limit is noticed", "[forward][limits]")
{
    const auto limit = GENERATE(0.0, 2.0);
    limit_scenario scenario(4, 4, 24);
    scenario.limitServers(2, limit);
    scenario.press(100, 8'000ms);
    scenario.servers.at("s0").limit.reset();
    scenario.press(100, 12'000ms);
    const auto before = scenario.servers.at("s0").answered;
    scenario.press(100, 4'000ms);
    constexpr int answersOfFreeServer = 40;
    CHECK(scenario.servers.at("s0").answered - before > answersOfFreeServer);
    CHECK(scenario.worstExcess(limit) <= 0);
}

// Guards against a server that comes back under its id and is still limited as its earlier start was.
TEST_CASE("A server that has started again is not limited until it says so", "[forward][limits]")
{
    limit_scenario scenario(2, 2, 25);
    scenario.limitServers(1, 0.5);
    scenario.press(60, 5'000ms);
    scenario.servers.at("s0").limit.reset();
    scenario.fleet.crash("s0", 100ms);
    scenario.press(60, 1'500ms);
    const auto before = scenario.servers.at("s0").answered;
    scenario.press(60, 2'000ms);
    constexpr int answersOfFreeServer = 20;
    CHECK(scenario.servers.at("s0").answered - before > answersOfFreeServer);
}

// Guards against a limit that cannot be read and is taken for none, or for zero.
TEST_CASE("A limit that cannot be read changes nothing", "[forward][limits]")
{
    limit_scenario scenario(2, 2, 26);
    scenario.limitServers(1, 3);
    scenario.press(60, 5'000ms);
    scenario.servers.at("s0").limit = -1;
    scenario.press(60, 6'000ms);
    CHECK(scenario.worstExcess(3) <= 0);
    scenario.servers.at("s1").limit = -1;
    const auto before = scenario.servers.at("s1").answered;
    scenario.press(60, 2'000ms);
    CHECK(scenario.servers.at("s1").answered - before > 60);
}
