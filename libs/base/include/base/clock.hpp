#pragma once

#include <chrono>

namespace cuminledge {

/// Monotonic time within one process. Never compared between processes.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/**
 * Where a process takes the time from. The hosts own a monotonic_clock; tests pass a manual_clock.
 * The reducer gets the time as an argument and knows no clock.
 */
class clock_source {
public:
    virtual ~clock_source() = default;

    /// @return the monotonic time now.
    [[nodiscard]] virtual time_point now() const = 0;
};

/// The machine's monotonic clock, which counts the time that the machine is suspended.
class monotonic_clock final : public clock_source {
public:
    [[nodiscard]] time_point now() const override;
};

/// A clock that stands still until it is advanced.
class manual_clock final : public clock_source {
public:
    [[nodiscard]] time_point now() const override { return m_now; }

    /// @param step how far to move on; not negative.
    void advance(duration step) { m_now += step; }

private:
    time_point m_now { std::chrono::hours(1) };
};

} // namespace cuminledge
