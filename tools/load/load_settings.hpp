#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cuminledge::load {

/// What to send. A bounded run: it ends after `duration`, and then waits at most `drain` for answers.
struct load_settings {
    std::vector<std::string> targets; ///< "IP:PORT", used in turn
    std::string key; ///< empty: call the targets as model engines, directly
    std::string route = "quotes";
    std::string model = "talker";
    std::uint32_t clients = 8; ///< programs under way at a time
    std::uint32_t turns = 4; ///< of each program; 0: calls without a program
    std::uint32_t promptBytes = 400; ///< of each turn's new message
    std::uint32_t maxTokens = 16;
    bool stream = true;
    bool keepPrograms = false; ///< leave the programs open
    std::uint64_t programs = 0; ///< stop after so many; 0: no such bound
    double callsPerSecond = 0; ///< over all clients; 0: each client calls again at once
    std::chrono::milliseconds pause { 0 }; ///< a program's tool pause between turns
    std::chrono::milliseconds duration { 5000 };
    std::chrono::milliseconds drain { 10000 };
    std::uint64_t seed = 1;
};

} // namespace cuminledge::load
