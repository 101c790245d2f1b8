#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <wire/codec.hpp>

/// The operators' configuration of a deployment whose gateways forward requests by host and path.
namespace cuminledge::wire {

/// A share of a route's requests.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 0; ///< relative to the route's other services
    MSGPACK_DEFINE(service, weight)
};

/// Which requests belong together, what they may do and where they go.
struct route_rule {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< the longest prefix of a request's path among the host's routes wins
    bool isStream = false; ///< the answer is a series of server-sent events
    bool isIdempotent = false; ///< may run more than once
    bool isResumable = false; ///< a broken stream may go on at another backend server after its last event
    bool isPublic = false; ///< needs no key
    bool retainsTurns = false; ///< the system holds earlier turns; a request carries only its new input
    std::chrono::milliseconds retention { 0 }; ///< of turns and of programs' budgets
    std::chrono::milliseconds timeout { 0 }; ///< longest time from a request's arrival to its last byte
    std::chrono::milliseconds latencyTarget { 0 };
    std::uint32_t priority = 0; ///< 0 is the highest
    std::uint32_t maxAttempts = 1; ///< backend servers that may run one request
    std::vector<weighted_service> services;
    bool isSticky = false; ///< requests that concern the same object go to the same server where it has room
    MSGPACK_DEFINE(name, host, pathPrefix, isStream, isIdempotent, isResumable, isPublic, retainsTurns, retention,
        timeout, latencyTarget, priority, maxAttempts, services, isSticky)
};

struct service_rule {
    std::string name;
    std::uint32_t maxConnections = 0; ///< of all callers of one backend server together; 0: unknown
    std::uint32_t slots = 0; ///< requests that an engine runs at once; 0: a plain service
    std::int64_t cacheTokens = 0; ///< memory of an engine
    std::int64_t tokensPerEvent = 0; ///< tokens that one event of a stream stands for
    double coldRequestsPerSecond = 0; ///< that a server takes from all gateways together while it is cold; 0: no limit
    MSGPACK_DEFINE(name, maxConnections, slots, cacheTokens, tokensPerEvent, coldRequestsPerSecond)
};

struct account_rule {
    std::string name;
    std::vector<std::string> keys;
    std::uint32_t priority = 0;
    double ratePerSecond = 0; ///< 0: no limit
    double burst = 0;
    MSGPACK_DEFINE(name, keys, priority, ratePerSecond, burst)
};

/// What a caller's connection may send, and how long it may take.
struct connection_limits {
    std::uint64_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 4U << 20U;
    std::chrono::milliseconds headerTimeout { 3'000 };
    std::chrono::milliseconds idleTimeout { 60'000 };
    MSGPACK_DEFINE(maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout)
};

/// One version of the whole configuration. A higher version replaces a lower one.
struct route_table {
    std::uint64_t version = 0; ///< 0: none
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    std::vector<account_rule> accounts;
    connection_limits limits;
    MSGPACK_DEFINE(version, routes, services, accounts, limits)
};

} // namespace cuminledge::wire
