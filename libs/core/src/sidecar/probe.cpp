#include "probe.hpp"

#include <json/value.h>

#include <core/group.hpp>

#include "announce.hpp"
#include "attempt_table.hpp"
#include "cache_release.hpp"
#include "run_queue.hpp"

namespace cuminledge::core::sidecar {

namespace {

    constexpr std::chrono::milliseconds probeInterval { 500 };
    constexpr std::chrono::milliseconds idleProbeInterval { 1'000 };
    constexpr std::chrono::milliseconds reportTimeout { 30'000 };
    constexpr std::size_t maxProbeBytes = 1U << 20U;
    constexpr std::uint32_t statusOk = 200;

    void startProbe(context& c)
    {
        auto& health = c.state.health;
        if (health.probing) {
            return;
        }
        health.probing = true;
        health.probeBody.clear();
        health.probeStatus = 0;
        ++health.probes;
        start_upstream probe;
        probe.request = probeRequest;
        probe.address = c.state.settings.backendAddress;
        probe.method = "GET";
        // An engine's statistics tell its incarnation, too: one that died and is back already shows by that.
        probe.target = c.state.settings.kind == wire::backend_kind::Engine ? "/stats" : "/health";
        probe.freshConnection = true;
        probe.silenceTimeout = c.state.settings.probeTimeout;
        c.out.emplace_back(std::move(probe));
    }

    void reportCrash(context& c, const attempt_entry& entry)
    {
        const wire::report_crash report { entry.start.fingerprint, entry.start.account, c.state.settings.backend,
            c.state.health.incarnation };
        controller_client::send(
            c.state.controllers, systemGroup, wire::command(report), "report_crash", c.now, reportTimeout, c.out);
    }

    void passVerdict(context& c, bool died)
    {
        const auto judged = c.state.judged;
        for (const auto& attempt : judged) {
            auto& entry = c.state.attempts.at(attempt);
            entry.failed->backendDied = died;
            entry.failed->engineIncarnation = c.state.health.incarnation;
            const auto message = entry.failed->message;
            if (died) {
                reportCrash(c, entry);
            }
            finishFailed(c, entry, wire::attempt_outcome::Ran, error_code::Unavailable,
                died ? "the engine died: " + message : message, "engine");
        }
    }

    void noteDeath(context& c)
    {
        ++c.state.counters.backendDeaths;
        c.out.emplace_back(write_log { log_level::Warning, "backend_died",
            { { "backend", c.state.settings.backend },
                { "engine_incarnation", std::to_string(c.state.health.incarnation) } } });
    }

    void refuseQueue(context& c)
    {
        std::vector<std::string> waiting;
        for (const auto& [attempt, entry] : c.state.attempts) {
            if (entry.phase == attempt_phase::Waiting || entry.phase == attempt_phase::ReadingHistory) {
                waiting.push_back(attempt);
            }
        }
        for (const auto& attempt : waiting) {
            finishFailed(c, c.state.attempts.at(attempt), wire::attempt_outcome::NotRun, error_code::Unavailable,
                "the backend server does not answer", "queue");
        }
    }

    void setUp(context& c, bool up)
    {
        auto& health = c.state.health;
        if (health.up == up) {
            return;
        }
        health.up = up;
        c.out.emplace_back(write_log { log_level::Warning, up ? "backend_up" : "backend_down",
            { { "backend", c.state.settings.backend } } });
        if (!up) {
            refuseQueue(c);
        }
        announceNow(c);
    }

    std::uint64_t incarnationIn(const std::string& body)
    {
        const auto parsed = parseJson(body, "read_statistics");
        const bool given = parsed && parsed->isObject() && (*parsed)["incarnation"].isUInt64();
        return given ? (*parsed)["incarnation"].asUInt64() : 0;
    }

} // namespace

void judge(context& c, attempt_entry& entry, const std::string& message)
{
    entry.phase = attempt_phase::Judged;
    entry.failed = wire::attempt_failed {};
    entry.failed->message = message;
    c.state.judged.insert(entry.start.attempt);
    startProbe(c);
}

void noteUnreachable(context& c)
{
    setUp(c, false);
    c.state.health.nextProbeAt = c.now + probeInterval;
}

void probeWhenDue(context& c)
{
    auto& health = c.state.health;
    const bool unknown = health.incarnation == 0 && c.state.settings.kind == wire::backend_kind::Engine;
    // Work under way tells of a death by itself; without any, only a probe does.
    const bool idle = c.state.running.empty();
    if ((!health.up || unknown || idle) && c.now >= health.nextProbeAt) {
        health.nextProbeAt = c.now + (health.up ? idleProbeInterval : probeInterval);
        startProbe(c);
    }
}

void onProbeResponse(context& c, std::uint32_t status)
{
    c.state.health.probeStatus = status;
}

void onProbeData(context& c, const std::string& data)
{
    if (c.state.health.probeBody.size() + data.size() <= maxProbeBytes) {
        c.state.health.probeBody += data;
    }
}

void onProbeFinished(context& c)
{
    auto& health = c.state.health;
    if (health.probeStatus != statusOk) {
        onProbeFailed(c);
        return;
    }
    health.probing = false;
    const auto incarnation = incarnationIn(health.probeBody);
    const bool restarted = health.incarnation != 0 && incarnation != health.incarnation;
    if (restarted) {
        noteDeath(c);
    }
    passVerdict(c, restarted);
    const bool fresh = incarnation != health.incarnation;
    health.incarnation = incarnation;
    setUp(c, true);
    if (fresh) {
        listCache(c);
    }
    startNext(c);
}

void onProbeFailed(context& c)
{
    auto& health = c.state.health;
    health.probing = false;
    health.nextProbeAt = c.now + probeInterval;
    const bool died = !c.state.judged.empty();
    if (died) {
        noteDeath(c);
    }
    passVerdict(c, died);
    setUp(c, false);
}

} // namespace cuminledge::core::sidecar
