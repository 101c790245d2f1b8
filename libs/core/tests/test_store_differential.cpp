#include <core/store/control_state.hpp>
#include <core/store/shard_state.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace cuminledge;
using namespace cuminledge::core::store;

// Differential tests: the state machines are compared with naive models that keep plain lists and recompute everything
// from them. Both get the same random commands, and their results must be equal.

namespace {

constexpr std::uint64_t seedCount = 200;
constexpr int commandCount = 300;

int below(std::mt19937_64& random, int bound)
{
    return std::uniform_int_distribution<int>(0, bound - 1)(random);
}

std::string codeOf(const wire::command_result& outcome)
{
    const auto* refusal = std::get_if<wire::refused>(&outcome);
    return refusal == nullptr ? "ok" : toString(static_cast<error_code>(refusal->code));
}

//------------------------------------------------------------------------------------------------------------------
// Programs
//------------------------------------------------------------------------------------------------------------------

struct naive_turn {
    std::uint32_t number = 0;
    std::string attempt;
    std::string digest;
    std::int64_t cost = 0; ///< reserved while the turn is under way, charged afterwards
    std::int64_t history = 0; ///< tokens of the history including this turn
    enum { UnderWay,
        Committed,
        Abandoned } state
        = UnderWay;
};

/// A program as the list of all attempts ever permitted, in order.
struct naive_program {
    std::vector<naive_turn> attempts;
    std::set<std::string> abandonedAttempts; ///< at the next turn
    std::string endReason;
    std::int64_t budget = 0;
    std::uint32_t maxTurns = 0;

    [[nodiscard]] const naive_turn* committed(std::uint32_t number) const
    {
        for (const auto& turn : attempts) {
            if (turn.number == number && turn.state == naive_turn::Committed) {
                return &turn;
            }
        }
        return nullptr;
    }

    naive_turn* underWay()
    {
        for (auto& turn : attempts) {
            if (turn.state == naive_turn::UnderWay) {
                return &turn;
            }
        }
        return nullptr;
    }

    [[nodiscard]] std::uint32_t committedTurns() const
    {
        std::uint32_t count = 0;
        while (committed(count + 1) != nullptr) {
            ++count;
        }
        return count;
    }

    [[nodiscard]] std::int64_t historyTokens() const
    {
        const auto* last = committed(committedTurns());
        return last == nullptr ? 0 : last->history;
    }

    [[nodiscard]] std::int64_t used() const
    {
        std::int64_t total = 0;
        for (const auto& turn : attempts) {
            total += turn.state == naive_turn::UnderWay ? 0 : turn.cost;
        }
        return total;
    }

    std::string begin(const wire::begin_turn& command)
    {
        if (const auto* turn = committed(command.turn)) {
            return turn->digest == command.requestDigest ? "ok" : "conflict";
        }
        if (!endReason.empty()) {
            return endReason == "caller" ? "conflict" : "budget_exceeded";
        }
        const auto cost = historyTokens() + command.deltaTokens + command.maxCompletionTokens;
        if (const auto* held = underWay()) {
            const bool isSame = held->number == command.turn && held->attempt == command.attempt
                && held->digest == command.requestDigest && held->cost == cost;
            return isSame ? "ok" : "conflict";
        }
        if (command.turn != committedTurns() + 1) {
            return "out_of_order";
        }
        if (abandonedAttempts.contains(command.attempt)) {
            return "conflict";
        }
        if (command.turn > maxTurns) {
            endReason = "turn_cap";
            return "budget_exceeded";
        }
        if (used() + cost > budget) {
            endReason = budget - used() <= historyTokens() ? "budget" : "";
            return "budget_exceeded";
        }
        attempts.push_back({ command.turn, command.attempt, command.requestDigest, cost, 0, naive_turn::UnderWay });
        return "ok";
    }

    std::string commit(const wire::commit_turn& command)
    {
        if (const auto* turn = committed(command.turn)) {
            return turn->attempt == command.attempt ? "ok" : "conflict";
        }
        auto* held = underWay();
        if (held == nullptr || held->number != command.turn || held->attempt != command.attempt) {
            return "conflict";
        }
        held->state = naive_turn::Committed;
        held->history = command.promptTokens + command.completionTokens;
        held->cost = std::min(held->cost, held->history);
        abandonedAttempts.clear();
        return "ok";
    }

    std::string abandon(const wire::abandon_turn& command)
    {
        if (const auto* turn = committed(command.turn)) {
            return turn->attempt == command.attempt ? "ok" : "conflict";
        }
        abandonedAttempts.insert(command.attempt);
        auto* held = underWay();
        if (held != nullptr && held->number == command.turn && held->attempt == command.attempt) {
            held->state = naive_turn::Abandoned;
            held->cost = std::min(held->cost, command.usedTokens);
        }
        return "ok";
    }

    std::string end()
    {
        endReason = endReason.empty() ? "caller" : endReason;
        return "ok";
    }
};

wire::command randomProgramCommand(std::mt19937_64& random)
{
    const auto turn = static_cast<std::uint32_t>(1 + below(random, 5));
    const auto attempt = "attempt-" + std::to_string(below(random, 5));
    const auto digest = "digest-" + std::to_string(below(random, 2));
    switch (below(random, 40)) {
    case 0:
        return wire::end_program { "p", "a", "caller" };
    case 1:
    case 2:
    case 3:
    case 4:
    case 5:
        return wire::abandon_turn { "p", "a", turn, attempt, below(random, 60) };
    default:
        break;
    }
    if (below(random, 2) == 0) {
        return wire::begin_turn { "p", "a", turn, attempt, digest, below(random, 20), below(random, 30) };
    }
    return wire::commit_turn { "p", "a", turn, attempt, "d", "x", "stop", below(random, 40), below(random, 40), "e" };
}

std::string applyNaive(naive_program& naive, const wire::command& command)
{
    if (const auto* begin = std::get_if<wire::begin_turn>(&command)) {
        return naive.begin(*begin);
    }
    if (const auto* commit = std::get_if<wire::commit_turn>(&command)) {
        return naive.commit(*commit);
    }
    if (const auto* abandon = std::get_if<wire::abandon_turn>(&command)) {
        return naive.abandon(*abandon);
    }
    return naive.end();
}

using naive_function = std::function<std::string(naive_program&, const wire::command&)>;

std::optional<std::string> findDifference(std::uint64_t seed, const naive_function& applyToNaive)
{
    std::mt19937_64 random(seed);
    naive_program naive;
    naive.budget = 150;
    naive.maxTurns = 4;
    shard_state state;
    applyCommand(state, wire::open_program { "p", "a", "r", naive.budget, naive.maxTurns, std::chrono::seconds(1) });
    for (int i = 0; i < commandCount; ++i) {
        const auto command = randomProgramCommand(random);
        const auto expected = applyToNaive(naive, command);
        const auto got = codeOf(applyCommand(state, command));
        const auto& p = state.programs.at("p");
        if (got != expected || p.usedTokens != naive.used() || p.turns.size() != naive.committedTurns()) {
            return fmt::format("command {} of kind {}: {}, expected {}", i, command.index(), got, expected);
        }
    }
    return std::nullopt;
}

//------------------------------------------------------------------------------------------------------------------
// Keys: the state of a gateway that applies deltas is compared with the whole list
//------------------------------------------------------------------------------------------------------------------

/// @param sinceOf maps the gateway's revision to the one it requests changes since; a faulty variant maps it wrongly.
std::optional<std::string> findKeyDifference(
    std::uint64_t seed, const std::function<std::uint64_t(std::uint64_t)>& sinceOf)
{
    std::mt19937_64 random(seed);
    control_state state;
    std::map<std::string, bool> gateway; // key to withdrawn
    std::uint64_t revision = 0;
    for (int i = 0; i < commandCount; ++i) {
        const auto key = "k" + std::to_string(below(random, 20));
        if (below(random, 2) == 0) {
            applyCommand(state, wire::issue_key { key, "a", "s", "h" });
        } else {
            applyCommand(state, wire::withdraw_key { key });
        }
        if (below(random, 5) != 0) {
            continue;
        }
        const auto changed = changedSince(state.keyChanges, sinceOf(revision));
        if (!changed) {
            return "a reader needs all objects although none was removed";
        }
        for (const auto& id : *changed) {
            gateway[id] = state.keys.at(id).withdrawn;
        }
        revision = state.keyChanges.revision;
        for (const auto& [id, record] : state.keys) {
            const auto held = gateway.find(id);
            if (held == gateway.end() || held->second != record.withdrawn) {
                return "the gateway has an outdated state of " + id;
            }
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("programs behave like a naive list of attempts")
{
    // The comparison must detect a naive model that charges nothing for abandoned attempts.
    std::size_t differences = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const auto withoutAbandonCharge = [](naive_program& naive, const wire::command& command) {
            auto changed = command;
            if (auto* abandon = std::get_if<wire::abandon_turn>(&changed)) {
                abandon->usedTokens = 0;
            }
            return applyNaive(naive, changed);
        };
        differences += findDifference(seed, withoutAbandonCharge) ? 1U : 0U;
    }
    CHECK(differences > 0);
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const auto difference = findDifference(seed, applyNaive);
        INFO("seed " << seed << ": " << difference.value_or("none"));
        REQUIRE_FALSE(difference);
    }
}

TEST_CASE("a gateway that applies key changes has the same state as the whole list")
{
    std::size_t differences = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const auto skippingOneRevision = [](std::uint64_t revision) { return revision == 0 ? 0 : revision + 1; };
        differences += findKeyDifference(seed, skippingOneRevision) ? 1U : 0U;
    }
    CHECK(differences > 0);
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const auto difference = findKeyDifference(seed, [](std::uint64_t revision) { return revision; });
        INFO("seed " << seed << ": " << difference.value_or("none"));
        REQUIRE_FALSE(difference);
    }
}
