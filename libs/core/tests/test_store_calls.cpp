#include <core/store/shard_state.hpp>

#include <string>

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core::store;

namespace {

wire::command record(const std::string& attempt, const std::string& digest = "digest")
{
    return wire::record_call { "a", "call-1", "", "ledger", "pay", digest, attempt };
}

wire::command dispatch(const std::string& attempt, const std::string& backend = "s1")
{
    return wire::dispatch_call { "a", "call-1", attempt, backend, 7 };
}

wire::command settle(const std::string& attempt, wire::call_state state, const std::string& answer = "")
{
    return wire::settle_call { "a", "call-1", attempt, state, 200, answer };
}

wire::call_status statusOf(const wire::command_result& answer)
{
    REQUIRE(std::holds_alternative<wire::call_status>(answer));
    return std::get<wire::call_status>(answer);
}

bool isConflict(const wire::command_result& answer)
{
    const auto* refusal = std::get_if<wire::refused>(&answer);
    return refusal != nullptr && refusal->code == static_cast<std::uint32_t>(error_code::Conflict);
}

} // namespace

TEST_CASE("a call is recorded, dispatched once by its owner, and its outcome never changes")
{
    shard_state state;
    CHECK(statusOf(applyCommand(state, record("a1"))).attempt == "a1");
    CHECK(statusOf(applyCommand(state, record("a2"))).attempt == "a1");
    CHECK(isConflict(applyCommand(state, record("a3", "another digest"))));
    CHECK(isConflict(applyCommand(state, dispatch("a2"))));
    CHECK(statusOf(applyCommand(state, dispatch("a1"))).state == wire::call_state::Dispatched);
    CHECK(statusOf(applyCommand(state, dispatch("a1"))).state == wire::call_state::Dispatched);
    CHECK(isConflict(applyCommand(state, dispatch("a1", "s2"))));
    CHECK(statusOf(applyCommand(state, settle("a1", wire::call_state::Unknown))).state == wire::call_state::Unknown);
    CHECK(isConflict(applyCommand(state, dispatch("a1"))));
    CHECK(statusOf(applyCommand(state, settle("a1", wire::call_state::Done, "paid"))).answer == "paid");
    CHECK(isConflict(applyCommand(state, settle("a1", wire::call_state::NotRun))));
    CHECK(statusOf(applyCommand(state, settle("a1", wire::call_state::Unknown))).state == wire::call_state::Done);
    CHECK(statusOf(applyCommand(state, settle("a1", wire::call_state::Done, "other"))).answer == "paid");
    CHECK(statusOf(applyCommand(state, record("a4"))).answer == "paid");
    CHECK(statusOf(query(state, wire::read_call { "a", "call-1" })).answer == "paid");
    CHECK(std::holds_alternative<wire::refused>(query(state, wire::read_call { "b", "call-1" })));
    CHECK(state.contradictions == 1);
}

TEST_CASE("a call that was never dispatched can be taken over by another attempt, but is not dispatched twice")
{
    shard_state state;
    applyCommand(state, record("a1"));
    CHECK(isConflict(applyCommand(state, settle("a1", wire::call_state::Unknown))));
    CHECK(statusOf(applyCommand(state, settle("a1", wire::call_state::NotRun))).state == wire::call_state::NotRun);
    CHECK(isConflict(applyCommand(state, dispatch("a1"))));
    CHECK(statusOf(applyCommand(state, record("a1"))).state == wire::call_state::NotRun);
    const auto taken = statusOf(applyCommand(state, record("a2")));
    CHECK(taken.state == wire::call_state::Recorded);
    CHECK(taken.attempt == "a2");
    CHECK(isConflict(applyCommand(state, dispatch("a1"))));
    CHECK(statusOf(applyCommand(state, dispatch("a2"))).state == wire::call_state::Dispatched);
    CHECK(isConflict(applyCommand(state, settle("a1", wire::call_state::Done))));
}

TEST_CASE("beyond the size limit, the oldest answers are dropped and their records stay")
{
    shard_state state;
    const std::string answer(maxCallAnswerBytes, 'x');
    const auto count = maxAnswerBytes / maxCallAnswerBytes + 1;
    for (std::size_t i = 0; i < count; ++i) {
        const auto call = "call-" + std::to_string(i);
        applyCommand(state, wire::record_call { "a", call, "", "s", "o", "d", "a1" });
        applyCommand(state, wire::dispatch_call { "a", call, "a1", "s1", 1 });
        applyCommand(state, wire::settle_call { "a", call, "a1", wire::call_state::Done, 200, answer });
    }
    const auto first = statusOf(query(state, wire::read_call { "a", "call-0" }));
    CHECK(first.state == wire::call_state::Done);
    CHECK(first.answerDropped);
    CHECK(first.answer.empty());
    CHECK(statusOf(query(state, wire::read_call { "a", "call-1" })).answer == answer);
    CHECK(state.answerBytes <= maxAnswerBytes);
}
