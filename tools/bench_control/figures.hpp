#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

namespace cuminledge::bench {

using steady_clock = std::chrono::steady_clock;

/// What a run of commits gave.
struct commit_figures {
    std::uint64_t commits = 0;
    std::chrono::duration<double> elapsed {};
    std::vector<std::chrono::duration<double, std::milli>> latencies;

    [[nodiscard]] double perSecond() const { return static_cast<double>(commits) / elapsed.count(); }

    /// @param share from 0 to 1, e.g. 0.99. @return milliseconds.
    [[nodiscard]] double latencyMs(double share)
    {
        if (latencies.empty()) {
            return 0;
        }
        std::sort(latencies.begin(), latencies.end());
        const auto last = static_cast<double>(latencies.size() - 1);
        return latencies[static_cast<std::size_t>(share * last)].count();
    }
};

} // namespace cuminledge::bench
