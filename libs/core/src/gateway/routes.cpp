#include "routes.hpp"

#include <algorithm>

#include <base/digest.hpp>

namespace cuminledge::core::gateway {

bool canUseRoute(const manifest::route& route, const std::string& account)
{
    return route.openToAll || (!account.empty() && manifest::contains(route.clientAccounts, account));
}

const manifest::route* findRouteForModel(
    const manifest::manifest& manifest, const std::string& account, const std::string& model)
{
    const auto fits = [&](const manifest::route& candidate) {
        return canUseRoute(candidate, account) && manifest::allowsModel(candidate, model);
    };
    const auto found = std::find_if(manifest.routes.begin(), manifest.routes.end(), fits);
    return found == manifest.routes.end() ? nullptr : &*found;
}

result<wire::open_program> makeOpenProgram(const manifest::manifest& manifest, const manifest::route& route,
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

result<gateway_call> checkChatOnRoute(gateway_call call, const manifest::route& route)
{
    const std::string step = "check_route";
    if (!manifest::allowsModel(route, call.model)) {
        return failure(
            error_code::PermissionDenied, "$.model: route " + route.name + " does not allow " + call.model, step);
    }
    if (call.maxTokens > route.maxTokens) {
        return failure(error_code::InvalidArgument,
            "$.max_tokens: the route allows at most " + std::to_string(route.maxTokens), step);
    }
    if (call.maxTokens == 0) {
        call.maxTokens = route.maxTokens;
    }
    // A call without a program acts as a program of one turn. No later call can refer to it, so its budget is checked
    // here and nothing is replicated.
    if (call.turn == 0 && call.deltaTokens + call.maxTokens > route.budgetTokens) {
        return failure(error_code::BudgetExceeded,
            "the call may cost " + std::to_string(call.deltaTokens + call.maxTokens) + " tokens, the budget is "
                + std::to_string(route.budgetTokens),
            step);
    }
    call.route = route.name;
    const auto content = call.model + "\n" + std::to_string(call.maxTokens) + "\n" + call.body;
    call.requestDigest = sha256Hex(content);
    call.fingerprint = sha256Hex(
        call.account + "\n" + call.program + "\n" + std::to_string(call.turn) + "\n" + call.requestDigest);
    return call;
}

} // namespace cuminledge::core::gateway
