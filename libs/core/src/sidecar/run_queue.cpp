#include "run_queue.hpp"

#include <algorithm>

#include "attempt_table.hpp"
#include "upstream.hpp"

namespace cuminledge::core::sidecar {

namespace {

    scheduling::queued_attempt describe(const context& c, attempt_entry& entry)
    {
        const auto& start = entry.start;
        const auto cached = cache::cachedTokens(c.state.pins, start.program);
        entry.prefillTokens = std::max<std::int64_t>(start.historyTokens - cached, 0) + start.deltaTokens;
        scheduling::queued_attempt queued;
        queued.attempt = start.attempt;
        queued.account = start.account;
        queued.program = start.program;
        queued.attainedTokens = start.attainedTokens;
        queued.prefillTokens = entry.prefillTokens;
        queued.expectedTokens = start.maxTokens;
        queued.arrivedAt = c.now;
        queued.latestStart = entry.latestStart;
        return queued;
    }

    void refuseFull(context& c, attempt_entry& entry)
    {
        finishFailed(c, entry, wire::attempt_outcome::NotRun, error_code::Overloaded,
            "the queue in front of the backend server is full", "queue");
    }

    void run(context& c, attempt_entry& entry)
    {
        entry.phase = attempt_phase::Running;
        c.state.running.insert(entry.start.attempt);
        tellWatchers(c, entry, wire::attempt_started { entry.start.attempt, currentLoad(c.state) });
        startUpstream(c, entry);
    }

    bool startSuspect(context& c)
    {
        if (c.state.suspects.empty() || !c.state.running.empty() || !c.state.judged.empty()) {
            return false;
        }
        auto& entry = c.state.attempts.at(c.state.suspects.front());
        c.state.suspects.pop_front();
        c.state.suspectRunning = true;
        run(c, entry);
        return true;
    }

} // namespace

void enqueue(context& c, attempt_entry& entry)
{
    entry.phase = attempt_phase::Waiting;
    if (entry.start.suspect) {
        if (c.state.suspects.size() >= c.state.settings.maxWaiting) {
            refuseFull(c, entry);
            return;
        }
        c.state.suspects.push_back(entry.start.attempt);
        return;
    }
    const auto pushed = scheduling::push(c.state.queue, describe(c, entry), c.now);
    if (pushed.refusal != scheduling::push_refusal::None) {
        refuseFull(c, entry);
        return;
    }
    if (pushed.displaced) {
        const auto displaced = c.state.attempts.find(pushed.displaced->attempt);
        if (displaced != c.state.attempts.end()) {
            refuseFull(c, displaced->second);
        }
    }
}

void removeFromQueue(context& c, const attempt_entry& entry)
{
    const auto& attempt = entry.start.attempt;
    if (entry.start.suspect) {
        c.state.suspects.erase(
            std::remove(c.state.suspects.begin(), c.state.suspects.end(), attempt), c.state.suspects.end());
    } else {
        scheduling::remove(c.state.queue, attempt);
    }
    c.state.judged.erase(attempt);
    if (c.state.running.erase(attempt) == 0) {
        return;
    }
    if (entry.start.suspect) {
        c.state.suspectRunning = false;
    } else {
        scheduling::onAttemptEnded(c.state.queue, attempt);
    }
}

void startNext(context& c)
{
    if (!c.state.health.up || c.state.suspectRunning) {
        return;
    }
    if (!c.state.suspects.empty()) {
        startSuspect(c);
        return; // others wait until it has run alone
    }
    const auto running = static_cast<std::uint32_t>(c.state.running.size());
    const auto slots = c.state.settings.batchLimit > running ? c.state.settings.batchLimit - running : 0;
    for (const auto& queued : scheduling::next(c.state.queue, c.now, slots)) {
        const auto found = c.state.attempts.find(queued.attempt);
        if (found != c.state.attempts.end() && found->second.phase == attempt_phase::Waiting) {
            run(c, found->second);
        }
    }
}

} // namespace cuminledge::core::sidecar
