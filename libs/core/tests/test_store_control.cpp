#include <core/store/control_state.hpp>

#include <string>

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core::store;

namespace {

const wire::refused* refusal(const wire::command_result& answer)
{
    return std::get_if<wire::refused>(&answer);
}

std::uint64_t revision(const wire::command_result& answer)
{
    REQUIRE(std::holds_alternative<wire::acknowledged>(answer));
    return std::get<wire::acknowledged>(answer).revision;
}

} // namespace

TEST_CASE("of two manifests with equal numbers one is accepted, and every resend gets the outcome of its manifest")
{
    control_state state;
    const wire::command first = wire::accept_manifest { 5, "digest-a", "a" };
    const wire::command second = wire::accept_manifest { 5, "digest-b", "b" };
    CHECK(revision(applyCommand(state, first)) == 5);
    const auto conflict = applyCommand(state, second);
    REQUIRE(refusal(conflict) != nullptr);
    CHECK(refusal(conflict)->detail == "digest-a");
    CHECK(revision(applyCommand(state, first)) == 5);
    CHECK(revision(applyCommand(state, wire::accept_manifest { 6, "digest-c", "c" })) == 6);
    const auto replaced = applyCommand(state, first);
    REQUIRE(refusal(replaced) != nullptr);
    CHECK(refusal(replaced)->message.find("accepted before and has been replaced") != std::string::npos);
    const auto lost = applyCommand(state, second);
    REQUIRE(refusal(lost) != nullptr);
    CHECK(refusal(lost)->message.find("it was not accepted") != std::string::npos);
    CHECK(state.manifest == "c");
}

TEST_CASE("keys are issued and withdrawn once, and changes are found by revision")
{
    control_state state;
    const wire::command issue = wire::issue_key { "k1", "a", "salt", "hash" };
    CHECK(revision(applyCommand(state, issue)) == 1);
    CHECK(revision(applyCommand(state, issue)) == 1);
    CHECK(refusal(applyCommand(state, wire::issue_key { "k1", "b", "salt", "hash" })) != nullptr);
    CHECK(revision(applyCommand(state, wire::issue_key { "k2", "a", "salt", "hash" })) == 2);
    CHECK(revision(applyCommand(state, wire::withdraw_key { "k1" })) == 3);
    CHECK(revision(applyCommand(state, wire::withdraw_key { "k1" })) == 3);
    CHECK(refusal(applyCommand(state, issue)) != nullptr);
    CHECK(refusal(applyCommand(state, wire::withdraw_key { "k3" })) != nullptr);
    CHECK(changedSince(state.keyChanges, 1) == std::vector<std::string> { "k2", "k1" });
    CHECK(changedSince(state.keyChanges, 3)->empty());
    CHECK_FALSE(changedSince(state.keyChanges, 4));
}

TEST_CASE("fencing numbers increase with each incarnation, and an older incarnation gets none")
{
    control_state state;
    const auto number = [&state](std::uint64_t incarnation) {
        const auto answer = applyCommand(state, wire::register_orderer { "e1", incarnation });
        const auto* given = std::get_if<wire::fencing_number>(&answer);
        return given == nullptr ? 0 : given->number;
    };
    const auto first = number(10);
    CHECK(first > 0);
    CHECK(number(10) == first);
    CHECK(number(11) > first);
    CHECK(number(10) == 0);
}

TEST_CASE("a fingerprint is quarantined at its second death, and only an operator lifts the quarantine")
{
    control_state state;
    applyCommand(state, wire::report_crash { "f", "a", "e1", 1 });
    applyCommand(state, wire::report_crash { "f", "a", "e1", 1 });
    CHECK_FALSE(state.crashes.at("f").quarantined);
    applyCommand(state, wire::report_crash { "f", "a", "e2", 1 });
    CHECK(state.crashes.at("f").quarantined);
    CHECK(refusal(applyCommand(state, wire::clear_fingerprint { "f", false })) != nullptr);
    applyCommand(state, wire::clear_fingerprint { "f", true });
    CHECK(state.crashes.at("f").cleared);
    applyCommand(state, wire::report_crash { "f", "a", "e2", 1 });
    CHECK(state.crashes.at("f").cleared);

    applyCommand(state, wire::report_crash { "innocent", "a", "e1", 1 });
    applyCommand(state, wire::clear_fingerprint { "innocent", false });
    applyCommand(state, wire::report_crash { "innocent", "a", "e3", 4 });
    CHECK_FALSE(state.crashes.at("innocent").quarantined);
}

// Guards against innocent requests that stay refused although they were answered, and against a limit that is not obeyed.
TEST_CASE("a report's own limit of deaths holds, and a whole answer lifts the quarantine")
{
    control_state state;
    constexpr std::uint32_t limit = 3;
    applyCommand(state, wire::report_crash { "f", "a", "e1", 1, limit });
    applyCommand(state, wire::report_crash { "f", "a", "e2", 1, limit });
    CHECK_FALSE(state.crashes.at("f").quarantined);
    applyCommand(state, wire::report_crash { "f", "a", "e2", 2, limit });
    CHECK(state.crashes.at("f").quarantined);
    applyCommand(state, wire::clear_fingerprint { "f", false, true });
    CHECK_FALSE(state.crashes.at("f").quarantined);
    applyCommand(state, wire::report_crash { "f", "a", "e3", 1, limit });
    CHECK(state.crashes.at("f").deaths.size() == 1);
}

TEST_CASE("a snapshot contains the whole state")
{
    control_state state;
    applyCommand(state, wire::accept_manifest { 5, "digest-a", "a" });
    applyCommand(state, wire::issue_key { "k1", "a", "salt", "hash" });
    applyCommand(state, wire::issue_key { "k2", "a", "salt", "hash" });
    applyCommand(state, wire::withdraw_key { "k1" });
    applyCommand(state, wire::drain_backend { "e1", true });
    applyCommand(state, wire::register_orderer { "e1", 3 });
    applyCommand(state, wire::report_crash { "f", "a", "e1", 1 });
    const auto bytes = encodeSnapshot(state);
    const auto copy = decodeControlSnapshot(bytes);
    REQUIRE(copy);
    CHECK(encodeSnapshot(*copy) == bytes);
    CHECK(copy->withdrawnKeys == 1);
    CHECK(changedSince(copy->keyChanges, 2) == std::vector<std::string> { "k1" });
    CHECK_FALSE(decodeControlSnapshot(""));
    CHECK_FALSE(decodeControlSnapshot(bytes.substr(0, bytes.size() - 1)));
}
