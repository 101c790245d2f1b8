#include <base/log.hpp>

#include <catch2/catch.hpp>

using namespace cuminledge;

TEST_CASE("a log line stays one line and quotes what needs it")
{
    CHECK(formatLogLine("started", { { "port", "80" } }) == "event=started port=80");
    CHECK(formatLogLine("x", { { "why", "a b\n\"c\"" } }) == "event=x why=\"a b\\n\\\"c\\\"\"");
    CHECK(formatLogLine("x", { { "empty", "" } }) == "event=x empty=\"\"");
}
