#include "crashes.hpp"

#include <core/group.hpp>

namespace cuminledge::core::forward {

namespace {

    /// How long a report is resent: longer than the controllers may be without a leader.
    constexpr std::chrono::milliseconds reportTimeout { 60'000 };

    void sendToControllers(context& c, const wire::command& command, const char* step)
    {
        controller_client::send(c.state.controllers, systemGroup, command, step, c.now, reportTimeout, c.out);
    }

    void report(context& c, const std::vector<crash_report>& reports)
    {
        for (const auto& [suspect, start] : reports) {
            count(c, "forward_crashes_total");
            c.out.emplace_back(write_log { log_level::Warning, "server_crashed",
                { { "server", start.server }, { "incarnation", std::to_string(start.incarnation) },
                    { "suspect", suspect.fingerprint }, { "account", suspect.account } } });
            const wire::report_crash command { suspect.fingerprint, suspect.account, start.server, start.incarnation,
                c.state.crashes.settings.maxCrashes };
            sendToControllers(c, command, "report_crash");
        }
    }

    void clearRecord(context& c, const std::string& fingerprint)
    {
        c.out.emplace_back(write_log { log_level::Info, "suspect_cleared", { { "suspect", fingerprint } } });
        sendToControllers(c, wire::clear_fingerprint { fingerprint, false, true }, "clear_fingerprint");
    }

} // namespace

void suspectCrash(context& c, const forward_call& call)
{
    recordLostAnswer(c.state.crashes, { call.server, call.serverIncarnation }, call.serverAddress,
        { call.fingerprint, call.account }, c.now);
}

void clearSuspicion(context& c, const forward_call& call)
{
    if (recordCompletion(c.state.crashes, call.fingerprint)) {
        clearRecord(c, call.fingerprint);
    }
}

void checkCrashes(context& c)
{
    if (c.state.crashes.checks.empty()) {
        return;
    }
    for (auto& check : takeDueChecks(c.state.crashes, c.now)) {
        c.out.emplace_back(std::move(check));
    }
    report(c, resolveChecks(c.state.crashes, c.state.servers, c.now));
}

void onServerChecked(context& c, const server_checked& outcome)
{
    report(c, onServerChecked(c.state.crashes, outcome, c.now));
}

void applyCrashRecords(context& c, const wire::config_update& update)
{
    for (const auto& fingerprint : applyUpdate(c.state.crashes, update)) {
        clearRecord(c, fingerprint);
    }
}

} // namespace cuminledge::core::forward
