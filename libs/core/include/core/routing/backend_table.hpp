#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <base/clock.hpp>
#include <wire/attempt_messages.hpp>
#include <wire/control_messages.hpp>

/// Tracks the state of backend servers and chooses one for each attempt.
namespace cuminledge::core::routing {

/// Index of a backend server's row. Rows of removed servers are reused.
using backend_index = std::uint32_t;
constexpr backend_index noBackend = 0xffffffffU;

/// The data about one backend server from which completion times are predicted.
struct backend_row {
    time_point reportedAt {}; ///< of the last load report
    time_point slowStartFrom {}; ///< when the server joined, restarted or stopped draining
    time_point ejectedUntil {};
    float prefillTokensPerSecond = 0; ///< 0: not known yet
    float decodeTokensPerSecond = 0; ///< of one sequence; 0: not known yet
    float waitingPrefillTokens = 0; ///< as last reported
    float ownPrefillSinceReport = 0; ///< of attempts this gateway sent after the last report
    std::uint16_t running = 0; ///< as last reported
    std::uint16_t waiting = 0; ///< as last reported
    std::uint16_t ownSinceReport = 0; ///< attempts this gateway sent after the last report
    std::uint16_t ownInFlight = 0;
    std::uint16_t batchLimit = 1;
    std::uint16_t failureDomain = 0; ///< number in backend_table::locationNumbers
    std::uint16_t region = 0; ///< number in backend_table::locationNumbers
    std::uint8_t consecutiveFailures = 0;
    std::uint8_t ejections = 0;
    bool draining = false;
    bool inUse = false;
    bool isService = false;
};

/// An attempt that this gateway sent.
struct own_attempt {
    time_point sentAt {};
    float prefillTokens = 0;
};

/// The data about one backend server that the prediction does not read.
struct backend_detail {
    std::string backend;
    std::string sidecarAddress;
    std::uint64_t incarnation = 0;
    std::vector<std::string> models;
    std::int64_t cacheTokens = 0;
    std::string failureDomain;
    std::deque<own_attempt> unreportedAttempts; ///< sent by this gateway and not yet in any load report; oldest first
};

struct routing_settings {
    bool useCacheAffinity = true;
    bool useOwnInFlight = true;
    bool useSlowStart = true;
    bool useEjection = true;
    bool useTransfer = true;
    bool preferOwnFailureDomain = true;
    std::uint32_t randomCandidates = 2; ///< 0: every server is a candidate
    std::chrono::milliseconds slowStart { 10'000 };
    std::uint8_t failuresBeforeEjection = 3;
    std::chrono::milliseconds ejection { 5'000 }; ///< ejection time; doubles with each further ejection, at most five times
    double maxEjectedShare = 0.34; ///< of the servers of a model
    std::chrono::milliseconds spillover { 50 }; ///< predicted queue time above which the next wider search scope is tried
    float defaultPrefillTokensPerSecond = 8'000;
    float defaultDecodeTokensPerSecond = 40;
    double transferTokensPerSecond = 25'000; ///< speed of copying a KV cache between backend servers
    std::chrono::milliseconds transferSetup { 20 };
};

/// The servers of one model in one failure domain.
struct domain_members {
    std::uint16_t failureDomain = 0;
    std::uint16_t region = 0;
    std::vector<backend_index> rows;
};

/**
 * One compact row per backend server, and an index by model and failure domain.
 *
 * applyMembership() fills it, the on…() functions update it and chooseBackend() reads it. Its size is bounded by the
 * membership, because rows of removed servers are reused.
 */
struct backend_table {
    routing_settings settings;
    std::uint16_t ownFailureDomain = 0;
    std::uint16_t ownRegion = 0;
    std::vector<backend_row> rows;
    std::vector<backend_detail> details; ///< same index as rows
    std::vector<backend_index> freeRows;
    std::unordered_map<std::string, backend_index> byId;
    std::unordered_map<std::string, std::vector<domain_members>> byModel;
    std::map<std::string, std::uint16_t> locationNumbers; ///< number of each failure domain and region
    std::set<std::string> evacuatedDomains; ///< failure domains whose servers get no new work
    std::uint64_t decisions = 0;
    std::uint64_t decisionsWithoutBackend = 0;
    std::uint64_t ejectionCount = 0;
};

/// @param region, failureDomain location of the gateway itself.
backend_table makeBackendTable(
    const std::string& region, const std::string& failureDomain, const routing_settings& settings = {});

/**
 * Applies an update of the membership.
 *
 * @param complete the records list all servers; servers not among them are removed.
 */
void applyMembership(
    backend_table& table, const std::vector<wire::backend_record>& records, bool complete, time_point now);

/// @return the row's index, or noBackend.
backend_index findBackend(const backend_table& table, const std::string& backend);

/// Records that an attempt is being sent to the server.
/// @param prefillTokens tokens that the server has to prefill for it.
void onAttemptStarted(
    backend_table& table, const std::string& backend, std::int64_t prefillTokens, time_point now);

/// Records that an attempt at the server succeeded.
void onAttemptFinished(backend_table& table, const std::string& backend);

/// Records that an attempt failed through the server's fault (lost connection, crash, timeout); may eject the server.
void onAttemptFailed(backend_table& table, const std::string& backend, time_point now);

/// Records that an attempt ended without a fault of the server: cancelled, or refused as not run.
void onAttemptDropped(backend_table& table, const std::string& backend);

/// Applies a load report that the server sent with an answer or a probe.
/// @param age age of the report on arrival; it does not include attempts sent since it was made.
void onLoadReport(backend_table& table, const std::string& backend, const wire::load_report& report, time_point now,
    std::chrono::milliseconds age = std::chrono::milliseconds { 0 });

} // namespace cuminledge::core::routing
