#include <core/controller_client/controller_client.hpp>

#include <algorithm>

#include <core/seeds.hpp>

namespace cuminledge::core::controller_client {

namespace {

    constexpr std::chrono::milliseconds resendInterval { 500 };
    /// After a "not leader" without a usable hint: gives an election time, rather than asking round in a tight loop.
    constexpr std::chrono::milliseconds redirectPause { 30 };
    /// Two replicas may each take the other for the leader for a while; so many hints are followed without a pause.
    constexpr std::uint32_t maxRedirects = 3;

    void transmit(client_state& state, std::uint64_t id, pending_request& request, time_point now, effects& out)
    {
        request.resendAt = now + resendInterval;
        request.askedPeer = selectController(state, request.group);
        if (request.askedPeer.empty()) {
            return;
        }
        wire::controller_request message;
        message.request = id;
        message.group = request.group;
        message.isQuery = request.isQuery;
        message.body = request.body;
        out.emplace_back(send_message { request.askedPeer, std::move(message) });
        ++state.requestsSent;
    }

    std::uint64_t submit(client_state& state, pending_request request, time_point now,
        std::chrono::milliseconds timeout, effects& out)
    {
        const auto id = state.nextRequest++;
        request.deadline = now + timeout;
        auto& stored = state.pending[id];
        stored = std::move(request);
        transmit(state, id, stored, now, out);
        return id;
    }

} // namespace

std::vector<controller_address> readControllers(json_object_reader& reader)
{
    constexpr std::size_t maxControllers = 64;
    std::vector<controller_address> controllers;
    if (reader.has("seeds")) {
        for (auto& seed : readSeeds(reader)) {
            controllers.push_back({ seed.peerAddress, seed.peerAddress });
        }
        return controllers;
    }
    reader.objects("controllers", maxControllers, [&](json_object_reader& each) {
        auto name = each.string("name", 1, 64);
        auto address = each.string("address", 1, 64);
        controllers.push_back({ std::move(name), std::move(address) });
    });
    if (controllers.empty()) {
        reader.fault("controllers", "expected a list of at least one object with \"name\" and \"address\"");
    }
    return controllers;
}

void start(client_state& state, effects& out)
{
    state.seeds = state.controllers.size();
    for (const auto& controller : state.controllers) {
        out.emplace_back(connect_peer { controller.name, controller.address });
    }
}

void applyDirectory(client_state& state, const wire::controller_directory& directory, effects& out)
{
    if (directory.index < state.directoryIndex) {
        return;
    }
    state.directoryIndex = directory.index;
    const auto& named = directory.controllers;
    for (const auto& name : named) {
        if (!isController(state, name)) {
            state.controllers.push_back({ name, name });
            out.emplace_back(connect_peer { name, name });
        }
    }
    const auto firstLearned = state.controllers.begin() + static_cast<std::ptrdiff_t>(state.seeds);
    const auto gone = std::stable_partition(firstLearned, state.controllers.end(),
        [&named](const controller_address& each) { return std::find(named.begin(), named.end(), each.name) != named.end(); });
    for (auto each = gone; each != state.controllers.end(); ++each) {
        state.connected.erase(each->name);
        std::erase_if(state.leaders, [&each](const auto& leader) { return leader.second == each->name; });
        out.emplace_back(disconnect_peer { each->name });
    }
    state.controllers.erase(gone, state.controllers.end());
}

bool isController(const client_state& state, const std::string& peer)
{
    return std::any_of(state.controllers.begin(), state.controllers.end(),
        [&](const controller_address& each) { return each.name == peer; });
}

void onConnected(client_state& state, const std::string& peer, time_point now, effects& out)
{
    state.connected.insert(peer);
    for (auto& [id, request] : state.pending) {
        if (request.askedPeer.empty()) {
            transmit(state, id, request, now, out);
        }
    }
}

void onDisconnected(client_state& state, const std::string& peer, time_point now)
{
    state.connected.erase(peer);
    for (auto it = state.leaders.begin(); it != state.leaders.end();) {
        it = it->second == peer ? state.leaders.erase(it) : std::next(it);
    }
    for (auto& [id, request] : state.pending) {
        if (request.askedPeer == peer) {
            request.resendAt = std::min(request.resendAt, now);
        }
    }
}

std::string selectController(client_state& state, std::uint32_t group)
{
    const auto known = state.leaders.find(group);
    if (known != state.leaders.end() && state.connected.contains(known->second)) {
        return known->second;
    }
    for (std::size_t tried = 0; tried < state.controllers.size(); ++tried) {
        const auto& candidate = state.controllers[state.nextController++ % state.controllers.size()].name;
        if (state.connected.contains(candidate)) {
            return candidate;
        }
    }
    return {};
}

void recordNotLeader(client_state& state, std::uint32_t group, const std::string& peer, const std::string& leader)
{
    if (!leader.empty() && leader != peer && isController(state, leader)) {
        state.leaders[group] = leader;
        return;
    }
    const auto known = state.leaders.find(group);
    if (known != state.leaders.end() && known->second == peer) {
        state.leaders.erase(known);
    }
}

void recordLeader(client_state& state, std::uint32_t group, const std::string& peer)
{
    state.leaders[group] = peer;
}

std::uint64_t send(client_state& state, std::uint32_t group, const wire::command& command, const std::string& step,
    time_point now, std::chrono::milliseconds timeout, effects& out)
{
    pending_request request;
    request.group = group;
    request.body = wire::encodeVariant(command);
    request.step = step;
    return submit(state, std::move(request), now, timeout, out);
}

std::uint64_t send(client_state& state, std::uint32_t group, const wire::query& query, const std::string& step,
    time_point now, std::chrono::milliseconds timeout, effects& out)
{
    pending_request request;
    request.group = group;
    request.isQuery = true;
    request.body = wire::encodeVariant(query);
    request.step = step;
    return submit(state, std::move(request), now, timeout, out);
}

void discardRequest(client_state& state, std::uint64_t request)
{
    state.pending.erase(request);
}

std::optional<answer> receive(client_state& state, const std::string& peer, const wire::controller_response& response,
    time_point now, effects& out)
{
    const auto found = state.pending.find(response.request);
    if (found == state.pending.end() || found->second.group != response.group) {
        return std::nullopt;
    }
    auto& request = found->second;
    if (response.notLeader) {
        // A late refusal from a peer that is no longer asked must not reset the search.
        if (peer != request.askedPeer) {
            return std::nullopt;
        }
        recordNotLeader(state, response.group, peer, response.leader);
        const bool usableHint = response.leader != peer && state.connected.contains(response.leader);
        if (usableHint && ++request.redirects <= maxRedirects) {
            transmit(state, found->first, request, now, out);
        } else {
            request.redirects = 0;
            request.resendAt = now + redirectPause;
        }
        return std::nullopt;
    }
    auto decoded = wire::decodeVariant<wire::command_result>(response.body, request.step, peer);
    if (!decoded) {
        return std::nullopt; // resent until a well-formed answer comes or the deadline passes
    }
    recordLeader(state, response.group, peer);
    answer final { found->first, std::move(*decoded) };
    state.pending.erase(found);
    return final;
}

std::vector<answer> expire(client_state& state, time_point now, effects& out)
{
    std::vector<answer> expired;
    for (auto it = state.pending.begin(); it != state.pending.end();) {
        auto& [id, request] = *it;
        if (now >= request.deadline) {
            ++state.requestsTimedOut;
            expired.push_back({ id,
                failure(error_code::Timeout, "the controllers did not answer in time", request.step,
                    request.askedPeer) });
            it = state.pending.erase(it);
            continue;
        }
        if (now >= request.resendAt) {
            const auto known = state.leaders.find(request.group);
            if (known != state.leaders.end() && known->second == request.askedPeer) {
                // The leader last heard of did not answer: look for another.
                state.leaders.erase(known);
            }
            ++state.requestsResent;
            transmit(state, id, request, now, out);
        }
        ++it;
    }
    return expired;
}

} // namespace cuminledge::core::controller_client
