#include <base/clock.hpp>

namespace cuminledge {

time_point monotonic_clock::now() const
{
    return std::chrono::steady_clock::now();
}

} // namespace cuminledge
