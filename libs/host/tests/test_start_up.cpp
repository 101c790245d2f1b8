#include <csignal>

#include <base/json.hpp>
#include <host/process.hpp>

#include <catch2/catch.hpp>

using namespace cuminledge;

namespace {

host::loaded_settings makeGatewaySettings()
{
    const auto document = parseJson(R"({"name": "g", "region": "r", "failure_domain": "a",
        "secret": "a secret of tests", "peer_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
        "caller_address": "127.0.0.1:0", "gateway": {
            "controllers": [{"name": "c", "address": "127.0.0.1:1"}],
            "shutdown_delay_ms": 0, "shutdown_limit_ms": 1000 }})",
        "test");
    REQUIRE(document);
    auto loaded = host::readSettings(*document, "no-such-file.json", host::process_role::Gateway);
    if (!loaded) {
        FAIL(loaded.error().message);
    }
    return std::move(*loaded);
}

} // namespace

// Guards against a signal that ends a process by default because it comes before the listeners are open.
TEST_CASE("signals that come before the process runs wait until it does")
{
    const monotonic_clock clock;
    host::process process(makeGatewaySettings(), clock);
    REQUIRE(raise(SIGHUP) == 0);
    REQUIRE(raise(SIGTERM) == 0);
    REQUIRE(raise(SIGTERM) == 0);
    CHECK(process.run() == 0);
}
