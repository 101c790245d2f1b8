#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include <base/json.hpp>

/// The operators' manifest: client accounts, routes and services. examples/manifest.json shows one.
namespace cuminledge::core::manifest {

/// A client account. Its rate and burst apply to the whole fleet.
struct client_account {
    std::string id;
    double ratePerSecond = 0;
    std::int64_t burst = 0;
    double weight = 1; ///< share of scarce backend servers, relative to the other accounts
    std::int64_t budgetTokens = 0; ///< default for a program that specifies no budget; 0: the route's budget
};

/// Which client accounts may use a route or a service.
struct account_set {
    bool all = false;
    std::vector<std::string> ids; ///< if not all; sorted
};

/// A model and its allowed versions.
struct model_access {
    std::string model;
    std::vector<std::string> versions; ///< empty: any
};

/// The models that a program may use, and the program's limits.
struct route {
    std::string name;
    bool openToAll = false; ///< served without a key
    std::string openAccount; ///< if openToAll: the client account that requests without a key are charged to, for rate and share
    account_set clientAccounts;
    std::vector<model_access> models;
    std::int64_t maxTokens = 0; ///< upper bound and default of a call's max_tokens
    std::int64_t budgetTokens = 0; ///< upper bound of a program's budget
    std::uint32_t maxTurns = 0;
    std::chrono::milliseconds idleTimeout { 0 }; ///< upper bound and default of a program's idle timeout
};

/// One operation of a plain service.
struct operation {
    std::string name;
    bool repeatable = false; ///< false: at most once, under an Idempotency-Key
    std::chrono::milliseconds timeout { 0 };
};

/// A plain service, e.g. a ledger.
struct service {
    std::string name;
    account_set clientAccounts;
    std::vector<operation> operations;
};

/// A manifest that has passed all checks. Every list is sorted by id or name, which the lookups below require.
struct manifest {
    std::uint64_t number = 0; ///< a new manifest must have a higher number than the one in force
    std::vector<client_account> clientAccounts;
    std::vector<route> routes;
    std::vector<service> services;
};

constexpr std::size_t maxManifestBytes = 3U << 20U;
constexpr std::size_t maxClientAccounts = 20000;
constexpr std::size_t maxRoutes = 1000;
constexpr std::size_t maxServices = 1000;
constexpr std::size_t maxOperations = 1000; ///< of one service
constexpr std::size_t maxModels = 1000; ///< of one route
constexpr std::size_t maxNameBytes = 64; ///< of every id and name

/**
 * Parses and validates a manifest: types, ranges, unknown fields, duplicate names, references to unknown accounts.
 *
 * @param text the JSON document, at most maxManifestBytes.
 * @return the manifest, or every fault found, each with its JSON path (at least one).
 */
tl::expected<manifest, std::vector<json_fault>> parseManifest(std::string_view text);

/// @return the client account, or null.
const client_account* findAccount(const manifest& m, std::string_view id);

/// @return the route, or null.
const route* findRoute(const manifest& m, std::string_view name);

/// @return the service, or null.
const service* findService(const manifest& m, std::string_view name);

/// @return the operation, or null.
const operation* findOperation(const service& s, std::string_view name);

/// @return whether the client account belongs to the set.
bool contains(const account_set& accounts, std::string_view account);

/// @return whether the route allows a model given as "MODEL" or "MODEL@VERSION".
bool allowsModel(const route& r, std::string_view modelAndVersion);

/**
 * Returns whether a backend server that announces a model may run a request on the route.
 *
 * @param requested the model in the request, "MODEL" or "MODEL@VERSION".
 * @param announced the model of the backend server, "MODEL" or "MODEL@VERSION".
 * @return whether the announced model is the requested one, in a version that the route allows.
 */
bool servesModel(const route& r, std::string_view requested, std::string_view announced);

} // namespace cuminledge::core::manifest
