#pragma once

#include <net/http_server.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "loopback.hpp"

namespace cuminledge::net::test {

/// A server that answers each request with its target, but for those that the test answers itself.
struct server_fixture {
    context_thread thread;
    std::vector<http_request> held; ///< targets that begin with /hold
    std::vector<std::pair<std::uint64_t, std::string>> gone;
    std::optional<http_server> server;
    std::uint16_t port = 0;
    std::chrono::milliseconds drainIdleTime;

    static http_server_settings shortDrain()
    {
        http_server_settings settings;
        settings.drainIdleTime = std::chrono::milliseconds(40);
        return settings;
    }

    explicit server_fixture(http_server_settings settings = {})
        : drainIdleTime(settings.drainIdleTime)
    {
        settings.address = "127.0.0.1:0";
        settings.listener = 3;
        thread.call([&] {
            server.emplace(thread.context(), settings,
                http_server_handlers { [this](http_request&& request) { answer(std::move(request)); },
                    [this](std::uint64_t exchange, const std::string& reason) { gone.emplace_back(exchange, reason); } });
            port = server->listen().value();
        });
    }

    ~server_fixture()
    {
        thread.call([this] { server.reset(); });
    }

    void answer(http_request&& request)
    {
        if (request.target.rfind("/hold", 0) == 0) {
            held.push_back(std::move(request));
            return;
        }
        server->reply(request.exchange, { 200, "text/plain", { { "X-Was", request.method } }, request.target + request.body });
    }

    std::uint64_t waitHeld(std::size_t count)
    {
        REQUIRE(thread.waitFor([&] { return held.size() >= count; }));
        return thread.call([&] { return held[count - 1].exchange; });
    }
};

} // namespace cuminledge::net::test
