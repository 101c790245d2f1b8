#include <catch2/catch.hpp>

#include <core/store/shard_state.hpp>

using namespace cuminledge;
using namespace cuminledge::core::store;
using std::chrono::milliseconds;

namespace {

wire::record_stream makeRecord(const std::string& attempt, const std::string& version, std::uint32_t sequence = 1)
{
    return { "alice", attempt, "engines", version, sequence, milliseconds(20'000) };
}

wire::stream_origin originOf(const shard_state& state, const std::string& account, const std::string& attempt)
{
    return std::get<wire::stream_origin>(query(state, wire::read_stream { account, attempt }));
}

} // namespace

// Guards against handing one account the record of another's stream.
TEST_CASE("The origin of a stream is read by its account and attempt alone", "[store]")
{
    shard_state state;
    applyCommand(state, makeRecord("a1", "v1"));
    CHECK(originOf(state, "alice", "a1").service == "engines");
    CHECK(originOf(state, "alice", "a1").softwareVersion == "v1");
    CHECK(originOf(state, "alice", "a2").service.empty());
    CHECK(originOf(state, "bob", "a1").service.empty());
}

// Guards against a delayed copy of an earlier record that hides the version whose events the caller holds.
TEST_CASE("A record of a stream is replaced only by one with a higher sequence", "[store]")
{
    shard_state state;
    applyCommand(state, makeRecord("a1", "v1", 1));
    applyCommand(state, makeRecord("a1", "v2", 2));
    applyCommand(state, makeRecord("a1", "v1", 1));
    applyCommand(state, makeRecord("a1", "v3", 2));
    CHECK(originOf(state, "alice", "a1").softwareVersion == "v2");
}

TEST_CASE("Records of streams expire after their retention", "[store]")
{
    shard_state state;
    applyCommand(state, makeRecord("a1", "v1"));
    applyCommand(state, wire::advance_time { 1, milliseconds(20'000) });
    CHECK(originOf(state, "alice", "a1").softwareVersion == "v1");
    applyCommand(state, wire::advance_time { 1, 2 * clockInterval });
    CHECK(originOf(state, "alice", "a1").service.empty());
    CHECK(state.streams.empty());
}

TEST_CASE("A record of a stream with an empty or overlong name is refused", "[store]")
{
    shard_state state;
    const std::string overlong(100'000, 'x');
    for (const auto& command : { makeRecord("", "v1"), makeRecord(overlong, "v1"), makeRecord("a1", overlong) }) {
        CHECK(std::holds_alternative<wire::refused>(applyCommand(state, command)));
    }
    CHECK(state.streams.empty());
}

// Guards against forgetting origins over a restart, after which a resumption could only be refused.
TEST_CASE("Records of streams are in snapshots and images", "[store]")
{
    shard_state state;
    applyCommand(state, makeRecord("a1", "v1", 3));
    applyCommand(state, wire::retain_turn { "alice", "t1", "", "text", milliseconds(60'000), "", 0 });

    const auto copied = decodeShardSnapshot(encodeSnapshot(state));
    REQUIRE(copied);
    CHECK(originOf(*copied, "alice", "a1").softwareVersion == "v1");
    CHECK(encodeSnapshot(*copied) == encodeSnapshot(state));

    piece_table written;
    const auto image = encodeImage(state, written);
    piece_table read;
    const auto loaded = decodeImage(image.state, image.newPieces, read);
    REQUIRE(loaded);
    CHECK(originOf(*loaded, "alice", "a1").softwareVersion == "v1");
    CHECK(loaded->streams.at({ "alice", "a1" }).sequence == 3);
    CHECK(loaded->turns.size() == 1);
}
