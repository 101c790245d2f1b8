#include "deadline_timer.hpp"

#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace cuminledge::net;

namespace {

constexpr std::chrono::milliseconds soon { 5 };

/// A deadline that expires in the same turn of the event loop as an earlier timer, whose handler runs first.
struct timer_fixture {
    boost::asio::io_context context;
    boost::asio::steady_timer earlier { context, std::chrono::milliseconds(0) };
    std::optional<deadline_timer> deadline;
    std::string called;

    timer_fixture()
    {
        deadline.emplace(context.get_executor());
        set(soon, "first");
    }

    void set(std::chrono::milliseconds timeout, const std::string& name)
    {
        deadline->set(timeout, [this, name] { called += name; });
    }

    /// Lets both timers expire, and calls the function from the handler of the earlier one.
    template <typename Function>
    void runAfterExpiry(Function function)
    {
        earlier.async_wait([&](auto) { function(); });
        std::this_thread::sleep_for(2 * soon);
        context.run();
    }
};

} // namespace

// Guards against a deadline that never comes, which would make the other cases pass for nothing.
TEST_CASE("a deadline in force calls back once")
{
    timer_fixture fixture;
    fixture.runAfterExpiry([&] { CHECK(fixture.called.empty()); });
    CHECK(fixture.called == "first");
}

// Guards against the callback of a deadline that was ended after it had expired.
TEST_CASE("an expired deadline that is cleared before its handler runs does not call back")
{
    timer_fixture fixture;
    fixture.runAfterExpiry([&] { fixture.deadline->clear(); });
    CHECK(fixture.called.empty());
}

// Guards against the callback of a replaced deadline, also where the new one has expired by then.
TEST_CASE("an expired deadline that is replaced before its handler runs calls back for the new one only")
{
    timer_fixture fixture;
    fixture.runAfterExpiry([&] {
        fixture.set(soon, "second");
        std::this_thread::sleep_for(2 * soon);
    });
    CHECK(fixture.called == "second");
}

// Guards against a handler that uses a timer that is gone.
TEST_CASE("an expired deadline whose timer is destroyed before its handler runs does not call back")
{
    timer_fixture fixture;
    fixture.runAfterExpiry([&] { fixture.deadline.reset(); });
    CHECK(fixture.called.empty());
}
