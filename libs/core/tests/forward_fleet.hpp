#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "controller_cluster.hpp"
#include "forward_gateway.hpp"

namespace cuminledge::tests {

/// A backend server that announces itself to the controllers while it runs.
struct fleet_server {
    wire::backend_record record;
    std::uint64_t sequence = 0;
    std::chrono::milliseconds downFor { 0 }; ///< 0: it runs
};

/// Forwarding gateways and controllers that run the real reducers, joined by an in-memory queue. The test plays callers
/// and answers what the gateways send to the servers.
class forward_fleet {
public:
    forward_fleet(std::size_t gatewayCount, std::uint64_t seed)
        : cluster(3, 1, seed)
    {
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            gateways.push_back(makeGateway(i));
        }
    }

    controller_cluster cluster;
    std::vector<std::unique_ptr<core::forward::forward_gateway>> gateways;
    std::map<std::string, fleet_server> servers; ///< by id
    /// Called for each request that a gateway sends to a server: gateway and request.
    std::function<void(std::size_t, const core::forward_upstream&)> onSent = [](std::size_t, const core::forward_upstream&) {};
    /// Called for each answer or refusal to a caller: gateway and effect.
    std::function<void(std::size_t, const core::effect&)> onReply = [](std::size_t, const core::effect&) {};
    /// @return whether the gateway is cut off from the controllers.
    std::function<bool(std::size_t)> isCutOff = [](std::size_t) { return false; };

    void addServer(const std::string& id, const std::string& service)
    {
        servers[id].record = core::forward::forward_gateway::makeServer(id, service);
    }

    /// Accepts the route table and lets every gateway learn it and the servers.
    void configure(const wire::route_table& table)
    {
        cluster.control(cluster.awaitLeader(0), core::routes_submission { 0, table, "document" });
        advance(std::chrono::seconds(4));
    }

    /// Ends the gateway and starts it again, with nothing in memory.
    void restartGateway(std::size_t index)
    {
        gateways[index] = makeGateway(index);
    }

    /// Ends the server; it comes back with a new start.
    void crash(const std::string& id, std::chrono::milliseconds downFor)
    {
        auto& server = servers.at(id);
        if (server.downFor.count() == 0) {
            server.downFor = downFor;
        }
    }

    [[nodiscard]] bool isUp(const std::string& id) const { return servers.at(id).downFor.count() == 0; }

    void dispatch(std::size_t gateway, const core::event& event)
    {
        gateways[gateway]->dispatch(event);
        carryOut(gateway);
    }

    /// Time moves in ticks of 10 ms.
    void advance(std::chrono::milliseconds time)
    {
        for (auto left = time; left.count() > 0; left -= tickInterval) {
            announceServers();
            cluster.advance(tickInterval);
            deliverToGateways();
            for (std::size_t i = 0; i < gateways.size(); ++i) {
                gateways[i]->clock.advance(tickInterval);
                dispatch(i, core::tick {});
            }
            for (const auto& [gateway, outcome] : std::exchange(m_checks, {})) {
                dispatch(gateway, outcome);
            }
            cluster.deliver();
            deliverToGateways();
        }
    }

private:
    static constexpr std::chrono::milliseconds tickInterval { 10 };
    static constexpr std::chrono::milliseconds announceInterval { 1'000 };

    static std::string nameOf(std::size_t gateway) { return "g" + std::to_string(gateway); }

    std::unique_ptr<core::forward::forward_gateway> makeGateway(std::size_t index)
    {
        auto gateway = std::make_unique<core::forward::forward_gateway>();
        gateway->random.seed(index + 1);
        gateway->nextExchange = (index + 1) * 1'000'000 + m_starts++ * 10'000;
        gateway->state.identity.name = nameOf(index);
        gateway->state.controllers.controllers = { { "c1", "" }, { "c2", "" }, { "c3", "" } };
        for (const auto* name : { "c1", "c2", "c3" }) {
            gateway->dispatch(core::peer_connected { name, "controller", 1 });
        }
        gateway->out.clear();
        return gateway;
    }

    void announceServers()
    {
        m_sinceAnnouncement += tickInterval;
        const bool isDue = m_sinceAnnouncement >= announceInterval;
        for (auto& [id, server] : servers) {
            const bool wasDown = server.downFor.count() > 0;
            server.downFor -= wasDown ? std::min(tickInterval, server.downFor) : std::chrono::milliseconds(0);
            const bool returns = wasDown && server.downFor.count() == 0;
            if (returns) {
                ++server.record.incarnation;
                server.sequence = 0;
            }
            if (returns || (isDue && !wasDown)) {
                announce(server);
            }
        }
        if (isDue) {
            m_sinceAnnouncement = std::chrono::milliseconds(0);
        }
    }

    void announce(fleet_server& server)
    {
        core::server_announcement announcement;
        announcement.backend = server.record;
        announcement.sequence = ++server.sequence;
        announcement.exchange = m_nextExchange++;
        for (const auto* name : { "c1", "c2", "c3" }) {
            if (cluster.leaderOf(0) == name) {
                cluster.happen(name, announcement);
            }
        }
    }

    void carryOut(std::size_t gateway)
    {
        auto out = std::exchange(gateways[gateway]->out, {});
        for (auto& effect : out) {
            if (auto* message = std::get_if<core::send_message>(&effect)) {
                if (!isCutOff(gateway)) {
                    cluster.send(nameOf(gateway), message->peer, std::move(message->body));
                }
            } else if (const auto* sent = std::get_if<core::forward_upstream>(&effect)) {
                onSent(gateway, *sent);
            } else if (const auto* check = std::get_if<core::check_server>(&effect)) {
                const auto found = isUp(check->server) ? core::server_reachability::Accepts : core::server_reachability::Refuses;
                m_checks.emplace_back(gateway, core::server_checked { check->server, check->incarnation, found });
            } else {
                onReply(gateway, effect);
            }
        }
    }

    void deliverToGateways()
    {
        for (auto& message : std::exchange(cluster.inbox, {})) {
            for (std::size_t i = 0; i < gateways.size(); ++i) {
                if (message.to == nameOf(i) && !isCutOff(i)) {
                    dispatch(i, core::peer_message { message.from, 1, message.body });
                }
            }
        }
    }

    std::vector<std::pair<std::size_t, core::server_checked>> m_checks; ///< answered in the same tick
    std::chrono::milliseconds m_sinceAnnouncement { 0 };
    core::exchange_id m_nextExchange = 1'000'000'000;
    std::uint64_t m_starts = 0;
};

} // namespace cuminledge::tests
