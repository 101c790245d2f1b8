#include <core/manifest/manifest.hpp>

#include <algorithm>
#include <limits>
#include <set>

#include <fmt/format.h>

namespace cuminledge::core::manifest {

namespace {

    constexpr double maxRatePerSecond = 1e6;
    constexpr std::int64_t maxBurst = 10'000'000;
    constexpr double minWeight = 0.01;
    constexpr double maxWeight = 1000;
    constexpr std::int64_t maxTokenBudget = 1'000'000'000'000;
    constexpr std::int64_t maxCallTokens = 10'000'000;
    constexpr std::int64_t maxTurnCap = 100'000;
    constexpr std::chrono::milliseconds minIdleTimeout = std::chrono::seconds(1);
    constexpr std::chrono::milliseconds maxIdleTimeout = std::chrono::hours(24 * 30);
    constexpr std::chrono::milliseconds minCallTimeout = std::chrono::milliseconds(1);
    constexpr std::chrono::milliseconds maxCallTimeout = std::chrono::hours(1);
    constexpr std::chrono::milliseconds defaultCallTimeout = std::chrono::seconds(30);
    constexpr auto maxNumber = std::numeric_limits<std::int64_t>::max();

    using name_set = std::set<std::string>;

    bool isNameCharacter(char c)
    {
        const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        const bool isDigit = c >= '0' && c <= '9';
        return isLetter || isDigit || c == '-' || c == '_' || c == '.';
    }

    /// Reads a name. Names are part of URLs, log lines and state keys, so few characters are allowed.
    std::string readName(json_object_reader& reader, const std::string& key)
    {
        auto name = reader.string(key, 1, maxNameBytes);
        if (!std::all_of(name.begin(), name.end(), isNameCharacter)) {
            reader.fault(key, "expected letters, digits, '-', '_' and '.' only");
        }
        return name;
    }

    std::string readUniqueName(json_object_reader& reader, const std::string& key, name_set& known)
    {
        auto name = readName(reader, key);
        if (!name.empty() && !known.insert(name).second) {
            reader.fault(key, fmt::format("\"{}\" stands twice", name));
        }
        return name;
    }

    account_set readAccounts(json_object_reader& reader, const name_set& known)
    {
        const std::string key = "client_accounts";
        account_set accounts;
        const auto& value = reader.raw(key);
        if (value.isString() && value.asString() == "all") {
            accounts.all = true;
            return accounts;
        }
        if (!value.isArray()) {
            reader.fault(key, "expected \"all\" or a list of client account ids");
            return accounts;
        }
        accounts.ids = reader.strings(key, maxClientAccounts, maxNameBytes);
        name_set seen;
        for (std::size_t i = 0; i < accounts.ids.size(); ++i) {
            const auto element = fmt::format("{}[{}]", key, i);
            if (!known.contains(accounts.ids[i])) {
                reader.fault(element, fmt::format("no client account \"{}\" in this manifest", accounts.ids[i]));
            }
            if (!seen.insert(accounts.ids[i]).second) {
                reader.fault(element, fmt::format("\"{}\" stands twice", accounts.ids[i]));
            }
        }
        return accounts;
    }

    client_account readAccount(json_object_reader& reader, name_set& known)
    {
        client_account account;
        account.id = readUniqueName(reader, "id", known);
        account.ratePerSecond = reader.number("rate_per_second", 0, maxRatePerSecond);
        account.burst = reader.integer("burst", 1, maxBurst);
        account.weight = reader.number("weight", minWeight, maxWeight, 1);
        account.budgetTokens = reader.integer("budget_tokens", 0, maxTokenBudget, 0);
        return account;
    }

    model_access readModel(json_object_reader& reader, name_set& known)
    {
        model_access access;
        access.model = readUniqueName(reader, "model", known);
        access.versions = reader.strings("versions", maxModels, maxNameBytes);
        name_set seen;
        for (std::size_t i = 0; i < access.versions.size(); ++i) {
            if (!seen.insert(access.versions[i]).second) {
                reader.fault(fmt::format("versions[{}]", i), fmt::format("\"{}\" stands twice", access.versions[i]));
            }
        }
        if (reader.has("versions") && access.versions.empty()) {
            reader.fault("versions", "expected at least one version; leave the field out to allow any");
        }
        return access;
    }

    void readOpenAccount(json_object_reader& reader, route& r, const name_set& accounts)
    {
        const std::string key = "open_account";
        if (!r.openToAll) {
            if (reader.has(key)) {
                reader.fault(key, "stands only on a route that is open to all");
            }
            reader.raw(key);
            return;
        }
        r.openAccount = readName(reader, key);
        if (!r.openAccount.empty() && !accounts.contains(r.openAccount)) {
            reader.fault(key, fmt::format("no client account \"{}\" in this manifest", r.openAccount));
        }
    }

    route readRoute(json_object_reader& reader, name_set& known, const name_set& accounts)
    {
        route r;
        r.name = readUniqueName(reader, "name", known);
        r.openToAll = reader.boolean("open_to_all", false);
        readOpenAccount(reader, r, accounts);
        if (r.openToAll && !reader.has("client_accounts")) {
            r.clientAccounts.all = true;
        } else {
            r.clientAccounts = readAccounts(reader, accounts);
        }
        name_set models;
        reader.objects("models", maxModels,
            [&](json_object_reader& element) { r.models.push_back(readModel(element, models)); });
        if (r.models.empty()) {
            reader.fault("models", "expected at least one model");
        }
        r.maxTokens = reader.integer("max_tokens", 1, maxCallTokens);
        r.budgetTokens = reader.integer("budget_tokens", 1, maxTokenBudget);
        r.maxTurns = static_cast<std::uint32_t>(reader.integer("max_turns", 1, maxTurnCap));
        const auto defaultIdleTimeout = std::chrono::minutes(10);
        r.idleTimeout = reader.milliseconds("idle_timeout_ms", minIdleTimeout, maxIdleTimeout, defaultIdleTimeout);
        return r;
    }

    operation readOperation(json_object_reader& reader, name_set& known)
    {
        operation o;
        o.name = readUniqueName(reader, "name", known);
        if (!reader.has("repeatable")) {
            reader.fault("repeatable", "missing: expected true or false");
        }
        o.repeatable = reader.boolean("repeatable", false);
        o.timeout = reader.milliseconds("timeout_ms", minCallTimeout, maxCallTimeout, defaultCallTimeout);
        return o;
    }

    service readService(json_object_reader& reader, name_set& known, const name_set& accounts)
    {
        service s;
        s.name = readUniqueName(reader, "name", known);
        s.clientAccounts = readAccounts(reader, accounts);
        name_set operations;
        reader.objects("operations", maxOperations,
            [&](json_object_reader& element) { s.operations.push_back(readOperation(element, operations)); });
        if (s.operations.empty()) {
            reader.fault("operations", "expected at least one operation");
        }
        return s;
    }

    manifest readDocument(json_object_reader& reader)
    {
        manifest m;
        name_set accounts;
        name_set routes;
        name_set services;
        m.number = static_cast<std::uint64_t>(reader.integer("number", 1, maxNumber));
        reader.objects("client_accounts", maxClientAccounts,
            [&](json_object_reader& element) { m.clientAccounts.push_back(readAccount(element, accounts)); });
        if (m.clientAccounts.empty()) {
            reader.fault("client_accounts", "expected at least one client account");
        }
        reader.objects("routes", maxRoutes,
            [&](json_object_reader& element) { m.routes.push_back(readRoute(element, routes, accounts)); });
        reader.objects("services", maxServices,
            [&](json_object_reader& element) { m.services.push_back(readService(element, services, accounts)); });
        reader.finish();
        return m;
    }

    /// @param name the member to sort by.
    template <typename Element>
    void sortBy(std::vector<Element>& elements, std::string Element::*name)
    {
        std::sort(elements.begin(), elements.end(),
            [name](const Element& left, const Element& right) { return left.*name < right.*name; });
    }

    /// Uses binary search, since gateways look up accounts and routes for every call, among thousands.
    template <typename Element>
    const Element* findSorted(const std::vector<Element>& elements, std::string Element::*name, std::string_view wanted)
    {
        const auto found = std::lower_bound(elements.begin(), elements.end(), wanted,
            [name](const Element& element, std::string_view value) { return element.*name < value; });
        return found == elements.end() || (*found).*name != wanted ? nullptr : &*found;
    }

    void sortAll(manifest& m)
    {
        sortBy(m.clientAccounts, &client_account::id);
        sortBy(m.routes, &route::name);
        sortBy(m.services, &service::name);
        for (auto& r : m.routes) {
            std::sort(r.clientAccounts.ids.begin(), r.clientAccounts.ids.end());
            sortBy(r.models, &model_access::model);
        }
        for (auto& s : m.services) {
            std::sort(s.clientAccounts.ids.begin(), s.clientAccounts.ids.end());
            sortBy(s.operations, &operation::name);
        }
    }

    std::string_view modelOf(std::string_view modelAndVersion)
    {
        return modelAndVersion.substr(0, modelAndVersion.find('@'));
    }

    /// @return the version; empty if none is given.
    std::string_view versionOf(std::string_view modelAndVersion)
    {
        const auto at = modelAndVersion.find('@');
        return at == std::string_view::npos ? std::string_view() : modelAndVersion.substr(at + 1);
    }

    const model_access* findModel(const route& r, std::string_view model)
    {
        return findSorted(r.models, &model_access::model, model);
    }

    bool allowsVersion(const model_access& access, std::string_view version)
    {
        return access.versions.empty()
            || std::find(access.versions.begin(), access.versions.end(), version) != access.versions.end();
    }

} // namespace

tl::expected<manifest, std::vector<json_fault>> parseManifest(std::string_view text)
{
    std::vector<json_fault> faults;
    if (text.size() > maxManifestBytes) {
        faults.push_back({ "$", fmt::format("the manifest is over {} bytes", maxManifestBytes) });
        return tl::unexpected(std::move(faults));
    }
    const auto document = parseJson(text, "parse_manifest");
    if (!document) {
        faults.push_back({ "$", document.error().message });
        return tl::unexpected(std::move(faults));
    }
    json_object_reader reader(*document, "$", faults);
    if (!document->isObject()) {
        return tl::unexpected(std::move(faults));
    }
    auto m = readDocument(reader);
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    sortAll(m);
    return m;
}

const client_account* findAccount(const manifest& m, std::string_view id)
{
    return findSorted(m.clientAccounts, &client_account::id, id);
}

const route* findRoute(const manifest& m, std::string_view name)
{
    return findSorted(m.routes, &route::name, name);
}

const service* findService(const manifest& m, std::string_view name)
{
    return findSorted(m.services, &service::name, name);
}

const operation* findOperation(const service& s, std::string_view name)
{
    return findSorted(s.operations, &operation::name, name);
}

bool contains(const account_set& accounts, std::string_view account)
{
    return accounts.all || std::binary_search(accounts.ids.begin(), accounts.ids.end(), account);
}

bool allowsModel(const route& r, std::string_view modelAndVersion)
{
    const auto* access = findModel(r, modelOf(modelAndVersion));
    if (access == nullptr) {
        return false;
    }
    const auto version = versionOf(modelAndVersion);
    return version.empty() || allowsVersion(*access, version);
}

bool servesModel(const route& r, std::string_view requested, std::string_view announced)
{
    if (modelOf(requested) != modelOf(announced)) {
        return false;
    }
    const auto* access = findModel(r, modelOf(announced));
    if (access == nullptr) {
        return false;
    }
    const auto wanted = versionOf(requested);
    const auto offered = versionOf(announced);
    return (wanted.empty() || wanted == offered) && allowsVersion(*access, offered);
}

} // namespace cuminledge::core::manifest
