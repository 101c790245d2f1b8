#pragma once

#include <chrono>
#include <string>

namespace cuminledge {
namespace net {

    /// What became of a blocking POST.
    struct post_outcome {
        bool sent = false; ///< a byte of the request may have left this process
        bool answered = false; ///< the whole answer came, with status 200
        std::string body; ///< of the answer, whatever its status
        std::string problem; ///< where not answered
    };

    /// Posts JSON over a new connection and waits for the answer. Compiles as C++14, for rpc_client.cpp.
    post_outcome postOnce(const std::string& address, const std::string& target, const std::string& body,
        std::chrono::milliseconds timeout);

} // namespace net
} // namespace cuminledge
