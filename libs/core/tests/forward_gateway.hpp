#pragma once

#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include <core/forward/forwarder.hpp>

/// Test fixture: a forwarding gateway without sockets. Tests dispatch events to it and take its effects.
namespace cuminledge::core::forward {

constexpr exchange_id firstExchange = 100;

struct forward_gateway {
    forwarder_state state;
    manual_clock clock;
    std::mt19937_64 random { 7 };
    effects out;
    wire::route_table table;
    exchange_id nextExchange = firstExchange;

    forward_gateway()
    {
        state.identity.name = "g1";
        state.identity.failureDomain = "a";
        state.settings.controllers = { { "c1", "127.0.0.1:1" } };
        dispatch(process_started { 1, 1 });
        dispatch(peer_connected { "c1", "controller", 1 });
        table = makeTable();
    }

    static wire::route_rule makeRoute(const std::string& prefix, const std::string& service)
    {
        wire::route_rule route;
        route.name = prefix;
        route.host = "h";
        route.pathPrefix = prefix;
        route.timeout = std::chrono::milliseconds(3'000);
        route.retention = std::chrono::milliseconds(60'000);
        route.maxAttempts = 2;
        route.services = { { service, 1 } };
        return route;
    }

    static wire::route_table makeTable()
    {
        wire::route_table table;
        table.version = 1;
        auto chat = makeRoute("/chat/", "engines");
        chat.isStream = true;
        chat.retainsTurns = true;
        auto draft = makeRoute("/draft/", "engines");
        draft.isStream = true;
        draft.isResumable = true;
        auto status = makeRoute("/status/", "shop");
        status.isIdempotent = true;
        table.routes = { chat, draft, status, makeRoute("/pay/", "shop") };
        table.services = { { "engines", 100, 16, 400'000, 10 }, { "shop", 100, 0, 0, 0 } };
        table.accounts = { { "alice", { "key-a" }, 0, 0, 0 }, { "bob", { "key-b" }, 0, 0, 0 } };
        return table;
    }

    static wire::backend_record makeServer(
        const std::string& id, const std::string& service, const std::string& softwareVersion = "v1")
    {
        wire::backend_record record;
        record.backend = id;
        record.incarnation = 1;
        record.service = service;
        record.address = id + ":80";
        record.failureDomain = "a";
        record.softwareVersion = softwareVersion;
        return record;
    }

    /// Passes the event to the reducer.
    void dispatch(const event& e) { reduceForwarder(state, e, clock.now(), random, out); }

    /// Advances the clock and dispatches a tick.
    void advance(std::chrono::milliseconds time)
    {
        clock.advance(time);
        dispatch(tick {});
    }

    /// Delivers the configuration with servers e1 and e2 of service "engines" and s1 and s2 of "shop".
    void configure()
    {
        advance(state.settings.firstPollInterval);
        wire::config_update update;
        update.request = state.configuration.poll.request;
        update.routesVersion = table.version;
        update.routes = wire::encodeStruct(table);
        update.membershipComplete = true;
        update.membershipEpoch = 1;
        update.membershipVersion = 1;
        update.backends = { makeServer("e1", "engines"), makeServer("e2", "engines"), makeServer("s1", "shop"),
            makeServer("s2", "shop") };
        dispatch(peer_message { "c1", 1, update });
        out.clear();
    }

    /// Answers the poll under way. @param servers that have changed. @param hasRoutes the route table is part of the answer.
    void answerPoll(std::vector<wire::backend_record> servers = {}, bool hasRoutes = false)
    {
        wire::config_update update;
        update.request = state.configuration.poll.request;
        REQUIRE(update.request != 0);
        update.routesVersion = table.version;
        update.routes = hasRoutes ? wire::encodeStruct(table) : std::string();
        update.membershipEpoch = 1;
        update.membershipVersion = state.configuration.membershipVersion + (servers.empty() ? 0 : 1);
        update.backends = std::move(servers);
        dispatch(peer_message { "c1", 1, update });
    }

    forward_request makeRequest(const std::string& target)
    {
        forward_request request;
        request.exchange = nextExchange++;
        request.attempt = "a" + std::to_string(request.exchange);
        request.method = "POST";
        request.target = target;
        request.host = "h";
        request.body = "in" + std::to_string(request.exchange);
        request.key = "key-a";
        request.timeLeft = std::chrono::milliseconds(3'000);
        return request;
    }

    /// Removes and returns the newest effect of the type.
    template <typename Effect>
    std::optional<Effect> takeEffect()
    {
        for (auto it = out.rbegin(); it != out.rend(); ++it) {
            if (auto* found = std::get_if<Effect>(&*it)) {
                auto taken = *found;
                out.erase(std::next(it).base());
                return taken;
            }
        }
        return std::nullopt;
    }

    /// Removes and returns the newest command or query that was sent to the controllers.
    std::optional<wire::controller_request> takeControllerRequest()
    {
        for (auto it = out.rbegin(); it != out.rend(); ++it) {
            auto* sent = std::get_if<send_message>(&*it);
            if (sent == nullptr) {
                continue;
            }
            if (const auto* request = std::get_if<wire::controller_request>(&sent->body)) {
                auto taken = *request;
                out.erase(std::next(it).base());
                return taken;
            }
        }
        return std::nullopt;
    }

    /// Answers the request as a controller.
    void answer(const wire::controller_request& request, const wire::command_result& outcome)
    {
        wire::controller_response response;
        response.request = request.request;
        response.group = request.group;
        response.body = wire::encodeVariant(outcome);
        dispatch(peer_message { "c1", 1, response });
    }

    static upstream_head makeHead(const forward_upstream& sent, std::uint32_t status = 200)
    {
        upstream_head head;
        head.request = sent.request;
        head.status = status;
        head.attempt = sent.attempt;
        head.isSigned = true;
        return head;
    }

    /// Answers the request with these events as the server and ends the stream.
    void streamAnswer(const forward_upstream& sent, const std::vector<std::string>& events)
    {
        dispatch(makeHead(sent));
        for (const auto& bytes : events) {
            dispatch(upstream_data { sent.request, bytes });
        }
        dispatch(upstream_finished { sent.request });
    }
};

} // namespace cuminledge::core::forward
