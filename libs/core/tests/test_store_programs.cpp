#include <core/store/shard_state.hpp>

#include <string>

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core::store;

namespace {

wire::command open(const std::string& id, std::int64_t budget, std::uint32_t maxTurns = 10)
{
    return wire::open_program { id, "a", "r", budget, maxTurns, std::chrono::seconds(10) };
}

wire::command begin(std::uint32_t turn, const std::string& attempt, std::int64_t delta, std::int64_t completion,
    const std::string& digest = "digest")
{
    return wire::begin_turn { "p", "a", turn, attempt, digest, delta, completion };
}

wire::command commit(std::uint32_t turn, const std::string& attempt, std::int64_t prompt, std::int64_t completion)
{
    return wire::commit_turn { "p", "a", turn, attempt, "[]", "{}", "stop", prompt, completion, "engine-1" };
}

error_code refusalOf(const wire::command_result& answer)
{
    REQUIRE(std::holds_alternative<wire::refused>(answer));
    return static_cast<error_code>(std::get<wire::refused>(answer).code);
}

wire::program_status statusOf(const wire::command_result& answer)
{
    REQUIRE(std::holds_alternative<wire::program_status>(answer));
    return std::get<wire::program_status>(answer);
}

} // namespace

TEST_CASE("turns are begun and committed in order, and a resent turn gets the committed answer")
{
    shard_state state;
    applyCommand(state, open("p", 1000));
    CHECK(refusalOf(applyCommand(state, begin(2, "x", 1, 1))) == error_code::OutOfOrder);
    REQUIRE(std::holds_alternative<wire::turn_begun>(applyCommand(state, begin(1, "a1", 10, 20))));
    CHECK(statusOf(applyCommand(state, commit(1, "a1", 10, 5))).usedTokens == 15);
    CHECK(statusOf(applyCommand(state, commit(1, "a1", 10, 5))).usedTokens == 15);
    const auto again = std::get<wire::turn_begun>(applyCommand(state, begin(1, "a2", 10, 20)));
    CHECK(again.committed);
    CHECK(again.answer == "{}");
    CHECK(refusalOf(applyCommand(state, begin(1, "a2", 10, 20, "another digest"))) == error_code::Conflict);
    CHECK(refusalOf(applyCommand(state, commit(1, "a2", 10, 5))) == error_code::Conflict);
    const auto next = std::get<wire::turn_begun>(applyCommand(state, begin(2, "a3", 10, 20)));
    CHECK_FALSE(next.committed);
    CHECK(next.historyTurns == 1);
    CHECK(next.historyTokens == 15);
    CHECK(next.home == "engine-1");
}

TEST_CASE("only one turn is under way, and a second attempt is refused with the id of the first")
{
    shard_state state;
    applyCommand(state, open("p", 1000));
    applyCommand(state, begin(1, "a1", 10, 20));
    CHECK(std::holds_alternative<wire::turn_begun>(applyCommand(state, begin(1, "a1", 10, 20))));
    const auto refusal = applyCommand(state, begin(1, "a2", 10, 20));
    CHECK(refusalOf(refusal) == error_code::Conflict);
    CHECK(std::get<wire::refused>(refusal).detail == "a1");
    applyCommand(state, wire::abandon_turn { "p", "a", 1, "a1", 4 });
    CHECK(std::holds_alternative<wire::turn_begun>(applyCommand(state, begin(1, "a2", 10, 20))));
    CHECK(refusalOf(applyCommand(state, commit(1, "a1", 10, 5))) == error_code::Conflict);
    CHECK(statusOf(applyCommand(state, commit(1, "a2", 10, 5))).usedTokens == 19);
}

TEST_CASE("a late resend of an abandoned attempt does not begin the turn again")
{
    shard_state state;
    applyCommand(state, open("p", 1000));
    applyCommand(state, wire::abandon_turn { "p", "a", 1, "a1", 0 });
    CHECK(refusalOf(applyCommand(state, begin(1, "a1", 10, 20))) == error_code::Conflict);
    CHECK(std::holds_alternative<wire::turn_begun>(applyCommand(state, begin(1, "a2", 10, 20))));
}

TEST_CASE("the worst case of a turn must fit the budget, and a program ends at its budget or turn cap")
{
    shard_state state;
    applyCommand(state, open("p", 30, 2));
    CHECK(refusalOf(applyCommand(state, begin(1, "a1", 10, 21))) == error_code::BudgetExceeded);
    applyCommand(state, begin(1, "a1", 10, 10));
    CHECK(statusOf(applyCommand(state, commit(1, "a1", 10, 10))).state == "open");
    CHECK(refusalOf(applyCommand(state, begin(2, "a2", 1, 1))) == error_code::BudgetExceeded);
    const auto ended = statusOf(query(state, wire::read_program { "p", "a" }));
    CHECK(ended.state == "ended");
    CHECK(ended.endReason == "budget");

    applyCommand(state, wire::open_program { "q", "a", "r", 1000, 1, {} });
    applyCommand(state, wire::begin_turn { "q", "a", 1, "b1", "d", 1, 1 });
    applyCommand(state, wire::commit_turn { "q", "a", 1, "b1", "", "", "", 1, 1, "" });
    CHECK(refusalOf(applyCommand(state, wire::begin_turn { "q", "a", 2, "b2", "d", 1, 1 })) == error_code::BudgetExceeded);
    CHECK(statusOf(query(state, wire::read_program { "q", "a" })).endReason == "turn_cap");
}

TEST_CASE("a program of another client account is treated as not found")
{
    shard_state state;
    applyCommand(state, open("p", 1000));
    CHECK(refusalOf(applyCommand(state, wire::begin_turn { "p", "b", 1, "x", "d", 1, 1 })) == error_code::NotFound);
    CHECK(refusalOf(applyCommand(state, wire::end_program { "p", "b", "caller" })) == error_code::NotFound);
    CHECK(refusalOf(query(state, wire::read_program { "p", "b" })) == error_code::NotFound);
    CHECK(refusalOf(query(state, wire::read_history { "p", "b", 1 })) == error_code::NotFound);
    CHECK(refusalOf(query(state, wire::read_program { "none", "b" })) == error_code::NotFound);
}

TEST_CASE("an ended program keeps its history, settles its last turn and begins no further turn")
{
    shard_state state;
    applyCommand(state, open("p", 1000));
    applyCommand(state, begin(1, "a1", 10, 20));
    CHECK(statusOf(applyCommand(state, wire::end_program { "p", "a", "caller" })).state == "ended");
    CHECK(statusOf(applyCommand(state, wire::end_program { "p", "", "idle" })).endReason == "caller");
    CHECK(statusOf(applyCommand(state, commit(1, "a1", 10, 5))).reservedTokens == 0);
    CHECK(refusalOf(applyCommand(state, begin(2, "a2", 10, 20))) == error_code::Conflict);
    CHECK(std::get<wire::history>(query(state, wire::read_history { "p", "a", 1 })).turns.size() == 1);
    const auto ended = std::get<wire::program_list>(query(state, wire::read_ended_programs { { "p", "none" } }));
    CHECK(ended.programs.size() == 2);
}

TEST_CASE("beyond the limit, ended programs are removed, oldest first")
{
    shard_state state;
    for (std::size_t i = 0; i <= maxEndedPrograms; ++i) {
        const auto id = "p" + std::to_string(i);
        applyCommand(state, open(id, 1));
        applyCommand(state, wire::end_program { id, "a", "caller" });
    }
    CHECK(state.programs.size() == maxEndedPrograms);
    CHECK_FALSE(state.programs.contains("p0"));
    CHECK(state.programs.contains("p1"));
}
