#pragma once

// libjsonrpccpp's client headers need C++14, so this header must compile as C++14 too.

#include <chrono>
#include <string>

namespace cuminledge {
namespace net {

    enum class rpc_status {
        Ok, ///< answered with a result
        Refused, ///< answered with an error: not done
        NotSent, ///< no byte of the call left this process; another controller may be tried
        Unknown ///< sent, but no valid answer came: it may have been done
    };

    struct rpc_answer {
        rpc_status status = rpc_status::Unknown;
        std::string body; ///< Ok: the result as JSON. Refused: the error's data as JSON, or "null"
        int code = 0; ///< Refused: the JSON-RPC error code
        std::string message; ///< Refused: the error's message. NotSent, Unknown: why
    };

    /**
     * Calls one JSON-RPC 2.0 method and waits for the answer.
     *
     * @param address "IP:PORT" of a process's operators' listener; posted to /rpc.
     * @param parameters JSON object.
     * @param timeout for connecting, sending and the answer together.
     */
    rpc_answer callRpc(const std::string& address, const std::string& method, const std::string& parameters,
        std::chrono::milliseconds timeout);

} // namespace net
} // namespace cuminledge
