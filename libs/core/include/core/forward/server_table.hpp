#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include <base/clock.hpp>
#include <core/event.hpp>
#include <core/forward/request_allowance.hpp>
#include <wire/control_messages.hpp>

/// The backend servers known to a forwarding gateway, and how it chooses among them.
namespace cuminledge::core::forward {

/// Estimates which prompt parts an engine has cached, from the prompts that this gateway sent to it.
struct prompt_cache_estimate {
    std::int64_t tokens = 0;
    std::uint64_t nextUse = 1;
    struct cached_part {
        std::int64_t tokens = 0;
        std::uint64_t lastUse = 0;
    };
    std::unordered_map<std::string, cached_part> parts; ///< by model and part id
    std::map<std::uint64_t, std::string> byLastUse; ///< keys of parts by lastUse
};

struct server_entry {
    wire::backend_record record;
    bool isGone = false; ///< withdrawn, but requests are still under way
    std::uint32_t inFlight = 0; ///< requests of this gateway under way
    std::uint32_t failures = 0; ///< consecutive
    time_point avoidUntil {}; ///< after a failure: other servers are preferred until then
    prompt_cache_estimate promptCache;
    request_allowance allowance;
};

/// Parameters of the cost estimate. All costs are in milliseconds so that they can be added.
struct choice_settings {
    double promptTokensPerMs = 500; ///< prefill speed of an engine
    double engineRequestMs = 3; ///< delay that each request under way at an engine adds to the next one
    double serviceRequestMs = 8; ///< the same for a plain service
    double otherDomainMs = 12; ///< round trip and traffic between failure domains
    double excessRequestMs = 60; ///< for each request beyond the server's slots
    double limitedServerMs = 20; ///< for a server that limits its requests, while all others are idle
    double fullEnough = 0.25; ///< utilization of the others from which on a server that limits its requests is as good
    double defaultSlots = 8; ///< of a server whose slots are not configured
    /// A server whose limit was stated so long ago is preferred for a request: only its answer shows a change.
    std::chrono::milliseconds limitRefreshInterval { 1'000 };
    double limitRefreshMs = 1'000; ///< by which such a server is preferred
    std::int64_t defaultCacheTokens = 400'000; ///< used for an engine whose cache size is not configured
    std::chrono::milliseconds avoidTime { 500 }; ///< after a failure; doubles with each consecutive one
    std::chrono::milliseconds maxAvoidTime { 4'000 };
};

/// One start of a backend server.
struct server_start {
    std::string server;
    std::uint64_t incarnation = 0;

    friend bool operator<(const server_start& left, const server_start& right)
    {
        return std::tie(left.server, left.incarnation) < std::tie(right.server, right.incarnation);
    }
};

struct server_table {
    choice_settings settings;
    std::string failureDomain; ///< of this gateway
    std::uint32_t gatewayCount = 0; ///< that send to these servers; 0: not known
    std::map<std::string, server_entry> servers; ///< by id
    /// Starts that have said in an answer that they end soon. Kept apart from the entries, which a server that misses its
    /// announcements for a while loses.
    std::set<server_start> leaving;
};

/// What a request requires of a server.
struct server_requirements {
    std::string service;
    bool isEngine = false;
    std::uint32_t slots = 0; ///< of each server; 0: not known
    std::string model;
    const std::vector<prompt_part>* parts = nullptr;
    const std::string* softwareVersion = nullptr; ///< null: any. An empty version is unknown, and no server has it
    const std::set<std::string>* excluded = nullptr; ///< servers that this request was sent to
};

/// Applies a membership update from the controllers.
/// @param isComplete servers that are not in the list are removed.
void applyMembership(server_table& table, const std::vector<wire::backend_record>& records, bool isComplete);

/// @return the server with the lowest estimated cost for the request; none if no server is eligible.
std::optional<std::string> chooseServer(
    const server_table& table, const server_requirements& requirements, time_point now, std::mt19937_64& random);

/// Records that the server has said in an answer that it ends soon; it gets no request any more.
/// @return whether this was not known.
bool recordLeaving(server_table& table, const server_start& start);

/// Records that a request was sent to the server.
void recordRequestSent(server_table& table, const std::string& server);

/// Records that a request at the server ended.
/// @param hasFailed the server broke the connection or did not answer properly.
void recordRequestEnded(server_table& table, const std::string& server, bool hasFailed, time_point now);

/// Records that the engine has read the prompt.
/// @param capacity tokens that its cache holds; 0: not known.
void recordPromptRead(server_table& table, const std::string& server, const std::string& model,
    const std::vector<prompt_part>& parts, std::int64_t capacity);

/// @return estimated tokens of the prompt that the engine does not have cached.
std::int64_t uncachedTokens(const prompt_cache_estimate& cache, const std::string& model, const std::vector<prompt_part>& parts);

} // namespace cuminledge::core::forward
