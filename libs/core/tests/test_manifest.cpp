#include <core/manifest/manifest.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::core::manifest;

namespace {

std::string validManifest()
{
    return R"({"number": 7,
        "client_accounts": [{"id": "a", "rate_per_second": 2.5, "burst": 5}, {"id": "b", "rate_per_second": 1, "burst": 1}],
        "routes": [
            {"name": "r", "client_accounts": ["a"], "models": [{"model": "m", "versions": ["1"]}, {"model": "n"}],
             "max_tokens": 10, "budget_tokens": 100, "max_turns": 3, "idle_timeout_ms": 2000},
            {"name": "open", "open_to_all": true, "open_account": "b", "models": [{"model": "m"}],
             "max_tokens": 10, "budget_tokens": 100, "max_turns": 3}],
        "services": [{"name": "s", "client_accounts": "all",
            "operations": [{"name": "pay", "repeatable": false, "timeout_ms": 100}]}]})";
}

std::vector<std::string> faultPaths(const std::string& text)
{
    const auto parsed = parseManifest(text);
    std::vector<std::string> paths;
    if (!parsed) {
        for (const auto& fault : parsed.error()) {
            paths.push_back(fault.path);
        }
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

} // namespace

TEST_CASE("a valid manifest is parsed completely")
{
    const auto m = parseManifest(validManifest());
    REQUIRE(m);
    CHECK(m->number == 7);
    CHECK(findAccount(*m, "a")->ratePerSecond == 2.5);
    CHECK(findAccount(*m, "c") == nullptr);
    CHECK(contains(findRoute(*m, "r")->clientAccounts, "a"));
    CHECK_FALSE(contains(findRoute(*m, "r")->clientAccounts, "b"));
    CHECK(findRoute(*m, "open")->openAccount == "b");
    CHECK_FALSE(findOperation(*findService(*m, "s"), "pay")->repeatable);
    CHECK(contains(findService(*m, "s")->clientAccounts, "b"));
}

TEST_CASE("a route allows the versions it lists, and any version if it lists none")
{
    const auto m = parseManifest(validManifest());
    REQUIRE(m);
    const auto& r = *findRoute(*m, "r");
    CHECK(allowsModel(r, "m"));
    CHECK(allowsModel(r, "m@1"));
    CHECK_FALSE(allowsModel(r, "m@2"));
    CHECK(allowsModel(r, "n@2"));
    CHECK_FALSE(allowsModel(r, "o"));
    CHECK(servesModel(r, "m", "m@1"));
    CHECK_FALSE(servesModel(r, "m", "m@2"));
    CHECK_FALSE(servesModel(r, "m", "m"));
    CHECK(servesModel(r, "n", "n"));
    CHECK_FALSE(servesModel(r, "n@1", "n@2"));
}

TEST_CASE("every fault of a manifest is reported with its path")
{
    const auto paths = faultPaths(R"({"number": 0,
        "client_accounts": [{"id": "a", "rate_per_second": -1, "burst": 5}, {"id": "a", "rate_per_second": 1, "burst": "x"}],
        "routes": [
            {"name": "r r", "client_accounts": ["a", "zz", "a"], "models": [], "max_tokens": 0, "budget_tokens": 1,
             "max_turns": 3, "colour": 1},
            {"name": "q", "open_to_all": true, "open_account": "zz", "models": [{"model": "m", "versions": []}],
             "max_tokens": 1, "budget_tokens": 1, "max_turns": 3}],
        "services": [{"name": "s", "operations": [{"name": "pay"}]}], "more": true})");
    const std::vector<std::string> expected = { "$.client_accounts[0].rate_per_second", "$.client_accounts[1].burst",
        "$.client_accounts[1].id", "$.more", "$.number", "$.routes[0].client_accounts[1]",
        "$.routes[0].client_accounts[2]", "$.routes[0].colour", "$.routes[0].max_tokens", "$.routes[0].models",
        "$.routes[0].name", "$.routes[1].models[0].versions", "$.routes[1].open_account",
        "$.services[0].client_accounts", "$.services[0].operations[0].repeatable" };
    CHECK(paths == expected);
}

TEST_CASE("a document that is no JSON object gives one fault at the root")
{
    CHECK(faultPaths("[]") == std::vector<std::string> { "$" });
    CHECK(faultPaths("{") == std::vector<std::string> { "$" });
    CHECK(faultPaths(std::string(maxManifestBytes + 1, ' ')) == std::vector<std::string> { "$" });
}
