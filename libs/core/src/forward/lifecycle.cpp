#include "lifecycle.hpp"

#include <vector>

#include "answers.hpp"
#include "attempts.hpp"
#include "rate.hpp"

namespace cuminledge::core::forward {

namespace {

    void stop(context& c, int exitCode)
    {
        returnRateTokens(c);
        c.out.emplace_back(write_log { log_level::Info, "shutdown_done",
            { { "calls_left", std::to_string(c.state.calls.size()) } } });
        c.out.emplace_back(stop_process { exitCode });
    }

    /// Refuses or aborts every call, so that no caller waits for an answer that never comes.
    /// @return how many calls there were.
    std::size_t endCalls(context& c)
    {
        std::vector<exchange_id> exchanges;
        for (const auto& [exchange, call] : c.state.calls) {
            exchanges.push_back(exchange);
        }
        for (const auto exchange : exchanges) {
            failCall(c, c.state.calls.at(exchange), { error_code::Unavailable, "the gateway stops", c.state.settings.defaultRetryAfter });
        }
        return exchanges.size();
    }

} // namespace

void updateReadiness(context& c)
{
    const bool isRunning = c.state.shutdown == shutdown_phase::Running;
    const bool isReady = isRunning && c.state.configuration.table.version != 0 && !c.state.servers.servers.empty();
    if (isReady == c.state.isReady) {
        return;
    }
    c.state.isReady = isReady;
    const char* reason = isRunning ? "no configuration or no server is known yet" : "shutting down";
    c.out.emplace_back(write_log { log_level::Info, "readiness", { { "ready", isReady ? "yes" : "no" } } });
    c.out.emplace_back(set_ready { isReady, isReady ? "" : reason });
}

void expireCalls(context& c)
{
    while (!c.state.expiries.empty() && c.state.expiries.begin()->first <= c.now) {
        expireCall(c, c.state.calls.at(c.state.expiries.begin()->second));
    }
}

void beginShutdown(context& c, bool immediately)
{
    if (immediately) {
        stop(c, endCalls(c) == 0 ? 0 : 1);
        return;
    }
    if (c.state.shutdown != shutdown_phase::Running) {
        return;
    }
    c.state.shutdown = shutdown_phase::Announced;
    c.state.shutdownStepAt = c.now + c.state.settings.shutdownDelay;
    updateReadiness(c);
    c.out.emplace_back(announce_closing {});
    c.out.emplace_back(
        write_log { log_level::Info, "shutdown_begun", { { "calls", std::to_string(c.state.calls.size()) } } });
}

void continueShutdown(context& c)
{
    if (c.state.shutdown == shutdown_phase::Announced && c.now >= c.state.shutdownStepAt) {
        c.state.shutdown = shutdown_phase::Draining;
        c.state.shutdownStepAt = c.now + c.state.settings.shutdownLimit;
        c.out.emplace_back(close_listeners {});
        return;
    }
    if (c.state.shutdown != shutdown_phase::Draining) {
        return;
    }
    if (c.state.isDrained && c.state.calls.empty() && c.state.controllers.pending.empty()) {
        stop(c, 0);
    } else if (c.now >= c.state.shutdownStepAt) {
        stop(c, endCalls(c) == 0 ? 0 : 1);
    }
}

} // namespace cuminledge::core::forward
