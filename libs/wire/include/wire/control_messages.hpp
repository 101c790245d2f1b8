#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <wire/codec.hpp>

/// Messages between gateways or sidecars and the controllers.
namespace cuminledge::wire {

//------------------------------------------------------------------------------------------------------------------
// Commands and reads
//------------------------------------------------------------------------------------------------------------------

struct controller_request {
    std::uint64_t request = 0; ///< chosen by the asker; echoed back
    std::uint32_t group = 0;
    bool isQuery = false;
    std::string body; ///< encodeVariant(command) or encodeVariant(query)
    MSGPACK_DEFINE(request, group, isQuery, body)
};

struct controller_response {
    std::uint64_t request = 0;
    std::uint32_t group = 0;
    bool notLeader = false; ///< ask `leader`, or any other controller where that is empty
    std::string leader;
    std::string body; ///< encodeVariant(command_result); a result that is not known to be final is never sent
    MSGPACK_DEFINE(request, group, notLeader, leader, body)
};

//------------------------------------------------------------------------------------------------------------------
// Configuration: what a gateway must know to serve. Answered by the leader of group 0 while it holds its lease.
//------------------------------------------------------------------------------------------------------------------

/// What a gateway knows and needs of a backend server that limits the requests it takes.
struct server_limit_report {
    std::string server;
    std::uint64_t incarnation = 0; ///< of the server
    bool isLimited = true; ///< false: the server's last answer stated no limit any more
    double requestsPerSecond = 0; ///< that the server takes from all gateways together
    std::chrono::milliseconds observedAge { 0 }; ///< time since the answer that said so
    std::uint64_t sent = 0; ///< requests that this gateway has sent to the server, a total since its start
    double wanted = 0; ///< requests that it is expected to send until its next poll is answered
    MSGPACK_DEFINE(server, incarnation, isLimited, requestsPerSecond, observedAge, sent, wanted)
};

/// What a gateway may send to a backend server that limits the requests it takes.
struct server_allowance {
    std::string server;
    std::uint64_t incarnation = 0;
    double requestsPerSecond = 0; ///< the server's limit over all gateways
    std::chrono::milliseconds observedAge { 0 }; ///< time since the answer of the server that stated it
    std::uint64_t maxSent = 0; ///< upper bound of the gateway's total of requests sent
    MSGPACK_DEFINE(server, incarnation, requestsPerSecond, observedAge, maxSent)
};

/// Requests that are under way at a server.
struct server_requests {
    std::string server;
    std::uint32_t requests = 0;
    MSGPACK_DEFINE(server, requests)
};

/// Requests of a service that wait at a gateway until an engine has room.
struct waiting_requests {
    std::string service;
    std::uint32_t requests = 0;
    MSGPACK_DEFINE(service, requests)
};

/// How long a typical request of its service lasts at a server.
struct server_time {
    std::string server;
    std::chrono::milliseconds time { 0 };
    MSGPACK_DEFINE(server, time)
};

/// How full the engines of a service are.
struct service_load {
    std::string service;
    double utilization = 0; ///< requests under way or waiting at all gateways, divided by what the engines run at once
    MSGPACK_DEFINE(service, utilization)
};

/// Requests whose prompts begin with a prefix.
struct prefix_weight {
    std::string service;
    std::string prefix;
    double weight = 0;
    MSGPACK_DEFINE(service, prefix, weight)
};

struct config_poll {
    std::uint64_t request = 0;
    std::uint64_t manifestNumber = 0; ///< what the gateway holds
    std::uint64_t keyRevision = 0;
    std::uint64_t membershipEpoch = 0; ///< names the leader's run; versions of another run do not compare
    std::uint64_t membershipVersion = 0;
    std::uint64_t quarantineRevision = 0;
    std::uint64_t routesVersion = 0;
    std::vector<server_limit_report> limitReports {};
    bool sharesLoads = false; ///< the gateway reports its requests and wants to know those of the others
    std::vector<server_requests> serverRequests {}; ///< of the gateway, at engines
    std::vector<waiting_requests> waitingRequests {};
    std::vector<server_time> serverTimes {}; ///< measured since the last poll
    std::vector<prefix_weight> prefixRequests {}; ///< since the last poll
    MSGPACK_DEFINE(request, manifestNumber, keyRevision, membershipEpoch, membershipVersion, quarantineRevision,
        routesVersion, limitReports, sharesLoads, serverRequests, waitingRequests, serverTimes, prefixRequests)
};

struct key_record {
    std::string key;
    std::string account;
    std::string salt;
    std::string hash;
    bool withdrawn = false;
    MSGPACK_DEFINE(key, account, salt, hash, withdrawn)
};

enum class backend_kind : std::uint8_t {
    Engine,
    Service
};

/// A backend server as its sidecar announces it, or as it announces itself where it has none.
struct backend_record {
    std::string backend; ///< id, unique in the fleet
    std::uint64_t incarnation = 0; ///< of its sidecar; a later start has a higher number
    std::string sidecarAddress; ///< "IP:PORT"
    std::string region;
    std::string failureDomain;
    backend_kind kind = backend_kind::Engine;
    std::vector<std::string> models; ///< "model" or "model@version"; for a service: its name
    std::uint32_t batchLimit = 0;
    std::int64_t cacheTokens = 0;
    bool draining = false;
    bool withdrawn = false; ///< in an update: gone
    std::string sidecar; ///< name of the sidecar's process, as in its hello; empty: it announces itself
    std::string address; ///< "IP:PORT" of the server itself, where it has no sidecar
    std::string service; ///< where it has no sidecar
    std::string softwareVersion; ///< of the server's software, not of its models; empty: not known
    bool isCold = false; ///< has started a short time ago and takes few requests
    MSGPACK_DEFINE(backend, incarnation, sidecarAddress, region, failureDomain, kind, models, batchLimit, cacheTokens,
        draining, withdrawn, sidecar, address, service, softwareVersion, isCold)
};

struct quarantine_record {
    std::string fingerprint;
    std::string account;
    std::uint32_t deaths = 0;
    bool quarantined = false;
    bool cleared = false; ///< in an update: no longer listed
    MSGPACK_DEFINE(fingerprint, account, deaths, quarantined, cleared)
};

struct config_update {
    std::uint64_t request = 0;
    bool notLeader = false;
    std::string leader;
    std::chrono::milliseconds lease { 0 }; ///< counts from when the poll was sent
    std::uint32_t groupCount = 1; ///< groups 1..groupCount hold programs, calls and accounts
    std::uint64_t manifestNumber = 0;
    std::string manifest; ///< only where the gateway's number differs
    bool keysComplete = false; ///< replaces all keys, rather than adding to them
    std::uint64_t keyRevision = 0;
    std::vector<key_record> keys;
    bool membershipComplete = false;
    std::uint64_t membershipEpoch = 0;
    std::uint64_t membershipVersion = 0;
    std::vector<backend_record> backends;
    bool quarantineComplete = false;
    std::uint64_t quarantineRevision = 0;
    std::vector<quarantine_record> quarantine;
    std::uint64_t routesVersion = 0;
    std::string routes; ///< coded route_table, only where the gateway's version differs
    std::vector<server_allowance> allowances; ///< one for each server known to limit its requests
    std::uint32_t gatewayCount = 0; ///< gateways that poll; 0: not known yet
    std::vector<std::string> evacuatedDomains {}; ///< all failure domains whose servers get no new work
    std::vector<server_requests> serverRequests {}; ///< of all other gateways, at engines; not listed: none
    std::vector<service_load> loads {}; ///< of services with engines; empty: the gateway does not share loads
    std::vector<prefix_weight> prefixWeights {}; ///< of all gateways; the same for all of them for a while
    std::vector<server_time> serverTimes {}; ///< of servers that differ much from the others of their service
    MSGPACK_DEFINE(request, notLeader, leader, lease, groupCount, manifestNumber, manifest, keysComplete, keyRevision,
        keys, membershipComplete, membershipEpoch, membershipVersion, backends, quarantineComplete, quarantineRevision,
        quarantine, routesVersion, routes, allowances, gatewayCount, evacuatedDomains, serverRequests, loads, prefixWeights, serverTimes)
};

//------------------------------------------------------------------------------------------------------------------
// Directory of controllers, where settings name only a few of them as seeds
//------------------------------------------------------------------------------------------------------------------

/// Sent by a controller to each process that connects, and to all connected ones when it changes.
struct controller_directory {
    std::uint64_t index = 0; ///< log index of the configuration of group 0 that it shows; a lower one is older
    std::vector<std::string> controllers; ///< by name, which is the peer address
    MSGPACK_DEFINE(index, controllers)
};

//------------------------------------------------------------------------------------------------------------------
// Announcements, under a lease: one that is not renewed lapses
//------------------------------------------------------------------------------------------------------------------

struct announce_backend {
    std::uint64_t request = 0;
    backend_record backend;
    bool leaving = false; ///< withdraws the announcement at once
    MSGPACK_DEFINE(request, backend, leaving)
};

struct announce_response {
    std::uint64_t request = 0;
    bool notLeader = false;
    std::string leader;
    bool accepted = false;
    std::string problem; ///< why not, e.g. a later incarnation holds the id
    std::chrono::milliseconds lease { 0 };
    std::uint64_t fencingNumber = 0; ///< 0: not yet registered
    bool drainOrdered = false;
    std::uint32_t groupCount = 1;
    MSGPACK_DEFINE(
        request, notLeader, leader, accepted, problem, lease, fencingNumber, drainOrdered, groupCount)
};

//------------------------------------------------------------------------------------------------------------------
// Rate leases, from the leader of the account's group
//------------------------------------------------------------------------------------------------------------------

/// Tokens that a gateway spent, and how long before the request was sent the last of them was.
struct rate_spend {
    std::chrono::milliseconds age { 0 };
    std::int64_t tokens = 0;
    std::int64_t ageRemainderMicroseconds = 0; ///< added to `age`, 0 to 999; older processes do not send it
    MSGPACK_DEFINE(age, tokens, ageRemainderMicroseconds)
};

/// Counters are totals over the session, so that a lost or doubled request changes nothing.
struct rate_lease_request {
    std::uint64_t request = 0; ///< rises by one for each request of a session; an older one is ignored
    std::uint32_t group = 0;
    std::string account;
    std::uint64_t lease = 0; ///< the last grant the gateway received in this session; 0: none
    std::int64_t spent = 0; ///< in this session
    std::int64_t unspent = 0; ///< given back in this session
    std::int64_t wanted = 0; ///< further tokens, those for waiting calls included; 0: only reports
    std::int64_t demandPerSecond = 0; ///< what the gateway has lately seen
    std::uint64_t session = 0; ///< rises with each session of the gateway, also across its restarts
    std::uint64_t epoch = 0; ///< of the authority that granted the session's tokens; 0: none has yet
    std::int64_t waiting = 0; ///< calls that wait for a token
    std::vector<rate_spend> spends; ///< not acknowledged yet, oldest first
    bool answersRecall = false;
    std::chrono::milliseconds waitedFor { 0 }; ///< how long the oldest of the waiting calls has waited
    MSGPACK_DEFINE(request, group, account, lease, spent, unspent, wanted, demandPerSecond, session, epoch, waiting,
        spends, answersRecall, waitedFor)
};

struct rate_lease_grant {
    std::uint64_t request = 0;
    bool notLeader = false;
    std::string leader;
    std::string account;
    std::uint64_t lease = 0;
    std::int64_t tokens = 0; ///< added to what the session holds
    std::chrono::milliseconds duration { 0 }; ///< of all the session holds; counts from when the request was sent
    std::chrono::milliseconds retryAfter { 0 }; ///< above 0: calls beyond `tokens` are refused; when a token will be there
    std::uint64_t session = 0;
    std::uint64_t epoch = 0;
    MSGPACK_DEFINE(request, notLeader, leader, account, lease, tokens, duration, retryAfter, session, epoch)
};

/// The authority is short of tokens: the gateway gives back at once what it has not spent.
struct rate_lease_recall {
    std::uint32_t group = 0;
    std::string account;
    std::uint64_t session = 0;
    MSGPACK_DEFINE(group, account, session)
};

} // namespace cuminledge::wire

MSGPACK_ADD_ENUM(cuminledge::wire::backend_kind);
