#include <base/json.hpp>

#include <catch2/catch.hpp>

using namespace cuminledge;

TEST_CASE("every fault of a document is listed with its path")
{
    const auto document = parseJson(R"({"name": 3, "port": 70000, "list": [{"x": "y"}], "extra": 1})", "test");
    REQUIRE(document);
    std::vector<json_fault> faults;
    json_object_reader reader(*document, "$", faults);
    reader.string("name", 1, 8);
    reader.integer("port", 1, 65535);
    reader.string("missing", 1, 8);
    reader.objects("list", 4, [](json_object_reader& element) { element.integer("x", 0, 9); });
    reader.finish();
    REQUIRE(faults.size() == 5);
    CHECK(faults[0].path == "$.name");
    CHECK(faults[1].path == "$.port");
    CHECK(faults[2].path == "$.missing");
    CHECK(faults[3].path == "$.list[0].x");
    CHECK(faults[4].path == "$.extra");
    CHECK(faults[4].message == "unknown field");
}

TEST_CASE("duplicate keys, trailing text, comments and deep nesting are refused")
{
    CHECK_FALSE(parseJson(R"({"a": 1, "a": 2})", "test"));
    CHECK_FALSE(parseJson(R"({"a": 1} x)", "test"));
    CHECK_FALSE(parseJson("{\"a\": 1 /* no */}", "test"));
    CHECK_FALSE(parseJson(std::string(1000, '['), "test"));
    CHECK_FALSE(parseJson("", "test"));
}
