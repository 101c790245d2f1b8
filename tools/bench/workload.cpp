#include "workload.hpp"

#include <base/json.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace cuminledge::bench {

namespace {

    using seconds = std::chrono::duration<double>;

    duration fromSeconds(double value)
    {
        return std::chrono::duration_cast<duration>(seconds(value));
    }

    double draw(std::mt19937_64& random, double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(random);
    }

    /// Spread of about a factor of two around the mean, as token counts of prompts and answers have.
    std::int64_t drawTokens(std::mt19937_64& random, std::int64_t mean)
    {
        constexpr double sigma = 0.6;
        std::lognormal_distribution<double> spread(std::log(static_cast<double>(mean)) - sigma * sigma / 2, sigma);
        return std::max<std::int64_t>(8, static_cast<std::int64_t>(spread(random)));
    }

    std::uint32_t drawTurns(const workload& w, std::mt19937_64& random)
    {
        std::geometric_distribution<std::uint32_t> turns(1 / w.meanTurns);
        return std::min(w.maxTurns, 1 + turns(random));
    }

    program_plan drawProgram(const workload& w, std::mt19937_64& random, bool isSubAgent)
    {
        std::uniform_real_distribution<double> unit(0, 1);
        program_plan plan;
        const std::uint32_t count = isSubAgent ? 1 + random() % 3 : drawTurns(w, random);
        for (std::uint32_t turn = 0; turn < count; ++turn) {
            turn_plan t;
            t.deltaTokens = drawTokens(random, turn == 0 ? w.firstPromptTokens : w.deltaTokens);
            t.answerTokens = drawTokens(random, w.answerTokens);
            const bool isLong = !isSubAgent && unit(random) < w.longPauseShare;
            t.pause = fromSeconds(draw(random, isLong ? w.meanLongPauseSeconds : w.meanToolPauseSeconds));
            if (!isSubAgent && unit(random) < w.subAgentShare) {
                const std::uint32_t agents = 1 + random() % w.maxSubAgents;
                for (std::uint32_t i = 0; i < agents; ++i) {
                    t.subAgents.push_back(drawProgram(w, random, true));
                }
            }
            plan.turns.push_back(std::move(t));
        }
        plan.turns.back().subAgents.clear();
        plan.abandoned = !isSubAgent && unit(random) < w.abandonedShare;
        return plan;
    }

    void setAccount(program_plan& plan, std::uint32_t account)
    {
        plan.account = account;
        for (auto& turn : plan.turns) {
            for (auto& agent : turn.subAgents) {
                setAccount(agent, account);
            }
        }
    }

    double countCalls(const program_plan& plan)
    {
        auto total = static_cast<double>(plan.turns.size());
        for (const auto& turn : plan.turns) {
            for (const auto& agent : turn.subAgents) {
                total += countCalls(agent);
            }
        }
        return total;
    }

    struct program_means {
        double engineSeconds = 0;
        double calls = 0;
    };

    program_means meansOf(const workload& w)
    {
        constexpr int samples = 2'000;
        std::mt19937_64 random(17);
        program_means means;
        for (int i = 0; i < samples; ++i) {
            const auto plan = drawProgram(w, random, false);
            means.engineSeconds += engineSeconds(w, plan) / samples;
            means.calls += countCalls(plan) / samples;
        }
        return means;
    }

    void readEngine(json_object_reader& reader, engine_parameters& engine)
    {
        engine.batchLimit = static_cast<std::uint32_t>(reader.integer("batch_limit", 1, 4096));
        engine.prefillTokensPerSecond = reader.number("prefill_tokens_per_second", 1, 1e9);
        engine.stepMilliseconds = reader.number("step_ms", 0, 1e4);
        engine.stepMillisecondsPerSequence = reader.number("step_ms_per_sequence", 0, 1e4);
        engine.cacheTokens = reader.integer("cache_tokens", 0, 1'000'000'000);
        engine.transferTokensPerSecond = reader.number("transfer_tokens_per_second", 1, 1e9);
        reader.finish();
    }

    condition readCondition(json_object_reader& reader)
    {
        using std::chrono::milliseconds;
        const milliseconds longest { 600'000 };
        condition c;
        c.name = reader.string("name", 1, 40);
        c.load = reader.number("load", 0.01, 10, c.load);
        c.floodFactor = reader.number("flood_factor", 1, 100, 1);
        c.floodWithinRate = reader.boolean("flood_within_rate", false);
        c.loseDomain = reader.boolean("lose_failure_domain", false);
        c.slowShare = reader.number("half_speed_share", 0, 1, 0);
        c.eventLossShare = reader.number("event_loss_share", 0, 1, 0);
        c.eventDelay = reader.milliseconds("event_delay_ms", milliseconds { 0 }, longest, c.eventDelay);
        c.reportInterval = reader.milliseconds("report_interval_ms", milliseconds { 1 }, longest, c.reportInterval);
        c.reportDelay = reader.milliseconds("report_delay_ms", milliseconds { 0 }, longest, c.reportDelay);
        reader.finish();
        return c;
    }

    void readPrograms(json_object_reader& reader, workload& w)
    {
        w.meanTurns = reader.number("mean_turns", 1, 1000);
        w.maxTurns = static_cast<std::uint32_t>(reader.integer("max_turns", 1, 10'000));
        w.firstPromptTokens = reader.integer("first_prompt_tokens", 1, 1'000'000);
        w.deltaTokens = reader.integer("delta_tokens", 1, 1'000'000);
        w.answerTokens = reader.integer("answer_tokens", 1, 1'000'000);
        w.meanToolPauseSeconds = reader.number("mean_tool_pause_seconds", 0.01, 1e5);
        w.longPauseShare = reader.number("long_pause_share", 0, 1);
        w.meanLongPauseSeconds = reader.number("mean_long_pause_seconds", 0.01, 1e5);
        w.subAgentShare = reader.number("sub_agent_share", 0, 1);
        w.maxSubAgents = static_cast<std::uint32_t>(reader.integer("max_sub_agents", 1, 100));
        w.abandonedShare = reader.number("abandoned_share", 0, 1);
        reader.finish();
    }

} // namespace

double engineSeconds(const workload& w, const program_plan& plan)
{
    const double batch = w.engine.batchLimit;
    const double tokenSeconds
        = (w.engine.stepMilliseconds + w.engine.stepMillisecondsPerSequence * batch) / 1000 / batch;
    double total = 0;
    for (const auto& turn : plan.turns) {
        total += static_cast<double>(turn.deltaTokens) / w.engine.prefillTokensPerSecond;
        total += static_cast<double>(turn.answerTokens) * tokenSeconds;
        for (const auto& agent : turn.subAgents) {
            total += engineSeconds(w, agent);
        }
    }
    return total;
}

std::vector<double> usualCallsPerSecond(const workload& w, const condition& c)
{
    const auto means = meansOf(w);
    const double callsPerSecond = c.load * w.engines / means.engineSeconds * means.calls;
    double total = 0;
    for (const double share : w.accountShares) {
        total += share;
    }
    std::vector<double> calls;
    for (const double share : w.accountShares) {
        calls.push_back(callsPerSecond * share / total);
    }
    return calls;
}

double idealSeconds(const workload& w, const program_plan& plan)
{
    const double tokenSeconds = (w.engine.stepMilliseconds + w.engine.stepMillisecondsPerSequence) / 1000;
    double total = 0;
    for (const auto& turn : plan.turns) {
        total += static_cast<double>(turn.deltaTokens) / w.engine.prefillTokensPerSecond;
        total += static_cast<double>(turn.answerTokens) * tokenSeconds;
        total += seconds(turn.pause).count();
        double agents = 0;
        for (const auto& agent : turn.subAgents) {
            agents = std::max(agents, idealSeconds(w, agent));
        }
        total += std::max(0.0, agents - seconds(turn.pause).count());
    }
    return total - seconds(plan.turns.back().pause).count();
}

std::vector<program_plan> drawPrograms(const workload& w, const condition& c, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const double perSecond = c.load * w.engines / meansOf(w).engineSeconds;
    auto shares = w.accountShares;
    double total = 0;
    for (const double share : shares) {
        total += share;
    }
    const double usual = total;
    shares[w.floodingAccount] *= c.floodFactor;
    total += shares[w.floodingAccount] - w.accountShares[w.floodingAccount];
    std::discrete_distribution<std::uint32_t> account(shares.begin(), shares.end());
    std::vector<program_plan> programs;
    double when = 0;
    while (true) {
        when += draw(random, usual / (perSecond * total));
        if (when > seconds(w.length).count()) {
            return programs;
        }
        auto plan = drawProgram(w, random, false);
        setAccount(plan, account(random));
        plan.arrival = fromSeconds(when);
        programs.push_back(std::move(plan));
    }
}

result<workload> readWorkload(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    auto parsed = parseJson(text.str(), "read_workload");
    if (!parsed) {
        return tl::unexpected<error>(parsed.error());
    }
    workload w;
    std::vector<json_fault> faults;
    json_object_reader reader(*parsed, "$", faults);
    w.name = reader.string("name", 1, 40);
    w.region = reader.string("region", 1, 40);
    w.failureDomains = reader.strings("failure_domains", 64, 40);
    w.engines = static_cast<std::uint32_t>(reader.integer("engines", 1, 10'000));
    reader.objects("accounts", 10'000, [&w](json_object_reader& account) {
        const double share = account.number("share", 0, 1e6);
        if (account.boolean("floods", false)) {
            w.floodingAccount = static_cast<std::uint32_t>(w.accountShares.size());
        }
        account.finish();
        w.accountShares.push_back(share);
    });
    w.length = std::chrono::seconds(reader.integer("length_seconds", 1, 100'000));
    w.warmUp = std::chrono::seconds(reader.integer("warm_up_seconds", 0, 100'000));
    w.rateHeadroom = reader.number("rate_headroom", 0.1, 1000);
    w.burstSeconds = reader.number("burst_seconds", 0.1, 1000);
    w.idleTimeout = std::chrono::seconds(reader.integer("idle_timeout_seconds", 1, 100'000));
    reader.object("programs", [&w](json_object_reader& programs) { readPrograms(programs, w); });
    reader.object("engine", [&w](json_object_reader& engine) { readEngine(engine, w.engine); });
    reader.objects("conditions", 100, [&w](json_object_reader& c) { w.conditions.push_back(readCondition(c)); });
    reader.finish();
    if (!faults.empty() || w.accountShares.empty() || w.failureDomains.empty()) {
        return failure(error_code::InvalidArgument, path + ": " + describe(faults), "read_workload");
    }
    return w;
}

} // namespace cuminledge::bench
