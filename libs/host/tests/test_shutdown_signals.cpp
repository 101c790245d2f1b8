#include <csignal>

#include <catch2/catch.hpp>

#include "shutdown_signals.hpp"

using namespace cuminledge;

// Guards against requests cut off by a supervisor that repeats SIGTERM, or by planned stops that overlap.
TEST_CASE("a repeated SIGTERM never stops a process at once")
{
    host::shutdown_signals signals;
    for (int i = 0; i < 4; ++i) {
        CHECK_FALSE(signals.isImmediate(SIGTERM));
    }
}

// Guards against an operator who can't end a process that drains, and against a first Ctrl-C that cuts requests off.
TEST_CASE("the second SIGINT, and each one after it, stops a process at once")
{
    host::shutdown_signals signals;
    CHECK_FALSE(signals.isImmediate(SIGINT));
    CHECK(signals.isImmediate(SIGINT));
    CHECK(signals.isImmediate(SIGINT));
}

// Guards against the two signals being counted together: a stop by a supervisor and one by an operator overlap.
TEST_CASE("SIGTERM and SIGINT don't make each other a second signal")
{
    host::shutdown_signals signals;
    SECTION("SIGTERM first")
    {
        CHECK_FALSE(signals.isImmediate(SIGTERM));
        CHECK_FALSE(signals.isImmediate(SIGINT));
    }
    SECTION("SIGINT first")
    {
        CHECK_FALSE(signals.isImmediate(SIGINT));
        CHECK_FALSE(signals.isImmediate(SIGTERM));
    }
    CHECK_FALSE(signals.isImmediate(SIGTERM));
    CHECK(signals.isImmediate(SIGINT));
    CHECK_FALSE(signals.isImmediate(SIGTERM));
}
