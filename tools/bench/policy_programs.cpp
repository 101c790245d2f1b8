#include "policy_state.hpp"

#include <algorithm>
#include <cmath>

namespace cuminledge::bench::policy {

namespace {

    void endProgram(run_state& run, std::size_t index, bool failed)
    {
        auto& program = run.programs[index];
        program.done = true;
        if (failed) {
            ++run.figures.failedPrograms;
        }
        if (program.plan->abandoned && !failed) {
            after(run, run.w.idleTimeout, [&run, index] { markGone(run, run.programs[index]); });
        } else {
            markGone(run, program);
        }
        if (program.parent < 0) {
            return;
        }
        const auto parent = static_cast<std::size_t>(program.parent);
        auto& above = run.programs[parent];
        --above.agentsLeft;
        if (above.agentsLeft == 0 && above.pauseOver) {
            startTurn(run, parent);
        }
    }

    void enqueue(run_state& run, const std::string& attempt)
    {
        const auto found = run.attempts.find(attempt);
        if (found == run.attempts.end()) {
            return; // its engine died while the cache was being copied
        }
        const auto live = found->second;
        auto& sidecar = run.sidecars[live.engine];
        if (!sidecar.engine.alive) {
            return; // it fails with the others that its engine had
        }
        const auto& program = run.programs[live.program];
        const auto& turn = program.plan->turns[live.turn];
        if (!run.variant.useQueue) {
            if (run.variant.usePins) {
                cache::onTurnStarted(sidecar.pins, program.id, std::to_string(program.plan->account), run.now);
            }
            admit(sidecar.engine,
                { attempt, program.id, 0, 0, program.history + turn.deltaTokens, 0, turn.answerTokens },
                program.history, run.now);
            return;
        }
        scheduling::queued_attempt queued;
        queued.attempt = attempt;
        queued.account = std::to_string(program.plan->account);
        queued.program = program.id;
        queued.attainedTokens = program.attained;
        queued.prefillTokens = live.prefillTokens;
        queued.expectedTokens = run.w.answerTokens;
        queued.arrivedAt = run.now;
        queued.latestStart = run.now + latestStart;
        const auto outcome = scheduling::push(sidecar.queue, queued, run.now);
        if (outcome.displaced) {
            onRefused(run, outcome.displaced->attempt, milliseconds { 500 });
        }
        if (outcome.refusal != scheduling::push_refusal::None) {
            onRefused(run, attempt, outcome.retryAfter);
            return;
        }
        if (sidecar.queue.queuedCount > sidecar.queue.settings.maxQueued) {
            ++run.figures.invariantBreaks;
        }
        pump(run, live.engine);
    }

    routing::backend_choice choose(run_state& run, bench_gateway& gateway, const routing::route_request& request)
    {
        switch (run.variant.router) {
        case router_kind::RoundRobin:
            return routing::chooseRoundRobin(gateway.table, request, gateway.turn);
        case router_kind::CacheAffinity:
            return routing::chooseByCacheAffinity(gateway.table, request, gateway.turn);
        case router_kind::LeastLoaded:
            return routing::chooseLeastLoaded(gateway.table, request);
        case router_kind::Scored:
            break;
        }
        return routing::chooseBackend(gateway.table, request, run.now, run.random);
    }

    std::size_t engineNamed(const run_state& run, const std::string& name)
    {
        std::size_t index = 0;
        while (run.sidecars.at(index).name != name) {
            ++index;
        }
        return index;
    }

    /// @return how long copying the cache takes; zero where the home has nothing any more.
    duration transferCache(run_state& run, const live_program& program, std::size_t to)
    {
        const auto& from = run.sidecars[static_cast<std::size_t>(program.home)].engine;
        const auto found = from.cache.find(program.id);
        if (!from.alive || found == from.cache.end()) {
            return duration { 0 };
        }
        const auto tokens = found->second.tokens;
        auto& sidecar = run.sidecars[to];
        if (run.variant.usePins) {
            cache::onTurnStarted(sidecar.pins, program.id, std::to_string(program.plan->account), run.now);
        }
        importCache(sidecar.engine, program.id, tokens, run.now);
        const double copy = static_cast<double>(tokens) / run.w.engine.transferTokensPerSecond;
        return run.variant.routing.transferSetup + std::chrono::duration_cast<duration>(seconds(copy));
    }

    /// @return whether the call is inside its account's rate; otherwise its caller sends it again when told to.
    bool isWithinRate(run_state& run, std::size_t index)
    {
        constexpr milliseconds leastRetryAfter { 1'000 };
        auto& program = run.programs[index];
        if (!run.variant.useLimits || program.admitted) {
            return true;
        }
        auto& bucket = run.buckets[program.plan->account];
        if (core::limits::takeTokens(bucket, 1, run.now)) {
            program.admitted = true;
            return true;
        }
        ++run.figures.rateRefusals;
        const bool floods = run.c.floodFactor > 1 && program.plan->account == run.w.floodingAccount;
        run.figures.othersRateRefused += floods ? 0 : 1;
        const auto wait = std::max(leastRetryAfter, core::limits::timeUntilTokens(bucket, 1));
        after(run, wait, [&run, index] { startTurn(run, index); });
        return false;
    }

    void onPauseOver(run_state& run, std::size_t index)
    {
        auto& program = run.programs[index];
        program.pauseOver = true;
        if (program.agentsLeft == 0) {
            startTurn(run, index);
        }
    }

    void goOn(run_state& run, std::size_t index)
    {
        const auto& ended = run.programs[index].plan->turns[run.programs[index].turn];
        ++run.programs[index].turn;
        if (run.programs[index].turn == run.programs[index].plan->turns.size()) {
            endProgram(run, index, false);
            return;
        }
        run.programs[index].pauseOver = false;
        run.programs[index].agentsLeft = static_cast<std::uint32_t>(ended.subAgents.size());
        for (const auto& agent : ended.subAgents) {
            startTurn(run, addProgram(run, agent, static_cast<std::int64_t>(index)));
        }
        after(run, ended.pause, [&run, index] { onPauseOver(run, index); });
    }

} // namespace

void pump(run_state& run, std::size_t engine)
{
    auto& sidecar = run.sidecars[engine];
    if (!sidecar.engine.alive || !run.variant.useQueue) {
        return;
    }
    const auto there = static_cast<std::uint32_t>(sidecar.engine.running.size() + sidecar.engine.waiting.size());
    const auto slots = scheduling::admissionSlots(run.w.engine.batchLimit - run.variant.headroom, there);
    for (const auto& taken : scheduling::next(sidecar.queue, run.now, slots)) {
        const auto found = run.attempts.find(taken.attempt);
        if (found == run.attempts.end()) {
            ++run.figures.invariantBreaks;
            continue;
        }
        const auto& program = run.programs[found->second.program];
        const auto& turn = program.plan->turns[program.turn];
        run.figures.longestWait = std::max(run.figures.longestWait, toSeconds(run.now - taken.arrivedAt));
        if (run.variant.usePins) {
            cache::onTurnStarted(sidecar.pins, program.id, std::to_string(program.plan->account), run.now);
        }
        admit(sidecar.engine,
            { taken.attempt, program.id, 0, 0, program.history + turn.deltaTokens, 0, turn.answerTokens },
            program.history, run.now);
    }
}

void onRefused(run_state& run, const std::string& attempt, milliseconds retryAfter)
{
    const auto found = run.attempts.find(attempt);
    if (found == run.attempts.end()) {
        ++run.figures.invariantBreaks;
        return;
    }
    const auto live = found->second;
    run.attempts.erase(found);
    routing::onAttemptDropped(run.gateways[live.gateway].table, run.sidecars[live.engine].name);
    ++run.figures.refusedAttempts;
    auto& program = run.programs[live.program];
    program.turnUnderWay = false;
    if (run.variant.usePins) {
        // A copy of its cache may have come here ahead of it.
        auto& sidecar = run.sidecars[live.engine];
        const auto copied = sidecar.engine.cache.find(program.id);
        const auto tokens = copied == sidecar.engine.cache.end() ? 0 : copied->second.tokens;
        cache::onTurnEnded(sidecar.pins, program.id, tokens, run.now);
    }
    if (++program.refusals > maxRefusals) {
        endProgram(run, live.program, true);
        return;
    }
    after(run, retryAfter, [&run, index = live.program] { startTurn(run, index); });
}

void failConnect(run_state& run, const std::string& attempt)
{
    const auto found = run.attempts.find(attempt);
    if (found == run.attempts.end()) {
        return;
    }
    const auto live = found->second;
    run.attempts.erase(found);
    ++run.figures.failedAttempts;
    routing::onAttemptFailed(run.gateways[live.gateway].table, run.sidecars[live.engine].name, run.now);
    auto& program = run.programs[live.program];
    program.exclude.push_back(run.sidecars[live.engine].name);
    startTurn(run, live.program);
}

void startTurn(run_state& run, std::size_t index)
{
    if (!isWithinRate(run, index)) {
        return;
    }
    auto& program = run.programs[index];
    while (!run.gateways[program.gateway].alive) {
        program.gateway = (program.gateway + 1) % run.gateways.size();
    }
    auto& gateway = run.gateways[program.gateway];
    routing::route_request request;
    request.model = model;
    request.cacheBackend = program.home < 0 ? "" : run.sidecars[static_cast<std::size_t>(program.home)].name;
    request.historyTokens = program.history;
    request.deltaTokens = program.plan->turns[program.turn].deltaTokens;
    request.expectedTokens = run.w.answerTokens;
    request.exclude = program.exclude;
    const auto choice = choose(run, gateway, request);
    if (choice.index == routing::noBackend) {
        program.exclude.clear();
        after(run, milliseconds { 500 }, [&run, index] { startTurn(run, index); });
        return;
    }
    program.turnUnderWay = true;
    const auto engine = engineNamed(run, gateway.table.details[choice.index].backend);
    auto& sidecar = run.sidecars[engine];
    const auto attempt = program.id + ':' + std::to_string(program.turn) + ':' + std::to_string(program.attempt++);
    run.attempts[attempt] = { index, program.turn, engine, program.gateway, choice.prefillTokens };
    routing::onAttemptStarted(gateway.table, sidecar.name, choice.prefillTokens, run.now);
    ++run.sent;
    const bool crosses = sidecar.domain != gateway.domain;
    run.crossed += crosses ? 1 : 0;
    if (!sidecar.engine.alive) {
        after(run, connectFailure, [&run, attempt] { failConnect(run, attempt); });
        return;
    }
    duration delay = crosses ? duration(crossDomainRoundTrip) : duration { 0 };
    if (choice.transferCache) {
        delay += transferCache(run, program, engine);
    }
    if (delay > duration { 0 }) {
        after(run, delay, [&run, attempt] { enqueue(run, attempt); });
        return;
    }
    enqueue(run, attempt);
}

std::size_t addProgram(run_state& run, const program_plan& plan, std::int64_t parent)
{
    live_program program;
    program.plan = &plan;
    program.id = "program-" + std::to_string(run.programs.size());
    program.parent = parent;
    program.started = run.now;
    program.gateway = run.programs.size() % run.gateways.size();
    run.byId[program.id] = run.programs.size();
    run.programs.push_back(std::move(program));
    return run.programs.size() - 1;
}

void onFinished(run_state& run, std::size_t engine, const engine_sequence& sequence)
{
    const auto found = run.attempts.find(sequence.attempt);
    if (found == run.attempts.end()) {
        ++run.figures.invariantBreaks;
        return;
    }
    const auto live = found->second;
    run.attempts.erase(found);
    auto& sidecar = run.sidecars[engine];
    auto& program = run.programs[live.program];
    if (program.turn != live.turn || program.done || live.engine != engine) {
        ++run.figures.invariantBreaks;
        return;
    }
    const auto prefilled = sequence.promptTokens - sequence.cachedTokens;
    run.historyTokens += static_cast<double>(program.history);
    run.savedTokens += static_cast<double>(std::min(sequence.cachedTokens, program.history));
    program.history = sequence.promptTokens + sequence.answerTokens;
    program.attained += prefilled + 2 * sequence.answerTokens;
    program.home = static_cast<std::int32_t>(engine);
    program.refusals = 0;
    program.exclude.clear();
    program.turnUnderWay = false;
    program.admitted = false;
    if (run.variant.useQueue) {
        scheduling::onServiceReceived(sidecar.queue, sequence.attempt, prefilled, sequence.answerTokens, run.now);
        scheduling::onAttemptEnded(sidecar.queue, sequence.attempt);
    }
    if (run.variant.usePins) {
        cache::onTurnEnded(sidecar.pins, program.id, program.history, run.now);
    }
    routing::onAttemptFinished(run.gateways[live.gateway].table, sidecar.name);
    goOn(run, live.program);
}

} // namespace cuminledge::bench::policy
