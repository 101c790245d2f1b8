#include <base/log.hpp>

#include <array>

#include <catch2/catch.hpp>

using namespace cuminledge;

TEST_CASE("a log line stays one line and quotes what needs it")
{
    const std::array<log_field, 1> plain { { { "port", "80" } } };
    CHECK(formatLogLine("started", plain) == "event=started port=80");
    const std::array<log_field, 1> quoted { { { "why", "a b\n\"c\"" } } };
    CHECK(formatLogLine("x", quoted) == "event=x why=\"a b\\n\\\"c\\\"\"");
    const std::array<log_field, 1> empty { { { "empty", "" } } };
    CHECK(formatLogLine("x", empty) == "event=x empty=\"\"");
}
