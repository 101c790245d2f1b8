#include <core/event.hpp>

#include <core/effect.hpp>

#include <catch2/catch.hpp>

using namespace cuminledge;

TEST_CASE("an event with a message inside survives coding and decoding")
{
    core::peer_message received;
    received.peer = "gateway-1";
    received.body = wire::load_probe { 7 };
    const auto bytes = wire::encodeVariant(core::event(received));
    const auto decoded = wire::decodeVariant<core::event>(bytes, "test", "");
    REQUIRE(decoded);
    const auto& copy = std::get<core::peer_message>(*decoded);
    CHECK(copy.peer == "gateway-1");
    CHECK(std::get<wire::load_probe>(copy.body).request == 7);
}
