#include <catch2/catch.hpp>

#include <core/route_table/validate.hpp>
#include <core/store/control_state.hpp>

using namespace cuminledge;
using namespace cuminledge::core;

namespace {

wire::route_table makeTable()
{
    wire::route_rule route;
    route.name = "r";
    route.host = "h";
    route.pathPrefix = "/a/";
    route.timeout = std::chrono::milliseconds(1'000);
    route.services = { { "s", 1 } };
    wire::route_table table;
    table.version = 3;
    table.routes = { route };
    table.services = { { "s", 0, 0, 0, 0 } };
    table.accounts = { { "alice", { "k1" }, 0, 0, 0 }, { "bob", { "k2" }, 0, 0, 0 } };
    return table;
}

} // namespace

TEST_CASE("Validation of a route table reports each fault", "[route_table]")
{
    auto table = makeTable();
    CHECK(route_table::validate(table).empty());
    SECTION("unknown service") { table.routes[0].services = { { "other", 1 } }; }
    SECTION("same host and prefix") { table.routes.push_back(table.routes[0]); }
    SECTION("weights of 0") { table.routes[0].services = { { "s", 0 } }; }
    SECTION("no service") { table.routes[0].services.clear(); }
    SECTION("timeout of 0") { table.routes[0].timeout = std::chrono::milliseconds(0); }
    SECTION("shared key") { table.accounts[1].keys = { "k1" }; }
    SECTION("no version") { table.version = 0; }
    CHECK(route_table::validate(table).size() == 1);
}

TEST_CASE("Only a higher version replaces a route table", "[route_table]")
{
    store::control_state state;
    const auto accept = [&](std::uint64_t version, const std::string& document) {
        const auto outcome = store::applyCommand(state, wire::accept_routes { version, "t" + document, document });
        return std::get<wire::acknowledged>(outcome).revision;
    };
    CHECK(accept(3, "a") == 3);
    CHECK(accept(3, "b") == 3);
    CHECK(accept(2, "c") == 3);
    CHECK(state.routesDocument == "a");
    CHECK(accept(9, "d") == 9);
    CHECK(state.routes == "td");
    const auto restored = store::decodeControlSnapshot(store::encodeSnapshot(state));
    REQUIRE(restored);
    CHECK(restored->routesVersion == 9);
    CHECK(restored->routesDocument == "d");
}
