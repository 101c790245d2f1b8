#pragma once

#include <random>

#include <core/gateway/gateway.hpp>

namespace cuminledge::core::gateway {

/// The state and resources that handlers use while one event is processed.
struct gateway_context {
    gateway_state& state;
    time_point now;
    std::mt19937_64& random;
    effects& out;
};

/// @return 128 random bits as 32 hexadecimal digits.
std::string randomId(std::mt19937_64& random);

/// @return the pause, shortened by a random amount of up to half, so that retries do not synchronize.
std::chrono::milliseconds jittered(std::chrono::milliseconds pause, std::mt19937_64& random);

/// Logs an event of the call, with the call's id, account, kind and step.
void logCall(gateway_context& context, log_level level, const std::string& name, const gateway_call& call,
    std::vector<std::pair<std::string, std::string>> fields = {});

/// Sends a command on behalf of the call; its answer is delivered to the call.
void sendCommand(gateway_context& context, gateway_call& call, const wire::command& body, const std::string& step);

/// Sends a read on behalf of the call; its answer is delivered to the call.
void sendQuery(gateway_context& context, gateway_call& call, const wire::query& body, const std::string& step);

/// Sends a command whose answer is ignored. It is resent until it is answered or the call timeout has passed.
void sendDetachedCommand(gateway_context& context, const wire::command& body, const std::string& step);

/// Removes the call and all references to it from the state. The reference is dangling afterwards.
void finishCall(gateway_context& context, gateway_call& call);

} // namespace cuminledge::core::gateway
