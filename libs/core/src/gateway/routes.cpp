#include "routes.hpp"

#include <algorithm>

#include <base/digest.hpp>

namespace cuminledge::core::gateway {

bool mayUseRoute(const manifest::route& route, const std::string& account)
{
    return route.openToAll || (!account.empty() && manifest::contains(route.clientAccounts, account));
}

const manifest::route* routeOfModel(
    const manifest::manifest& manifest, const std::string& account, const std::string& model)
{
    const auto fits = [&](const manifest::route& each) {
        return mayUseRoute(each, account) && manifest::allowsModel(each, model);
    };
    const auto found = std::find_if(manifest.routes.begin(), manifest.routes.end(), fits);
    return found == manifest.routes.end() ? nullptr : &*found;
}

result<wire::open_program> programOf(const manifest::manifest& manifest, const manifest::route& route,
    const program_request& request, const std::string& account)
{
    if (request.budgetTokens > route.budgetTokens) {
        return failure(error_code::InvalidArgument,
            "$.budget_tokens: the route allows at most " + std::to_string(route.budgetTokens), "check_route");
    }
    if (request.idleTimeout > route.idleTimeout) {
        return failure(error_code::InvalidArgument,
            "$.idle_timeout_ms: the route allows at most " + std::to_string(route.idleTimeout.count()), "check_route");
    }
    const auto* owner = manifest::findAccount(manifest, account);
    const bool hasOwnDefault = owner != nullptr && owner->budgetTokens > 0;
    const auto fallback = hasOwnDefault ? std::min(owner->budgetTokens, route.budgetTokens) : route.budgetTokens;
    wire::open_program program;
    program.account = account;
    program.route = route.name;
    program.budgetTokens = request.budgetTokens > 0 ? request.budgetTokens : fallback;
    program.maxTurns = route.maxTurns;
    program.idleTimeout = request.idleTimeout.count() > 0 ? request.idleTimeout : route.idleTimeout;
    return program;
}

result<call> checkChatOnRoute(call subject, const manifest::route& route)
{
    const std::string step = "check_route";
    if (!manifest::allowsModel(route, subject.model)) {
        return failure(
            error_code::PermissionDenied, "$.model: route " + route.name + " does not allow " + subject.model, step);
    }
    if (subject.maxTokens > route.maxTokens) {
        return failure(error_code::InvalidArgument,
            "$.max_tokens: the route allows at most " + std::to_string(route.maxTokens), step);
    }
    if (subject.maxTokens == 0) {
        subject.maxTokens = route.maxTokens;
    }
    // A call outside of a program is a program of one turn: no later call can refer to it, so its budget is checked
    // here and nothing of it has to be replicated.
    if (subject.turn == 0 && subject.deltaTokens + subject.maxTokens > route.budgetTokens) {
        return failure(error_code::BudgetExceeded,
            "the call may cost " + std::to_string(subject.deltaTokens + subject.maxTokens) + " tokens, the budget is "
                + std::to_string(route.budgetTokens),
            step);
    }
    subject.route = route.name;
    const auto content = subject.model + "\n" + std::to_string(subject.maxTokens) + "\n" + subject.body;
    subject.requestDigest = sha256Hex(content);
    subject.fingerprint = sha256Hex(
        subject.account + "\n" + subject.program + "\n" + std::to_string(subject.turn) + "\n" + subject.requestDigest);
    return subject;
}

} // namespace cuminledge::core::gateway
