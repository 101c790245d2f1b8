#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminledge::load {

/// What a run saw.
struct load_report {
    std::vector<std::chrono::microseconds> callLatencies; ///< request to the answer's end
    std::vector<std::chrono::microseconds> firstTokenLatencies; ///< request to the answer's first piece
    std::vector<std::chrono::microseconds> programLatencies; ///< open to the last turn's answer
    std::map<std::string, std::uint64_t> failures; ///< by "status code" or by what failed
    std::uint64_t programs = 0; ///< finished
    std::uint64_t incomplete = 0; ///< no answer by the end of the drain time
    std::chrono::microseconds elapsed { 0 };
};

/// @return the report as one JSON object; latencies in milliseconds.
std::string toJson(load_report& report);

} // namespace cuminledge::load
