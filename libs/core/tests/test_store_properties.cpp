#include <core/store/control_state.hpp>
#include <core/store/shard_state.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core::store;

// Random commands on one group's state, checked against the rules and against a naive model. Each check is first run on
// a variant that lacks the mechanism, and must find the variant's fault.

namespace {

constexpr int historyCount = 300;
constexpr int commandsPerHistory = 200;
constexpr std::int64_t budget = 200;

using apply_function = std::function<wire::command_result(shard_state&, const wire::command&)>;

wire::command_result applyReal(shard_state& state, const wire::command& command)
{
    return applyCommand(state, command);
}

//------------------------------------------------------------------------------------------------------------------
// Random commands with few ids, so that resends, races and late arrivals are frequent
//------------------------------------------------------------------------------------------------------------------

struct command_source {
    explicit command_source(std::uint64_t seed)
        : random(seed)
    {
    }

    std::mt19937_64 random;

    int below(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random); }
    std::string randomId(const std::string& prefix, int count) { return prefix + std::to_string(below(count)); }

    wire::command programCommand()
    {
        const auto id = randomId("p", 2);
        const auto account = below(10) == 0 ? "other" : "a";
        const auto turn = static_cast<std::uint32_t>(1 + below(4));
        const auto attempt = randomId("attempt-", 6);
        switch (below(8)) {
        case 0:
            return wire::open_program { id, "a", "r", budget, 4, std::chrono::seconds(1) };
        case 1:
        case 2:
        case 3:
            return wire::begin_turn { id, account, turn, attempt, randomId("digest-", 2), below(30), below(60) };
        case 4:
        case 5:
            return wire::commit_turn { id, account, turn, attempt, "delta", "answer", "stop", below(80), below(80), "e" };
        case 6:
            return wire::abandon_turn { id, account, turn, attempt, below(100) };
        default:
            return below(20) == 0 ? wire::command(wire::end_program { id, account, "caller" })
                                  : wire::command(wire::abandon_turn { id, account, turn, attempt, 0 });
        }
    }

    wire::command callCommand()
    {
        const auto call = randomId("call-", 2);
        const auto attempt = randomId("attempt-", 4);
        switch (below(5)) {
        case 0:
        case 1:
            return wire::record_call { "a", call, "", "s", "o", below(10) == 0 ? "other" : "digest", attempt };
        case 2:
            return wire::dispatch_call { "a", call, attempt, randomId("s", 2), 1 };
        default:
            return wire::settle_call { "a", call, attempt, static_cast<wire::call_state>(2 + below(3)), 200, randomId("x", 2) };
        }
    }

    wire::command next() { return below(2) == 0 ? programCommand() : callCommand(); }
};

/// Runs many histories. @return the first violation that `check` reports, with its seed.
std::optional<std::string> findViolation(const std::function<std::optional<std::string>(command_source&)>& check)
{
    for (std::uint64_t seed = 1; seed <= historyCount; ++seed) {
        command_source source(seed);
        if (auto violation = check(source)) {
            return "seed " + std::to_string(seed) + ": " + *violation;
        }
    }
    return std::nullopt;
}

void requireNoViolation(const std::optional<std::string>& violation)
{
    INFO(violation.value_or("none"));
    REQUIRE_FALSE(violation);
}

//------------------------------------------------------------------------------------------------------------------
// Budget: the cost of the attempts is computed independently of the store
//------------------------------------------------------------------------------------------------------------------

/// Assumes that every permitted attempt costs its worst case, whether or not it is ever settled.
std::optional<std::string> checkBudget(command_source& source, const apply_function& apply)
{
    shard_state state;
    std::map<std::string, std::int64_t> charged;
    std::map<std::string, std::map<std::string, std::int64_t>> running; // by program and attempt: the worst case
    for (int i = 0; i < commandsPerHistory; ++i) {
        const auto command = source.programCommand();
        const auto outcome = apply(state, command);
        if (const auto* begin = std::get_if<wire::begin_turn>(&command)) {
            const auto* begun = std::get_if<wire::turn_begun>(&outcome);
            if (begun != nullptr && !begun->committed) {
                running[begin->program][begin->attempt]
                    = begun->historyTokens + begin->deltaTokens + begin->maxCompletionTokens;
            }
        }
        for (const auto& [id, attempts] : running) {
            const auto& p = state.programs.at(id);
            std::int64_t worst = p.usedTokens;
            for (const auto& [attempt, tokens] : attempts) {
                worst += p.underWay.attempt == attempt ? tokens : 0;
            }
            if (worst > budget) {
                return id + " may cost " + std::to_string(worst);
            }
        }
    }
    return std::nullopt;
}

/// Faulty variant: the reservation does not include the worst case of the answer.
wire::command_result applyWithoutReservation(shard_state& state, const wire::command& command)
{
    auto changed = command;
    if (auto* begin = std::get_if<wire::begin_turn>(&changed)) {
        begin->maxCompletionTokens = 0;
    }
    return applyCommand(state, changed);
}

//------------------------------------------------------------------------------------------------------------------
// Order: one turn under way at a time; each turn is committed once, in order
//------------------------------------------------------------------------------------------------------------------

std::optional<std::string> checkOrder(command_source& source, const apply_function& apply)
{
    shard_state state;
    std::map<std::string, std::vector<std::string>> histories; // by program: the attempts that were committed
    std::map<std::string, std::string> permitted; // by program: the attempt that may run
    for (int i = 0; i < commandsPerHistory; ++i) {
        const auto command = source.programCommand();
        const auto outcome = apply(state, command);
        if (const auto* begin = std::get_if<wire::begin_turn>(&command)) {
            const auto* begun = std::get_if<wire::turn_begun>(&outcome);
            if (begun != nullptr && !begun->committed) {
                auto& holder = permitted[begin->program];
                if (!holder.empty() && holder != begin->attempt) {
                    return "two attempts run: " + holder + " and " + begin->attempt;
                }
                holder = begin->attempt;
            }
        } else if (const auto* abandon = std::get_if<wire::abandon_turn>(&command)) {
            const bool isDone = std::holds_alternative<wire::program_status>(outcome);
            if (isDone && permitted[abandon->program] == abandon->attempt && state.programs.at(abandon->program).underWay.turn == 0) {
                permitted[abandon->program].clear();
            }
        } else if (const auto* commit = std::get_if<wire::commit_turn>(&command)) {
            auto& history = histories[commit->program];
            const auto found = state.programs.find(commit->program);
            const auto turns = found == state.programs.end() ? 0 : found->second.turns.size();
            if (turns > history.size() + 1) {
                return "more than one turn committed at once";
            }
            if (turns == history.size() + 1) {
                if (permitted[commit->program] != commit->attempt || commit->turn != turns) {
                    return "committed by an attempt that does not run, or out of order";
                }
                history.push_back(commit->attempt);
                permitted[commit->program].clear();
            }
        }
        for (const auto& [id, history] : histories) {
            for (std::size_t turn = 0; turn < history.size(); ++turn) {
                if (state.programs.at(id).turns.at(turn).attempt != history[turn]) {
                    return "a committed turn changed";
                }
            }
        }
    }
    return std::nullopt;
}

/// Faulty variant: a second attempt replaces the one under way.
wire::command_result applyWithTakeover(shard_state& state, const wire::command& command)
{
    if (const auto* begin = std::get_if<wire::begin_turn>(&command)) {
        const auto found = state.programs.find(begin->program);
        if (found != state.programs.end()) {
            found->second.underWay = {};
        }
    }
    return applyCommand(state, command);
}

//------------------------------------------------------------------------------------------------------------------
// Calls: dispatched once
//------------------------------------------------------------------------------------------------------------------

/// Assumes that every permitted dispatch runs, unless its attempt is later settled as not run.
std::optional<std::string> checkDispatch(command_source& source, const apply_function& apply)
{
    shard_state state;
    std::map<std::string, std::set<std::string>> executions; // by call: attempt and backend server
    std::map<std::string, wire::call_status> done;
    for (int i = 0; i < commandsPerHistory; ++i) {
        const auto command = source.callCommand();
        const auto outcome = apply(state, command);
        const auto* status = std::get_if<wire::call_status>(&outcome);
        if (status == nullptr) {
            continue;
        }
        if (std::holds_alternative<wire::dispatch_call>(command)) {
            executions[status->call].insert(status->attempt + "@" + status->backend);
        }
        if (status->state == wire::call_state::NotRun) {
            executions[status->call].erase(status->attempt + "@" + status->backend);
        }
        if (executions[status->call].size() > 1) {
            return status->call + " runs twice";
        }
        const auto held = done.find(status->call);
        const bool hasChanged = held != done.end()
            && (status->state != wire::call_state::Done || status->answer != held->second.answer);
        if (hasChanged) {
            return status->call + " was done and changed";
        }
        if (status->state == wire::call_state::Done) {
            done.emplace(status->call, *status);
        }
    }
    return std::nullopt;
}

/// Faulty variant: the record does not outlive its attempt, so another gateway's record takes over a dispatched call.
wire::command_result applyWithoutRecord(shard_state& state, const wire::command& command)
{
    if (const auto* record = std::get_if<wire::record_call>(&command)) {
        const auto known = state.calls.find({ record->account, record->call });
        if (known != state.calls.end() && known->second.settledOrder == 0) {
            state.calls.erase(known);
        }
    }
    return applyCommand(state, command);
}

//------------------------------------------------------------------------------------------------------------------
// Resends and snapshots
//------------------------------------------------------------------------------------------------------------------

bool isRefusal(const wire::command_result& outcome)
{
    return std::holds_alternative<wire::refused>(outcome);
}

/// Compares two results. Messages of refusals may differ, since they describe the state; the fields that programs
/// evaluate may not.
bool isEquivalent(const wire::command_result& first, const wire::command_result& second)
{
    const auto* refusal = std::get_if<wire::refused>(&first);
    const auto* again = std::get_if<wire::refused>(&second);
    if (refusal != nullptr && again != nullptr) {
        return refusal->code == again->code && refusal->step == again->step && refusal->detail == again->detail;
    }
    return wire::encodeVariant(first) == wire::encodeVariant(second);
}

std::optional<std::string> checkResend(command_source& source, const apply_function& apply)
{
    shard_state state;
    for (int i = 0; i < commandsPerHistory; ++i) {
        const auto command = source.next();
        const auto first = apply(state, command);
        const auto before = encodeSnapshot(state);
        const auto second = apply(state, command);
        if (!isEquivalent(first, second)) {
            return "command kind " + std::to_string(command.index()) + " resent gives another outcome";
        }
        if (!isRefusal(first) && encodeSnapshot(state) != before) {
            return "command kind " + std::to_string(command.index()) + " resent changes the state";
        }
    }
    return std::nullopt;
}

/// Faulty variant: it does not remember which attempt committed a turn, so a resent commit charges again.
wire::command_result applyChargingAgain(shard_state& state, const wire::command& command)
{
    auto outcome = applyCommand(state, command);
    const auto* commit = std::get_if<wire::commit_turn>(&command);
    if (commit != nullptr && !isRefusal(outcome)) {
        state.programs.at(commit->program).usedTokens += 1;
    }
    return outcome;
}

std::optional<std::string> checkSnapshot(command_source& source, const std::function<std::string(const shard_state&)>& encode)
{
    shard_state state;
    for (int i = 0; i < commandsPerHistory; ++i) {
        applyCommand(state, source.next());
    }
    auto restored = decodeShardSnapshot(encode(state));
    if (!restored) {
        return restored.error().message;
    }
    for (int i = 0; i < commandsPerHistory; ++i) {
        const auto command = source.next();
        const auto left = applyCommand(state, command);
        const auto right = applyCommand(*restored, command);
        if (wire::encodeVariant(left) != wire::encodeVariant(right)) {
            return "a restored replica gives another outcome";
        }
    }
    if (encodeSnapshot(state) != encodeSnapshot(*restored)) {
        return "a restored replica reaches another state";
    }
    return std::nullopt;
}

/// Faulty variant: the snapshot does not contain the abandoned attempts.
std::string encodeWithoutAbandoned(const shard_state& state)
{
    auto changed = state;
    for (auto& [id, p] : changed.programs) {
        p.abandoned.clear();
    }
    return encodeSnapshot(changed);
}

} // namespace

TEST_CASE("a program's budget is never exceeded, in whatever order commands arrive")
{
    REQUIRE(findViolation([](command_source& source) { return checkBudget(source, applyWithoutReservation); }));
    requireNoViolation(findViolation([](command_source& source) { return checkBudget(source, applyReal); }));
}

TEST_CASE("turns run one at a time and are committed once, in order")
{
    REQUIRE(findViolation([](command_source& source) { return checkOrder(source, applyWithTakeover); }));
    requireNoViolation(findViolation([](command_source& source) { return checkOrder(source, applyReal); }));
}

TEST_CASE("a call is never dispatched twice, and the outcome done never changes")
{
    REQUIRE(findViolation([](command_source& source) { return checkDispatch(source, applyWithoutRecord); }));
    requireNoViolation(findViolation([](command_source& source) { return checkDispatch(source, applyReal); }));
}

TEST_CASE("a resent command gives an equivalent result and changes nothing")
{
    REQUIRE(findViolation([](command_source& source) { return checkResend(source, applyChargingAgain); }));
    requireNoViolation(findViolation([](command_source& source) { return checkResend(source, applyReal); }));
}

TEST_CASE("a state restored from its snapshot behaves like the original")
{
    REQUIRE(findViolation([](command_source& source) { return checkSnapshot(source, encodeWithoutAbandoned); }));
    requireNoViolation(findViolation([](command_source& source) {
        return checkSnapshot(source, [](const shard_state& state) { return encodeSnapshot(state); });
    }));
}
