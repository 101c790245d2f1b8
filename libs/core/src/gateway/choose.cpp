#include "choose.hpp"

#include <algorithm>

#include <core/routing/choose_backend.hpp>

namespace cuminledge::core::gateway {

namespace {

    bool isService(const call& subject)
    {
        return subject.kind == call_kind::Service;
    }

    /// @return whether a server that announces `announced` runs what the call asks for.
    bool serves(const context& c, const call& subject, const std::string& announced)
    {
        if (isService(subject)) {
            return announced == subject.service;
        }
        const auto& manifest = c.state.configuration.manifest;
        const auto* route = manifest ? manifest::findRoute(*manifest, subject.route) : nullptr;
        return route != nullptr && manifest::servesModel(*route, subject.model, announced);
    }

    /// A server without a connection, or whose sidecar has restarted since it was announced, gets nothing.
    bool isReachable(const backend_entry& entry, const call& subject)
    {
        const bool isKind = (entry.record.kind == wire::backend_kind::Service) == isService(subject);
        return isKind && entry.announced && entry.connected && !entry.record.draining
            && entry.connectedIncarnation == entry.record.incarnation;
    }

    /// @return the request; it holds references to both arguments.
    routing::route_request describe(const context& c, const call& subject)
    {
        routing::route_request request;
        request.cacheBackend = subject.begun.home;
        request.historyTokens = subject.begun.historyTokens;
        request.deltaTokens = subject.deltaTokens;
        request.expectedTokens = subject.maxTokens;
        request.isReachable = [&c, &subject](const std::string& backend) {
            const auto found = c.state.backends.find(backend);
            return found != c.state.backends.end() && isReachable(found->second, subject);
        };
        return request;
    }

    /// @return the best of the servers that announce the model in any of the versions that fit.
    routing::backend_index choose(context& c, const call& subject, routing::route_request request)
    {
        routing::backend_choice best;
        for (const auto& [announced, places] : c.state.routes.byModel) {
            if (!serves(c, subject, announced)) {
                continue;
            }
            request.model = announced;
            const auto choice = routing::chooseBackend(c.state.routes, request, c.now, c.random);
            const bool found = choice.index != routing::noBackend;
            if (found && (best.index == routing::noBackend || choice.predicted < best.predicted)) {
                best = choice;
            }
        }
        return best.index;
    }

} // namespace

backend_entry* chooseBackend(context& c, const call& subject)
{
    auto request = describe(c, subject);
    auto index = routing::noBackend;
    if (subject.attemptsMade > 0) {
        auto elsewhere = request;
        elsewhere.exclude.push_back(subject.lastBackend);
        index = choose(c, subject, std::move(elsewhere));
    }
    if (index == routing::noBackend) {
        index = choose(c, subject, std::move(request));
    }
    if (index == routing::noBackend) {
        return nullptr;
    }
    const auto found = c.state.backends.find(c.state.routes.details[index].backend);
    return found == c.state.backends.end() ? nullptr : &found->second;
}

bool hasCandidate(const context& c, const call& subject)
{
    return std::any_of(c.state.backends.begin(), c.state.backends.end(), [&](const auto& each) {
        const auto& models = each.second.record.models;
        return isReachable(each.second, subject)
            && std::any_of(models.begin(), models.end(),
                [&](const std::string& announced) { return serves(c, subject, announced); });
    });
}

} // namespace cuminledge::core::gateway
