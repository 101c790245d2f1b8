#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <json/value.h>

namespace cuminledge::standin {

/// What became of the attempts, by the id in the header Cuminledge-Attempt. The oldest are forgotten over the limit.
struct attempt_statistics {
    struct counts {
        std::uint64_t received = 0;
        std::uint64_t started = 0; ///< had a place in the batch
        std::uint64_t finished = 0;
        std::uint64_t cancelled = 0;
    };

    static constexpr std::size_t maxAttempts = 100'000;

    counts total;
    std::map<std::string, counts> byAttempt;
    std::deque<std::string> order;
    std::uint64_t forgotten = 0;

    /// Counts one event of an attempt. @param field e.g. &counts::started.
    void add(const std::string& attempt, std::uint64_t counts::*field);

    [[nodiscard]] Json::Value totals() const;
    [[nodiscard]] Json::Value list() const;
};

} // namespace cuminledge::standin
