#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <base/error.hpp>

namespace cuminledge::standin {

struct service_settings {
    std::string listenAddress = "127.0.0.1:0";
    std::string name = "standin_service"; ///< in the log
    std::chrono::milliseconds delay { 0 }; ///< from a request to its execution
    std::chrono::milliseconds lateAnswer { 3'000 }; ///< of a request marked LATE-ANSWER
    std::string executionsFile; ///< counts are kept in there over restarts; empty: in memory only
};

/// Reads and checks the settings; an error lists every fault with its path.
result<service_settings> readServiceSettings(std::string_view json);

} // namespace cuminledge::standin
