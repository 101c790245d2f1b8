#include "policy_run.hpp"

#include "engine_model.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <unordered_map>

namespace cuminledge::bench {

namespace {

    using seconds = std::chrono::duration<double>;
    namespace cache = core::cache;
    namespace routing = core::routing;
    namespace scheduling = core::scheduling;
    using std::chrono::milliseconds;

    constexpr milliseconds tickLength { 20 };
    constexpr milliseconds sampleInterval { 500 };
    constexpr milliseconds latestStart { 20'000 };
    constexpr milliseconds connectFailure { 100 };
    constexpr milliseconds announceLease { 3'000 };
    constexpr milliseconds domainOutage { 30'000 };
    constexpr milliseconds crossDomainRoundTrip { 3 };
    constexpr std::uint32_t maxRefusals = 20;
    const std::string model = "model";

    double toSeconds(duration d)
    {
        return seconds(d).count();
    }

    struct live_program {
        const program_plan* plan = nullptr;
        std::string id;
        std::int64_t parent = -1;
        std::uint32_t turn = 0;
        std::uint32_t attempt = 0;
        std::int64_t history = 0;
        std::int64_t attained = 0;
        std::int32_t home = -1;
        std::size_t gateway = 0;
        time_point started {};
        std::uint32_t agentsLeft = 0;
        bool pauseOver = false;
        bool turnUnderWay = false;
        bool admitted = false; ///< the turn is within its account's rate
        std::uint32_t refusals = 0;
        std::vector<std::string> exclude;
        bool done = false;
        bool gone = false;
        time_point goneAt {};
    };

    struct live_attempt {
        std::size_t program = 0;
        std::uint32_t turn = 0;
        std::size_t engine = 0;
        std::size_t gateway = 0;
        std::int64_t prefillTokens = 0;
    };

    struct bench_sidecar {
        engine_model engine;
        scheduling::attempt_queue queue;
        cache::pin_table pins;
        std::uint64_t incarnation = 1;
        std::string name;
        std::string domain;
    };

    struct bench_gateway {
        routing::backend_table table;
        std::string domain;
        std::uint64_t turn = 0;
        bool alive = true;
    };

    struct run_state {
        const workload& w;
        const condition& c;
        const policy_variant& variant;
        std::mt19937_64 random;
        time_point start { std::chrono::hours(1) };
        time_point now { std::chrono::hours(1) };
        std::vector<program_plan> plans;
        std::vector<live_program> programs;
        std::unordered_map<std::string, std::size_t> byId;
        std::unordered_map<std::string, live_attempt> attempts;
        std::vector<bench_sidecar> sidecars;
        std::vector<bench_gateway> gateways;
        std::vector<core::limits::token_bucket> buckets; ///< by account
        std::multimap<time_point, std::function<void()>> timers;
        run_figures figures;
        double historyTokens = 0;
        double savedTokens = 0;
        std::uint64_t sent = 0;
        std::uint64_t crossed = 0;
    };

    void after(run_state& run, duration delay, std::function<void()> what)
    {
        run.timers.emplace(run.now + delay, std::move(what));
    }

    void startTurn(run_state& run, std::size_t index);

    //--------------------------------------------------------------------------------------------------------------
    // Cache
    //--------------------------------------------------------------------------------------------------------------

    void release(run_state& run, std::size_t engine, const std::vector<std::string>& programs)
    {
        for (const auto& program : programs) {
            auto& sidecar = run.sidecars[engine];
            releaseCache(sidecar.engine, program, run.now);
            cache::onReleased(sidecar.pins, program);
        }
    }

    void sendProgramEnded(run_state& run, const live_program& program)
    {
        constexpr double lostShare = 0.05;
        if (!run.variant.usePins || program.home < 0
            || std::uniform_real_distribution<double>(0, 1)(run.random) < lostShare) {
            return;
        }
        const auto engine = static_cast<std::size_t>(program.home);
        after(run, tickLength, [&run, engine, id = program.id] {
            release(run, engine, cache::releaseProgram(run.sidecars[engine].pins, id, run.now));
        });
    }

    void markGone(run_state& run, live_program& program)
    {
        program.gone = true;
        program.goneAt = run.now;
        sendProgramEnded(run, program);
    }

    bool isGone(const run_state& run, const std::string& id)
    {
        const auto found = run.byId.find(id);
        return found == run.byId.end() || run.programs[found->second].gone;
    }

    /// What a sidecar does every second: due releases, and a question about programs idle for long.
    void tendCache(run_state& run, std::size_t engine)
    {
        constexpr milliseconds idleFor { 2'000 };
        constexpr std::size_t askedAtOnce = 256;
        auto& sidecar = run.sidecars[engine];
        if (!sidecar.engine.alive) {
            return;
        }
        if (sidecar.pins.resyncNeeded) {
            cache::cache_listing listing;
            listing.sequence = sidecar.engine.lastSequence;
            for (const auto& [program, entry] : sidecar.engine.cache) {
                listing.programs.emplace_back(program, entry.tokens);
            }
            cache::onListing(sidecar.pins, listing, run.now);
        }
        std::vector<std::string> ended;
        std::vector<std::string> living;
        for (const auto& program : cache::programsToCheck(sidecar.pins, run.now, idleFor, askedAtOnce)) {
            (isGone(run, program) ? ended : living).push_back(program);
        }
        cache::onOpenPrograms(sidecar.pins, living, run.now);
        release(run, engine, cache::onEndedPrograms(sidecar.pins, ended, run.now));
        release(run, engine, cache::dueReleases(sidecar.pins, run.now));
        if (sidecar.pins.heldTokens < 0) {
            ++run.figures.invariantBreaks;
        }
    }

    void publishCacheEvents(run_state& run, std::size_t engine)
    {
        auto& sidecar = run.sidecars[engine];
        const auto changes = std::move(sidecar.engine.changes);
        sidecar.engine.changes.clear();
        if (!run.variant.usePins) {
            return;
        }
        for (const auto& change : changes) {
            if (std::uniform_real_distribution<double>(0, 1)(run.random) < run.c.eventLossShare) {
                continue;
            }
            after(run, run.c.eventDelay, [&run, engine, change, incarnation = sidecar.incarnation] {
                if (run.sidecars[engine].incarnation == incarnation) {
                    cache::onCacheEvent(
                        run.sidecars[engine].pins, { change.sequence, change.program, change.tokens });
                }
            });
        }
    }

    //--------------------------------------------------------------------------------------------------------------
    // Attempts
    //--------------------------------------------------------------------------------------------------------------

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
        request.home = program.home < 0 ? "" : run.sidecars[static_cast<std::size_t>(program.home)].name;
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

    wire::load_report reportOf(const bench_sidecar& sidecar);

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

    //--------------------------------------------------------------------------------------------------------------
    // Load reports, faults
    //--------------------------------------------------------------------------------------------------------------

    wire::load_report reportOf(const bench_sidecar& sidecar)
    {
        wire::load_report report;
        report.running = static_cast<std::uint32_t>(sidecar.engine.running.size());
        report.waiting = static_cast<std::uint32_t>(sidecar.engine.waiting.size() + sidecar.queue.queuedCount);
        report.waitingPrefillTokens = waitingPrefill(sidecar.engine);
        for (const auto& [counter, account] : sidecar.queue.order) {
            for (const auto& attempt : sidecar.queue.accounts.at(account).queued) {
                report.waitingPrefillTokens += attempt.prefillTokens;
            }
        }
        report.prefillTokensPerSecond = static_cast<std::int64_t>(sidecar.engine.lastPrefillRate);
        report.decodeTokensPerSecond = static_cast<std::int64_t>(sidecar.engine.lastDecodeRate);
        return report;
    }

    void sendReports(run_state& run)
    {
        for (const auto& sidecar : run.sidecars) {
            if (!sidecar.engine.alive) {
                continue;
            }
            after(run, run.c.reportDelay, [&run, name = sidecar.name, report = reportOf(sidecar)] {
                for (auto& gateway : run.gateways) {
                    routing::onLoadReport(gateway.table, name, report, run.now, run.c.reportDelay);
                }
            });
        }
        after(run, run.c.reportInterval, [&run] { sendReports(run); });
    }

    wire::backend_record recordOf(const run_state& run, const bench_sidecar& sidecar)
    {
        wire::backend_record record;
        record.backend = sidecar.name;
        record.incarnation = sidecar.incarnation;
        record.region = run.w.region;
        record.failureDomain = sidecar.domain;
        record.models = { model };
        record.batchLimit = run.w.engine.batchLimit;
        record.cacheTokens = run.w.engine.cacheTokens;
        return record;
    }

    void announce(run_state& run, const bench_sidecar& sidecar, bool withdrawn)
    {
        auto record = recordOf(run, sidecar);
        record.withdrawn = withdrawn;
        for (auto& gateway : run.gateways) {
            routing::applyMembership(gateway.table, { record }, false, run.now);
        }
    }

    void killEngine(run_state& run, std::size_t engine)
    {
        auto& sidecar = run.sidecars[engine];
        kill(sidecar.engine);
        std::vector<std::string> lost;
        for (const auto& [attempt, live] : run.attempts) {
            if (live.engine == engine) {
                lost.push_back(attempt);
            }
        }
        std::sort(lost.begin(), lost.end());
        sidecar.queue = {};
        sidecar.queue.settings = run.variant.queue;
        sidecar.pins = cache::makePinTable(run.w.engine.cacheTokens, run.variant.pins);
        ++sidecar.incarnation;
        for (const auto& attempt : lost) {
            after(run, connectFailure, [&run, attempt] { failConnect(run, attempt); });
        }
    }

    void loseDomain(run_state& run)
    {
        const auto& domain = run.w.failureDomains.front();
        for (std::size_t i = 0; i < run.sidecars.size(); ++i) {
            if (run.sidecars[i].domain != domain) {
                continue;
            }
            killEngine(run, i);
            after(run, announceLease, [&run, i] { announce(run, run.sidecars[i], true); });
            after(run, domainOutage, [&run, i] {
                run.sidecars[i].engine.alive = true;
                announce(run, run.sidecars[i], false);
            });
        }
        for (auto& gateway : run.gateways) {
            gateway.alive = gateway.alive && gateway.domain != domain;
        }
        after(run, domainOutage, [&run] {
            for (auto& gateway : run.gateways) {
                gateway.alive = true;
            }
        });
    }

    //--------------------------------------------------------------------------------------------------------------
    // Figures
    //--------------------------------------------------------------------------------------------------------------

    void sample(run_state& run)
    {
        constexpr milliseconds allowed { 5'000 };
        const double held = toSeconds(sampleInterval);
        for (const auto& sidecar : run.sidecars) {
            for (const auto& [id, entry] : sidecar.engine.cache) {
                const auto& program = run.programs[run.byId.at(id)];
                const auto tokens = static_cast<double>(entry.tokens);
                if (program.gone) {
                    run.figures.goneTokenSeconds += tokens * held;
                    if (run.now - program.goneAt > allowed) {
                        run.figures.goneAfter5s = std::max(run.figures.goneAfter5s, tokens);
                    }
                } else if (!program.turnUnderWay) {
                    run.figures.idleTokenSeconds += tokens * held;
                }
            }
        }
        after(run, sampleInterval, [&run] { sample(run); });
    }

    double percentile(std::vector<double> values, double share)
    {
        if (values.empty()) {
            return 0;
        }
        std::sort(values.begin(), values.end());
        const auto position = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
        return values[position];
    }

    /// Programs that have not ended count with the time they have taken so far: dropping them would flatter a policy
    /// that leaves many.
    void collect(run_state& run, const std::vector<double>& ends)
    {
        auto& f = run.figures;
        std::vector<std::vector<double>> slowdowns(run.w.accountShares.size());
        for (std::size_t i = 0; i < run.programs.size(); ++i) {
            const auto& program = run.programs[i];
            if (program.parent >= 0 || program.plan->arrival < run.w.warmUp) {
                continue;
            }
            ++f.programs;
            f.unfinished += program.done ? 0 : 1;
            const double latency = ends[i] > 0 ? ends[i] : toSeconds(run.now - program.started);
            f.latencies.push_back(latency);
            slowdowns[program.plan->account].push_back(latency / idealSeconds(run.w, *program.plan));
        }
        double sum = 0;
        double squares = 0;
        double accounts = 0;
        for (std::size_t account = 0; account < slowdowns.size(); ++account) {
            const auto& values = slowdowns[account];
            if (values.empty()) {
                f.accountSlowdowns.push_back(0);
                continue;
            }
            double mean = 0;
            for (const double value : values) {
                mean += value / static_cast<double>(values.size());
            }
            f.accountSlowdowns.push_back(mean);
            const bool floods = run.c.floodFactor > 1 && account == run.w.floodingAccount;
            if (floods) {
                continue;
            }
            f.worstSlowdown = std::max(f.worstSlowdown, mean);
            f.worstSlowdownP95 = std::max(f.worstSlowdownP95, percentile(values, 0.95));
            sum += 1 / mean;
            squares += 1 / mean / mean;
            accounts += 1;
        }
        f.jain = accounts > 0 ? sum * sum / (accounts * squares) : 0;
        f.prefillSavedShare = run.historyTokens > 0 ? run.savedTokens / run.historyTokens : 0;
        f.crossDomainShare = run.sent > 0 ? static_cast<double>(run.crossed) / static_cast<double>(run.sent) : 0;
        for (const auto& sidecar : run.sidecars) {
            f.utilisation += sidecar.engine.busySeconds / toSeconds(run.w.length) / run.w.engines;
        }
    }

    void setUp(run_state& run)
    {
        for (std::uint32_t i = 0; i < run.w.engines; ++i) {
            bench_sidecar sidecar;
            sidecar.engine.parameters = run.w.engine;
            sidecar.engine.speed = i < run.c.slowShare * run.w.engines ? 0.5 : 1;
            sidecar.queue.settings = run.variant.queue;
            sidecar.pins = cache::makePinTable(run.w.engine.cacheTokens, run.variant.pins);
            sidecar.name = "engine-" + std::to_string(i);
            sidecar.domain = run.w.failureDomains[i % run.w.failureDomains.size()];
            run.sidecars.push_back(std::move(sidecar));
        }
        for (const double calls : usualCallsPerSecond(run.w, run.c)) {
            const bool floods = run.buckets.size() == run.w.floodingAccount;
            const double raised = floods && run.c.floodWithinRate ? run.c.floodFactor : 1;
            const double rate = run.w.rateHeadroom * calls * raised;
            run.buckets.push_back(core::limits::makeBucket({ rate, run.w.burstSeconds * rate }, run.now));
        }
        for (const auto& domain : run.w.failureDomains) {
            bench_gateway gateway;
            gateway.table = routing::makeBackendTable(run.w.region, domain, run.variant.routing);
            gateway.domain = domain;
            run.gateways.push_back(std::move(gateway));
        }
        for (const auto& sidecar : run.sidecars) {
            announce(run, sidecar, false);
        }
        for (const auto& plan : run.plans) {
            after(run, plan.arrival, [&run, &plan] { startTurn(run, addProgram(run, plan, -1)); });
        }
        after(run, run.c.reportInterval, [&run] { sendReports(run); });
        after(run, sampleInterval, [&run] { sample(run); });
        if (run.c.loseDomain) {
            after(run, run.w.length / 2, [&run] { loseDomain(run); });
        }
    }

    void runTimers(run_state& run, time_point until)
    {
        while (!run.timers.empty() && run.timers.begin()->first <= until) {
            run.now = run.timers.begin()->first;
            const auto what = std::move(run.timers.begin()->second);
            run.timers.erase(run.timers.begin());
            what();
        }
        run.now = until;
    }

} // namespace

run_figures runPolicy(const workload& w, const condition& c, const policy_variant& variant, std::uint64_t seed)
{
    run_state run { w, c, variant, std::mt19937_64(seed), {}, {}, drawPrograms(w, c, seed), {}, {}, {}, {}, {}, {}, {}, {}, 0,
        0, 0, 0 };
    run.start = time_point(std::chrono::hours(1));
    run.now = run.start;
    setUp(run);
    const auto end = run.start + 2 * w.length;
    std::vector<double> ends;
    std::uint64_t ticks = 0;
    while (run.now < end) {
        runTimers(run, run.now + tickLength);
        for (std::size_t i = 0; i < run.sidecars.size(); ++i) {
            if (variant.useQueue) {
                for (const auto& late : scheduling::expire(run.sidecars[i].queue, run.now)) {
                    onRefused(run, late.attempt, milliseconds { 100 });
                }
            }
            for (const auto& sequence : step(run.sidecars[i].engine, tickLength, run.now)) {
                onFinished(run, i, sequence);
            }
            pump(run, i);
            publishCacheEvents(run, i);
            constexpr std::uint64_t ticksPerSecond = 50;
            if (variant.usePins && ticks % ticksPerSecond == i % ticksPerSecond) {
                tendCache(run, i);
            }
        }
        ends.resize(run.programs.size(), 0);
        ++ticks;
        bool allDone = run.now > run.start + w.length;
        for (std::size_t i = 0; i < run.programs.size(); ++i) {
            if (run.programs[i].done && ends[i] <= 0) {
                ends[i] = toSeconds(run.now - run.programs[i].started);
            }
            allDone = allDone && run.programs[i].done;
        }
        if (allDone) {
            break;
        }
    }
    collect(run, ends);
    return run.figures;
}

std::vector<policy_variant> policyVariants()
{
    std::vector<policy_variant> variants;
    const auto add = [&variants](const std::string& name, const std::function<void(policy_variant&)>& change) {
        policy_variant variant;
        variant.name = name;
        change(variant);
        variants.push_back(std::move(variant));
    };
    const auto naive = [](policy_variant& v, router_kind router) {
        v.router = router;
        v.useQueue = false;
        v.usePins = false;
        v.useLimits = false;
        v.routing.useEjection = false;
    };
    add("ours", [](policy_variant&) {});
    add("fcfs_round_robin", [&naive](policy_variant& v) { naive(v, router_kind::RoundRobin); });
    add("fcfs_cache_affinity", [&naive](policy_variant& v) { naive(v, router_kind::CacheAffinity); });
    add("least_loaded", [&naive](policy_variant& v) { naive(v, router_kind::LeastLoaded); });
    add("without_limits", [](policy_variant& v) { v.useLimits = false; });
    add("without_fair_shares", [](policy_variant& v) { v.queue.fairAcrossAccounts = false; });
    add("without_least_attained", [](policy_variant& v) { v.queue.leastAttainedFirst = false; });
    add("without_ageing", [](policy_variant& v) { v.queue.useAgeing = false; });
    add("without_early_refusal", [](policy_variant& v) { v.queue.refuseEarly = false; });
    add("without_queue", [](policy_variant& v) { v.useQueue = false; });
    add("with_headroom_of_one", [](policy_variant& v) { v.headroom = 1; });
    add("without_home", [](policy_variant& v) { v.routing.useHome = false; });
    add("without_own_in_flight", [](policy_variant& v) { v.routing.useOwnInFlight = false; });
    add("without_slow_start", [](policy_variant& v) { v.routing.useSlowStart = false; });
    add("without_ejection", [](policy_variant& v) { v.routing.useEjection = false; });
    add("without_transfer", [](policy_variant& v) { v.routing.useTransfer = false; });
    add("without_own_domain_first", [](policy_variant& v) { v.routing.preferOwnFailureDomain = false; });
    add("with_one_random_candidate", [](policy_variant& v) { v.routing.randomCandidates = 1; });
    add("with_all_candidates", [](policy_variant& v) { v.routing.randomCandidates = 0; });
    add("without_pins", [](policy_variant& v) { v.usePins = false; });
    add("without_cache_over_pauses", [](policy_variant& v) { v.pins.keepOverPauses = false; });
    return variants;
}

} // namespace cuminledge::bench
