#include <wire/commands.hpp>
#include <wire/message.hpp>

#include <random>

#include <catch2/catch.hpp>

using namespace cuminledge;

TEST_CASE("a message survives coding and decoding")
{
    wire::attempt_start start;
    start.attempt = "a-1";
    start.latestStart = std::chrono::milliseconds(250);
    start.kind = wire::backend_kind::Service;
    const auto bytes = wire::encodeVariant(wire::message(start));
    const auto decoded = wire::decodeVariant<wire::message>(bytes, "test", "peer");
    REQUIRE(decoded);
    const auto& copy = std::get<wire::attempt_start>(*decoded);
    CHECK(copy.attempt == "a-1");
    CHECK(copy.latestStart == std::chrono::milliseconds(250));
    CHECK(copy.kind == wire::backend_kind::Service);
}

TEST_CASE("truncated, extended and random bytes are errors and nothing worse")
{
    const std::mt19937_64::result_type seed = 20261204;
    std::mt19937_64 random(seed);
    wire::attempt_done done;
    done.attempt = "a-1";
    done.body = std::string(100, 'x');
    const auto bytes = wire::encodeVariant(wire::message(done));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(wire::decodeVariant<wire::message>(std::string_view(bytes).substr(0, length), "test", "peer"));
    }
    CHECK_FALSE(wire::decodeVariant<wire::message>(bytes + "x", "test", "peer"));
    for (int round = 0; round < 20000; ++round) {
        auto damaged = bytes;
        for (int change = 0; change < 3; ++change) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        static_cast<void>(wire::decodeVariant<wire::message>(damaged, "test", "peer"));
    }
}
