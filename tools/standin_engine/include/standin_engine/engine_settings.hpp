#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <base/error.hpp>
#include <standin_engine/engine_model.hpp>

namespace cuminledge::standin {

struct engine_settings {
    std::string listenAddress = "127.0.0.1:0";
    std::string name = "standin_engine"; ///< in the log
    std::vector<std::string> models { "small" }; ///< "model" or "model@version"; changed by orders
    model_settings model;
    std::int64_t answerTokens = 24; ///< length of an answer that max_tokens does not cut
    std::chrono::milliseconds loadLag { 0 }; ///< GET /load shows a state up to this old
    bool checkFencing = true; ///< refuses orders with a lower fencing number than one it has seen
    std::chrono::milliseconds orderTime { 20 }; ///< until an order is carried out
    double kvTokensPerSecond = 4'000'000; ///< speed of export and import
    std::uint32_t errorPercent = 0; ///< of requests are answered 500
    std::uint64_t seed = 1; ///< for errorPercent
};

/// Reads and checks the settings; an error lists every fault with its path.
result<engine_settings> readEngineSettings(std::string_view json);

} // namespace cuminledge::standin
