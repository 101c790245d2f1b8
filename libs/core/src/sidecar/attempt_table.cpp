#include "attempt_table.hpp"

#include <algorithm>

#include <core/group.hpp>

#include "announce.hpp"
#include "cache_release.hpp"
#include "run_queue.hpp"
#include "upstream.hpp"

namespace cuminledge::core::sidecar {

namespace {

    constexpr std::size_t maxClosed = 1'000'000;
    /// Work of a gateway that is gone for so long is cancelled.
    constexpr std::chrono::milliseconds orphanTimeout { 10'000 };
    constexpr std::chrono::milliseconds historyTimeout { 10'000 };
    constexpr std::uint64_t chunkBytes = 256U << 10U;

    wire::attempt_failed describeFailure(
        const std::string& attempt, wire::attempt_outcome outcome, error_code code, const std::string& message)
    {
        wire::attempt_failed failed;
        failed.attempt = attempt;
        failed.outcome = outcome;
        failed.code = static_cast<std::uint32_t>(code);
        failed.message = message;
        failed.step = "sidecar";
        return failed;
    }

    void refuse(context& c, const std::string& peer, const std::string& attempt, error_code code,
        const std::string& message)
    {
        ++c.state.counters.attemptsRefused;
        // Once the table of refusals is full no attempt is started any more (see onAttemptStart), so this stays true.
        if (c.state.closed.size() < maxClosed) {
            c.state.closed[attempt] = closed_kind::NotRun;
        }
        auto failed = describeFailure(attempt, wire::attempt_outcome::NotRun, code, message);
        failed.load = currentLoad(c.state);
        c.out.emplace_back(send_message { peer, std::move(failed) });
    }

    void answerClosed(context& c, const std::string& peer, const std::string& attempt, closed_kind kind)
    {
        const bool notRun = kind == closed_kind::NotRun;
        c.out.emplace_back(send_message { peer,
            describeFailure(attempt, notRun ? wire::attempt_outcome::NotRun : wire::attempt_outcome::Unknown,
                error_code::Unavailable, notRun ? "the attempt was refused" : "the outcome is no longer kept") });
    }

    void resendChunks(context& c, const std::string& peer, const attempt_entry& entry, std::uint64_t from)
    {
        for (auto offset = from; offset < entry.text.size(); offset += chunkBytes) {
            c.out.emplace_back(send_message { peer,
                wire::attempt_chunk {
                    entry.start.attempt, offset, entry.text.substr(offset, chunkBytes), entry.completionTokens } });
        }
    }

    void answerStanding(context& c, const std::string& peer, attempt_entry& entry, std::uint64_t fromOffset)
    {
        resendChunks(c, peer, entry, fromOffset);
        if (entry.phase != attempt_phase::Finished) {
            entry.watchers.insert(peer);
            const bool started = entry.phase == attempt_phase::Running || entry.phase == attempt_phase::Judged;
            c.out.emplace_back(
                send_message { peer, wire::attempt_under_way { entry.start.attempt, started, entry.text.size() } });
        } else if (entry.failed) {
            c.out.emplace_back(send_message { peer, *entry.failed });
        } else {
            c.out.emplace_back(send_message { peer, entry.done });
        }
    }

    void readMissingTurns(context& c, attempt_entry& entry)
    {
        const auto key = historyKey(entry.start.account, entry.start.program);
        const auto held = heldTurns(c.state.histories, key);
        entry.phase = attempt_phase::ReadingHistory;
        ++c.state.histories.reads;
        const wire::read_history read { entry.start.program, entry.start.account, held + 1 };
        entry.historyRequest = controller_client::send(c.state.controllers,
            groupOfProgram(entry.start.program, c.state.announcement.groupCount), wire::query(read), "read_history",
            c.now, historyTimeout, c.out);
        c.state.attemptOfRead[entry.historyRequest] = entry.start.attempt;
    }

    bool lacksHistory(const context& c, const attempt_entry& entry)
    {
        const auto& start = entry.start;
        return start.kind == wire::backend_kind::Engine && start.historyTurns > 0
            && heldTurns(c.state.histories, historyKey(start.account, start.program)) < start.historyTurns;
    }

    void take(context& c, const std::string& peer, const wire::attempt_start& start)
    {
        ++c.state.counters.attemptsTaken;
        auto& entry = c.state.attempts[start.attempt];
        entry.start = start;
        entry.gateway = peer;
        entry.watchers = { peer };
        entry.arrivedAt = c.now;
        entry.latestStart = c.now + start.latestStart;
        entry.deadline = c.now + start.timeout;
        entry.watchedUntil = time_point::max();
        entry.text = start.resumeText;
        entry.done.attempt = start.attempt;
        c.out.emplace_back(send_message { peer, wire::attempt_under_way { start.attempt, false, entry.text.size() } });
        if (lacksHistory(c, entry)) {
            readMissingTurns(c, entry);
        } else {
            enqueue(c, entry);
        }
    }

    std::size_t answerBytes(const attempt_entry& entry)
    {
        return entry.text.size() + entry.done.body.size();
    }

    void forgetOldest(context& c)
    {
        const auto attempt = c.state.finished.front();
        c.state.finished.pop_front();
        const auto found = c.state.attempts.find(attempt);
        if (found == c.state.attempts.end()) {
            return;
        }
        const bool notRun = found->second.failed && found->second.failed->outcome == wire::attempt_outcome::NotRun;
        c.state.finishedBytes -= answerBytes(found->second);
        // A late or doubled start of an attempt that has ended must never run it again.
        c.state.closed[attempt] = notRun ? closed_kind::NotRun : closed_kind::Ended;
        c.state.attempts.erase(found);
    }

    void close(context& c, attempt_entry& entry)
    {
        removeFromQueue(c, entry);
        if (entry.historyRequest != 0) {
            controller_client::discardRequest(c.state.controllers, entry.historyRequest);
            c.state.attemptOfRead.erase(entry.historyRequest);
            entry.historyRequest = 0;
        }
        entry.phase = attempt_phase::Finished;
        entry.finishedAt = c.now;
        c.state.finished.push_back(entry.start.attempt);
        // The outcome is sent from `done`; the copy that was read is not needed any more.
        entry.responseBody = {};
        c.state.finishedBytes += answerBytes(entry);
        while (c.state.finishedBytes > c.state.settings.finishedBytes && c.state.finished.size() > 1) {
            forgetOldest(c);
        }
    }

    void cancel(context& c, attempt_entry& entry, const std::string& why)
    {
        switch (entry.phase) {
        case attempt_phase::ReadingHistory:
        case attempt_phase::Waiting:
            ++c.state.counters.attemptsCancelled;
            finishFailed(c, entry, wire::attempt_outcome::NotRun, error_code::Unavailable, why, "cancel");
            return;
        case attempt_phase::Running:
            // A service's operation may not be repeatable: it runs to its end, so that its outcome is known.
            if (entry.start.kind == wire::backend_kind::Service) {
                return;
            }
            ++c.state.counters.attemptsCancelled;
            c.out.emplace_back(cancel_upstream { entry.start.attempt });
            finishFailed(c, entry, wire::attempt_outcome::Ran, error_code::Unavailable, why, "cancel");
            return;
        case attempt_phase::Judged:
        case attempt_phase::Finished:
            return;
        }
    }

    void sweepAttempt(context& c, attempt_entry& entry)
    {
        const bool queued = entry.phase == attempt_phase::Waiting || entry.phase == attempt_phase::ReadingHistory;
        if (queued && c.now >= std::min(entry.latestStart, entry.deadline)) {
            finishFailed(c, entry, wire::attempt_outcome::NotRun, error_code::Timeout,
                "the attempt could not be started in time", "queue");
        } else if (entry.phase == attempt_phase::Running && c.now >= entry.deadline) {
            expireRunning(c, entry);
        } else if (entry.phase != attempt_phase::Finished && c.now >= entry.watchedUntil) {
            cancel(c, entry, "its gateway is gone");
        }
    }

} // namespace

//------------------------------------------------------------------------------------------------------------------
// Messages
//------------------------------------------------------------------------------------------------------------------

void onAttemptStart(context& c, const std::string& peer, const wire::attempt_start& start)
{
    if (const auto known = c.state.attempts.find(start.attempt); known != c.state.attempts.end()) {
        ++c.state.counters.attemptsDoubled;
        answerStanding(c, peer, known->second, start.resumeOffset);
        return;
    }
    if (const auto closed = c.state.closed.find(start.attempt); closed != c.state.closed.end()) {
        ++c.state.counters.attemptsDoubled;
        answerClosed(c, peer, start.attempt, closed->second);
        return;
    }
    if (start.sidecarIncarnation != c.state.identity.incarnation) {
        refuse(c, peer, start.attempt, error_code::Unavailable, "the attempt is meant for another start of this sidecar");
    } else if (start.kind != c.state.settings.kind) {
        refuse(c, peer, start.attempt, error_code::InvalidArgument, "the backend server is of another kind");
    } else if (refusesNewWork(c)) {
        refuse(c, peer, start.attempt, error_code::Unavailable, "the backend server is leaving");
    } else if (!c.state.health.up) {
        refuse(c, peer, start.attempt, error_code::Unavailable, "the backend server does not answer");
    } else if (c.state.closed.size() >= maxClosed) {
        refuse(c, peer, start.attempt, error_code::Overloaded, "the table of attempts is full");
    } else {
        take(c, peer, start);
        startNext(c);
    }
}

void onAttemptQuery(context& c, const std::string& peer, const wire::attempt_query& ask)
{
    if (const auto known = c.state.attempts.find(ask.attempt); known != c.state.attempts.end()) {
        known->second.watchedUntil = time_point::max();
        answerStanding(c, peer, known->second, ask.fromOffset);
        return;
    }
    if (const auto closed = c.state.closed.find(ask.attempt); closed != c.state.closed.end()) {
        answerClosed(c, peer, ask.attempt, closed->second);
        return;
    }
    if (ask.sidecarIncarnation != c.state.identity.incarnation) {
        // An earlier start of this sidecar may have run it; its table is gone.
        c.out.emplace_back(send_message { peer,
            describeFailure(
                ask.attempt, wire::attempt_outcome::Unknown, error_code::Unavailable, "the sidecar has restarted") });
        return;
    }
    if (ask.refuseIfUnknown) {
        refuse(c, peer, ask.attempt, error_code::Unavailable, "the attempt has not come and is refused from now on");
    }
}

void onAttemptCancel(context& c, const std::string& attempt)
{
    const auto found = c.state.attempts.find(attempt);
    if (found != c.state.attempts.end()) {
        cancel(c, found->second, "cancelled by its gateway");
        startNext(c);
        return;
    }
    // It may still be on its way: it must not start then.
    if (!c.state.closed.contains(attempt) && c.state.closed.size() < maxClosed) {
        c.state.closed[attempt] = closed_kind::NotRun;
    }
}

void onAttemptCommitted(context& c, const wire::attempt_committed& committed)
{
    const auto found = c.state.attempts.find(committed.attempt);
    if (found == c.state.attempts.end() || found->second.phase != attempt_phase::Finished || found->second.failed
        || found->second.start.turn == 0) {
        return;
    }
    const auto& entry = found->second;
    addTurn(c.state.histories, historyKey(entry.start.account, entry.start.program), entry.start.turn,
        { entry.start.body, assistantMessageOf(entry.text) });
}

void onGatewayConnected(context& c, const std::string& peer)
{
    c.state.gateways.insert(peer);
    for (auto& [attempt, entry] : c.state.attempts) {
        if (entry.watchers.contains(peer)) {
            entry.watchedUntil = time_point::max();
        }
    }
}

void onGatewayDisconnected(context& c, const std::string& peer)
{
    c.state.gateways.erase(peer);
    for (auto& [attempt, entry] : c.state.attempts) {
        if (entry.phase == attempt_phase::Finished || !entry.watchers.contains(peer)) {
            continue;
        }
        const bool watched = std::any_of(entry.watchers.begin(), entry.watchers.end(),
            [&](const std::string& each) { return c.state.gateways.contains(each); });
        if (!watched) {
            entry.watchedUntil = c.now + orphanTimeout;
        }
    }
}

void onHistoryRead(context& c, const std::string& attempt, const result<wire::command_result>& outcome)
{
    const auto found = c.state.attempts.find(attempt);
    if (found == c.state.attempts.end() || found->second.phase != attempt_phase::ReadingHistory) {
        return;
    }
    auto& entry = found->second;
    entry.historyRequest = 0;
    const auto* history = outcome ? std::get_if<wire::history>(&*outcome) : nullptr;
    const auto key = historyKey(entry.start.account, entry.start.program);
    if (history != nullptr && history->program == entry.start.program) {
        for (const auto& turn : history->turns) {
            addTurn(c.state.histories, key, turn.turn, { turn.delta, turn.answer });
        }
    }
    if (heldTurns(c.state.histories, key) < entry.start.historyTurns) {
        finishFailed(c, entry, wire::attempt_outcome::NotRun, error_code::Unavailable,
            "the program's history could not be read", "read_history");
        return;
    }
    enqueue(c, entry);
    startNext(c);
}

//------------------------------------------------------------------------------------------------------------------
// Outcomes
//------------------------------------------------------------------------------------------------------------------

void tellWatchers(context& c, const attempt_entry& entry, const wire::message& body)
{
    for (const auto& peer : entry.watchers) {
        c.out.emplace_back(send_message { peer, body });
    }
}

void finishDone(context& c, attempt_entry& entry)
{
    ++c.state.counters.attemptsDone;
    close(c, entry);
    noteCacheAfter(c, entry);
    entry.done.totalBytes = entry.text.size();
    entry.done.load = currentLoad(c.state);
    tellWatchers(c, entry, entry.done);
}

void finishFailed(context& c, attempt_entry& entry, wire::attempt_outcome outcome, error_code code,
    const std::string& message, const std::string& step)
{
    ++c.state.counters.attemptsFailed;
    const bool wasRunning = entry.phase == attempt_phase::Running || entry.phase == attempt_phase::Judged;
    close(c, entry);
    if (wasRunning) {
        noteCacheAfter(c, entry);
    }
    auto failed = describeFailure(entry.start.attempt, outcome, code, message);
    failed.step = step;
    failed.completionTokens = entry.completionTokens;
    failed.load = currentLoad(c.state);
    if (entry.failed) {
        failed.backendDied = entry.failed->backendDied;
        failed.engineIncarnation = entry.failed->engineIncarnation;
    }
    entry.failed = failed;
    tellWatchers(c, entry, failed);
}

void sweepAttempts(context& c)
{
    std::vector<std::string> open;
    for (const auto& [attempt, entry] : c.state.attempts) {
        if (entry.phase != attempt_phase::Finished) {
            open.push_back(attempt);
        }
    }
    for (const auto& attempt : open) {
        sweepAttempt(c, c.state.attempts.at(attempt));
    }
    while (!c.state.finished.empty()) {
        const auto found = c.state.attempts.find(c.state.finished.front());
        const bool kept = found != c.state.attempts.end()
            && c.now < found->second.finishedAt + c.state.settings.finishedRetention;
        if (kept) {
            break;
        }
        forgetOldest(c);
    }
}

wire::load_report currentLoad(const sidecar_state& state)
{
    wire::load_report load;
    load.running = static_cast<std::uint32_t>(state.running.size());
    load.waiting = static_cast<std::uint32_t>(state.queue.queuedCount + state.suspects.size());
    load.cacheFreeTokens = std::max<std::int64_t>(state.settings.cacheTokens - state.pins.heldTokens, 0);
    return load;
}

const char* toString(attempt_phase phase)
{
    switch (phase) {
    case attempt_phase::ReadingHistory:
        return "reading_history";
    case attempt_phase::Waiting:
        return "waiting";
    case attempt_phase::Running:
        return "running";
    case attempt_phase::Judged:
        return "judged";
    case attempt_phase::Finished:
        break;
    }
    return "finished";
}

} // namespace cuminledge::core::sidecar
