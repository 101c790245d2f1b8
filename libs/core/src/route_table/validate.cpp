#include <core/route_table/validate.hpp>

#include <map>
#include <set>
#include <utility>

namespace cuminledge::core::route_table {

namespace {

    using faults = std::vector<std::string>;

    std::set<std::string> collectServiceNames(const wire::route_table& table, faults& found)
    {
        std::set<std::string> names;
        for (const auto& service : table.services) {
            if (service.name.empty()) {
                found.push_back("a service has no name");
            } else if (!names.insert(service.name).second) {
                found.push_back("service " + service.name + " stands twice");
            }
        }
        return names;
    }

    void checkServices(const wire::route_rule& route, const std::set<std::string>& knownServices, faults& found)
    {
        std::uint64_t weights = 0;
        for (const auto& share : route.services) {
            weights += share.weight;
            if (!knownServices.contains(share.service)) {
                found.push_back("route " + route.name + " names the unknown service " + share.service);
            }
        }
        if (weights == 0) {
            found.push_back("the weights of route " + route.name + " add up to 0");
        }
    }

    void checkRoute(const wire::route_rule& route, faults& found)
    {
        if (route.host.empty()) {
            found.push_back("route " + route.name + " has no host");
        }
        if (route.pathPrefix.empty() || route.pathPrefix.front() != '/') {
            found.push_back("the path prefix of route " + route.name + " does not begin with a slash");
        }
        if (route.timeout.count() <= 0) {
            found.push_back("the timeout of route " + route.name + " is 0");
        }
    }

    void checkRoutes(const wire::route_table& table, faults& found)
    {
        const auto services = collectServiceNames(table, found);
        std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
        for (const auto& route : table.routes) {
            checkRoute(route, found);
            checkServices(route, services, found);
            if (!hostsAndPrefixes.insert({ route.host, route.pathPrefix }).second) {
                found.push_back("two routes have host " + route.host + " and prefix " + route.pathPrefix);
            }
        }
    }

    void checkAccounts(const wire::route_table& table, faults& found)
    {
        std::map<std::string, std::string> accountByKey;
        for (const auto& account : table.accounts) {
            for (const auto& key : account.keys) {
                const auto [holder, isNew] = accountByKey.emplace(key, account.name);
                if (!isNew && holder->second != account.name) {
                    found.push_back("accounts " + holder->second + " and " + account.name + " share a key");
                }
            }
        }
    }

} // namespace

std::vector<std::string> validate(const wire::route_table& table)
{
    faults found;
    if (table.version == 0) {
        found.push_back("the version is 0");
    }
    checkRoutes(table, found);
    checkAccounts(table, found);
    return found;
}

} // namespace cuminledge::core::route_table
