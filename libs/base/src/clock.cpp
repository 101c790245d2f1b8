#include <base/clock.hpp>

#include <ctime>

namespace cuminledge {

time_point monotonic_clock::now() const
{
    // A suspended machine's steady clock stands still while other machines' leases on it run out; this one goes on.
    timespec at {};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return time_point(std::chrono::seconds(at.tv_sec) + std::chrono::nanoseconds(at.tv_nsec));
}

} // namespace cuminledge
