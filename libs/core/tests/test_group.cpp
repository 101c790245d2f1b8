#include <core/store/group.hpp>

#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace cuminledge;

TEST_CASE("the groups of known ids never change: stored state is found by them")
{
    CHECK(core::groupOfProgram("program-1", 1) == 1);
    CHECK(core::groupOfProgram("program-1", 1000) == 456);
    CHECK(core::groupOfCall("a", "call-1", 1000) == 883);
    CHECK(core::groupOfAccount("a", 1000) == 956);
}

TEST_CASE("programs spread evenly over the groups")
{
    constexpr std::uint32_t groupCount = 16;
    constexpr int programCount = 16000;
    std::vector<int> counts(groupCount + 1);
    for (int i = 0; i < programCount; ++i) {
        ++counts[core::groupOfProgram("program-" + std::to_string(i), groupCount)];
    }
    CHECK(counts[0] == 0);
    for (std::uint32_t group = 1; group <= groupCount; ++group) {
        CHECK(counts[group] > 850);
        CHECK(counts[group] < 1150);
    }
}

TEST_CASE("commands and queries about the same object go to the same group")
{
    constexpr std::uint32_t groupCount = 7;
    CHECK(core::store::groupOf(wire::command(wire::withdraw_key { "k" }), groupCount) == core::systemGroup);
    wire::begin_turn begin;
    begin.program = "p";
    CHECK(core::store::groupOf(wire::command(begin), groupCount) == core::groupOfProgram("p", groupCount));
    CHECK(core::store::groupOf(wire::query(wire::read_program { "p", "a" }), groupCount)
        == core::groupOfProgram("p", groupCount));
    wire::settle_call settle;
    settle.account = "a";
    settle.call = "c";
    CHECK(core::store::groupOf(wire::command(settle), groupCount)
        == core::store::groupOf(wire::query(wire::read_call { "a", "c" }), groupCount));
}
