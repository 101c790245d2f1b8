#include "choose.hpp"

#include <algorithm>

#include <core/routing/choose_backend.hpp>

namespace cuminledge::core::gateway {

namespace {

    bool isService(const gateway_call& call)
    {
        return call.kind == call_kind::Service;
    }

    /// @return whether a server that announces the model or service `announced` can serve the call.
    bool serves(const gateway_context& context, const gateway_call& call, const std::string& announced)
    {
        if (isService(call)) {
            return announced == call.service;
        }
        const auto& manifest = context.state.configuration.manifest;
        const auto* route = manifest ? manifest::findRoute(*manifest, call.route) : nullptr;
        return route != nullptr && manifest::servesModel(*route, call.model, announced);
    }

    /// A server that is not connected, or whose sidecar has restarted since its announcement, is unreachable.
    bool isReachable(const backend_entry& entry, const gateway_call& call)
    {
        const bool hasKind = (entry.record.kind == wire::backend_kind::Service) == isService(call);
        return hasKind && entry.announced && entry.connected && !entry.record.draining
            && entry.connectedIncarnation == entry.record.incarnation;
    }

    /// @return the routing request; it holds references to both arguments.
    routing::route_request describe(const gateway_context& context, const gateway_call& call)
    {
        routing::route_request request;
        request.cacheBackend = call.begun.home;
        request.historyTokens = call.begun.historyTokens;
        request.deltaTokens = call.deltaTokens;
        request.expectedTokens = call.maxTokens;
        request.isReachable = [&context, &call](const std::string& backend) {
            const auto found = context.state.backends.find(backend);
            return found != context.state.backends.end() && isReachable(found->second, call);
        };
        return request;
    }

    /// @return the best server over all announced model versions that match the call.
    routing::backend_index choose(gateway_context& context, const gateway_call& call, routing::route_request request)
    {
        routing::backend_choice best;
        for (const auto& [announced, places] : context.state.routingTable.byModel) {
            if (!serves(context, call, announced)) {
                continue;
            }
            request.model = announced;
            const auto choice
                = routing::chooseBackend(context.state.routingTable, request, context.now, context.random);
            const bool found = choice.index != routing::noBackend;
            if (found && (best.index == routing::noBackend || choice.predicted < best.predicted)) {
                best = choice;
            }
        }
        return best.index;
    }

} // namespace

backend_entry* chooseBackend(gateway_context& context, const gateway_call& call)
{
    auto request = describe(context, call);
    auto index = routing::noBackend;
    if (call.attemptsMade > 0) {
        auto otherBackends = request;
        otherBackends.exclude.push_back(call.lastBackend);
        index = choose(context, call, std::move(otherBackends));
    }
    if (index == routing::noBackend) {
        index = choose(context, call, std::move(request));
    }
    if (index == routing::noBackend) {
        return nullptr;
    }
    const auto found = context.state.backends.find(context.state.routingTable.details[index].backend);
    return found == context.state.backends.end() ? nullptr : &found->second;
}

bool hasCandidate(const gateway_context& context, const gateway_call& call)
{
    return std::any_of(context.state.backends.begin(), context.state.backends.end(), [&](const auto& entry) {
        const auto& models = entry.second.record.models;
        return isReachable(entry.second, call)
            && std::any_of(models.begin(), models.end(),
                [&](const std::string& announced) { return serves(context, call, announced); });
    });
}

} // namespace cuminledge::core::gateway
