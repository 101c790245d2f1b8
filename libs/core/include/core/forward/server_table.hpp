#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <base/clock.hpp>
#include <core/event.hpp>
#include <wire/control_messages.hpp>

/// The backend servers that a forwarding gateway knows, and the choice among them.
namespace cuminledge::core::forward {

/// Which parts of prompts an engine has lately read, as far as this gateway knows: those that it sent there itself.
struct part_memory {
    std::int64_t tokens = 0;
    std::uint64_t nextUse = 1;
    struct known_part {
        std::int64_t tokens = 0;
        std::uint64_t lastUse = 0;
    };
    std::unordered_map<std::string, known_part> parts; ///< by model and part
    std::map<std::uint64_t, std::string> byUse; ///< the reverse of lastUse
};

struct server_entry {
    wire::backend_record record;
    bool isGone = false; ///< withdrawn, while requests are still under way there
    std::uint32_t inFlight = 0; ///< requests of this gateway
    std::uint32_t failures = 0; ///< in a row
    time_point avoidUntil {}; ///< after a failure: others go first
    part_memory parts;
};

/// How servers are weighed. All figures are estimates in the same unit, so that they can be added.
struct choice_settings {
    double promptTokensPerMs = 500; ///< that an engine reads
    double engineRequestMs = 3; ///< what a request under way at an engine costs the next one
    double serviceRequestMs = 8; ///< the same at a plain service
    double otherDomainMs = 12; ///< the way there and back, and the bytes between failure domains
    double fullMs = 60; ///< per request beyond the server's slots
    std::int64_t defaultCacheTokens = 400'000; ///< of an engine that does not say
    std::chrono::milliseconds avoidTime { 500 }; ///< after a failure, doubled with each one in a row
    std::chrono::milliseconds maxAvoidTime { 4'000 };
};

struct server_table {
    choice_settings settings;
    std::string failureDomain; ///< of this gateway
    std::map<std::string, server_entry> servers; ///< by id
};

/// What is asked of a server.
struct server_wish {
    std::string service;
    bool isEngine = false;
    std::uint32_t slots = 0; ///< of each server; 0: unknown
    std::string model;
    const std::vector<prompt_part>* parts = nullptr;
    const std::set<std::string>* excluded = nullptr; ///< servers that have had this request
};

/// Takes in what the controllers say. @param isComplete servers that are not in the list are gone.
void applyMembership(server_table& table, const std::vector<wire::backend_record>& records, bool isComplete);

/// @return the server where the request is expected to be done first; none where no server may take it.
std::optional<std::string> chooseServer(
    const server_table& table, const server_wish& wish, time_point now, std::mt19937_64& random);

void noteSent(server_table& table, const std::string& server);

/// The request is over at the server. @param hasFailed the server broke off, or did not answer properly.
void noteEnded(server_table& table, const std::string& server, bool hasFailed, time_point now);

/// The engine has read the prompt. @param capacity tokens that it can hold; 0: not known.
void noteRead(server_table& table, const std::string& server, const std::string& model,
    const std::vector<prompt_part>& parts, std::int64_t capacity);

/// @return tokens of the prompt that the engine would have to read.
std::int64_t missingTokens(const part_memory& memory, const std::string& model, const std::vector<prompt_part>& parts);

} // namespace cuminledge::core::forward
