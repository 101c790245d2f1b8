#pragma once

#include <random>

#include <core/gateway/gateway.hpp>

namespace cuminledge::core::gateway {

/// What every step of the gateway works on. Lives as long as one event is reduced.
struct context {
    gateway_state& state;
    time_point now;
    std::mt19937_64& random;
    effects& out;
};

/// @return 128 random bits as 32 hexadecimal digits.
std::string randomId(std::mt19937_64& random);

/// @return the pause with a random part of up to half of it taken off, so that retries do not come in step.
std::chrono::milliseconds jittered(std::chrono::milliseconds pause, std::mt19937_64& random);

/// Adds a log line of the gateway.
void logCall(context& c, log_level level, const std::string& name, const call& subject,
    std::vector<std::pair<std::string, std::string>> fields = {});

/// Sends a command about the call; its answer comes back to the call.
void command(context& c, call& subject, const wire::command& body, const std::string& step);

/// Sends a read about the call; its answer comes back to the call.
void query(context& c, call& subject, const wire::query& body, const std::string& step);

/// Sends a command whose answer nobody waits for.
void commandDetached(context& c, const wire::command& body, const std::string& step);

/// Forgets the call and everything that refers to it. The reference is dangling afterwards.
void finishCall(context& c, call& subject);

} // namespace cuminledge::core::gateway
