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
#include <core/forward/prefix_placement.hpp>
#include <core/forward/request_allowance.hpp>
#include <core/forward/server_times.hpp>
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
    moving_average time; ///< of requests at the server
    std::uint32_t othersInFlight = 0; ///< requests of the other gateways under way, as the controllers last said
    std::uint32_t sentSinceReport = 0; ///< requests that this gateway has sent since then
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
    /// The other gateways react to the same report, so that for each request that this one has sent to a server since then
    /// it expects so many from the others.
    double expectedFromOthers = 2;
    std::uint32_t queuedRequests = 1; ///< that a full engine holds beyond those that it runs, so that it never idles
    double sharedOtherDomainMs = 3; ///< as otherDomainMs, where the load of all servers is known
    double sharedJitterMs = 12; ///< as much as two requests, so that not all gateways choose the same server
    double affinityMs = 10; ///< by which the server is preferred that an object's requests go to
    bool learnsTimes = false; ///< servers at which requests last longer cost as much more
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
    std::set<std::string> evacuatedDomains; ///< their servers get no request
    time_settings timeSettings;
    std::map<std::string, service_times> times; ///< by service
    prefix_settings prefixSettings;
    std::map<std::string, prefix_homes> prefixes; ///< by service
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
    const std::string* affinityKey = nullptr; ///< of the object that the request concerns; null or empty: none
    bool knowsLoad = false; ///< the requests of the other gateways at the service's engines are known
    bool needsRoom = false; ///< a full engine is not used, nor one that does not keep the first part of the prompt
    double load = 0; ///< requests under way or waiting at all gateways, divided by what the engines run at once
    double occupancyMs = 0; ///< how long a request is under way at an engine; 0: not known
    const std::set<std::string>* homes = nullptr; ///< engines that keep the first part of the prompt; null: not known
};

/// Applies a membership update from the controllers.
/// @param isComplete servers that are not in the list are removed.
void applyMembership(server_table& table, const std::vector<wire::backend_record>& records, bool isComplete);

/// @return the server with the lowest estimated cost for the request; none if no server is eligible.
std::optional<std::string> chooseServer(
    const server_table& table, const server_requirements& requirements, time_point now, std::mt19937_64& random);

/// @return whether the server is announced, is not draining, and lies in no evacuated failure domain.
bool takesNewWork(const server_table& table, const server_entry& entry);

/// @return whether any server may take the request, if each had room.
bool hasEligibleServer(const server_table& table, const server_requirements& requirements, time_point now);

/// Records how long a request lasted at the server.
/// @param weight of the sample among the later ones, from 0 to 1.
void recordServerTime(server_table& table, const std::string& server, double milliseconds, double weight, time_point now);

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

/// What is known of the first part of a prompt at an engine, apart from what this gateway has sent there.
enum class first_part : std::uint8_t {
    Unknown,
    Kept, ///< the engine is one of those that keep it
    Displaced ///< other engines keep it; here it stays only while a later part of the same prompt does
};

/// @return estimated tokens of the prompt that the engine does not have cached.
std::int64_t uncachedTokens(const prompt_cache_estimate& cache, const std::string& model, const std::vector<prompt_part>& parts,
    first_part first = first_part::Unknown);

} // namespace cuminledge::core::forward
