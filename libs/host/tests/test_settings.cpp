#include <host/settings.hpp>

#include <base/json.hpp>

#include <catch2/catch.hpp>

using namespace cuminledge;

TEST_CASE("every fault of the settings is named with its path")
{
    const auto document = parseJson(R"({"name": "g", "region": 1, "failure_domain": "a", "secret": "short",
        "peer_address": "127.0.0.1:70000", "admin_address": "127.0.0.1:1", "caller_address": "x", "other": 1})",
        "test");
    REQUIRE(document);
    const auto loaded = host::readSettings(*document, "g.json", host::process_role::Gateway);
    REQUIRE_FALSE(loaded);
    const auto& message = loaded.error().message;
    for (const auto* path : { "g.json", "$.region", "$.secret", "$.peer_address", "$.caller_address", "$.other",
             "$.gateway" }) {
        CHECK(message.find(path) != std::string::npos);
    }
}
