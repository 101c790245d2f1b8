#include "engine_room.hpp"

#include <algorithm>
#include <utility>

#include <core/forward/match_route.hpp>

#include "answers.hpp"
#include "attempts.hpp"

namespace cuminledge::core::forward {

namespace {

    bool areLoadsShared(const context& c)
    {
        const auto& settings = c.state.settings;
        return settings.shareLoadsFrom != 0 && c.state.servers.gatewayCount >= settings.shareLoadsFrom;
    }

    bool isEngine(const context& c, const server_entry& entry)
    {
        const auto* service = findService(c.state.configuration.table, entry.record.service);
        return service != nullptr && service->slots != 0;
    }

    std::uint32_t runningRequests(const context& c, const std::string& service)
    {
        std::uint32_t running = 0;
        for (const auto& [id, entry] : c.state.servers.servers) {
            running += entry.record.service == service ? entry.inFlight : 0;
        }
        return running;
    }

    std::vector<std::string> enginesInUse(const context& c, const std::string& service)
    {
        std::vector<std::string> engines;
        for (const auto& [id, entry] : c.state.servers.servers) {
            if (entry.record.service == service && takesNewWork(c.state.servers, entry)) {
                engines.push_back(id);
            }
        }
        return engines;
    }

    void placePrefixes(context& c, const std::vector<wire::prefix_weight>& weights)
    {
        std::map<std::string, std::vector<wire::prefix_weight>> byService;
        for (const auto& weight : weights) {
            byService[weight.service].push_back(weight);
        }
        auto& servers = c.state.servers;
        servers.prefixes.clear();
        for (const auto& [service, ofService] : byService) {
            servers.prefixes[service] = forward::placePrefixes(ofService, enginesInUse(c, service), servers.prefixSettings);
        }
    }

    /// @return the engines that keep the first part of the call's prompt, or null if none is known to.
    const std::set<std::string>* homesOf(const context& c, const forward_call& call)
    {
        const auto service = c.state.servers.prefixes.find(call.service);
        if (call.request.parts.empty() || service == c.state.servers.prefixes.end()) {
            return nullptr;
        }
        const auto homes = service->second.find(call.request.parts.front().id);
        return homes == service->second.end() || homes->second.empty() ? nullptr : &homes->second;
    }

    /// Only a request that no server has had yet waits; one that was refused or lost is tried elsewhere at once.
    bool mayWait(const forward_call& call)
    {
        return call.hasCaller && call.sends == 0 && !call.answer.hasBegun;
    }

    double occupancyMs(const context& c, const std::string& service)
    {
        const auto times = c.state.servers.times.find(service);
        return times == c.state.servers.times.end() ? 0 : times->second.occupancy.value;
    }

    time_point dueOf(const forward_call& call)
    {
        const auto left = call.request.programContext.timeLeft;
        return left.count() > 0 ? call.arrived + left : call.expiresAt;
    }

    room_rank rankOf(const context& c, const forward_call& call)
    {
        if (call.startsProgram) {
            return room_rank::New;
        }
        const std::chrono::duration<double, std::milli> request(occupancyMs(c, call.service));
        const bool isLate = c.now + std::chrono::duration_cast<duration>(request) > dueOf(call);
        return isLate ? room_rank::Late : room_rank::UnderWay;
    }

    /// @return whether the call was refused because its program would begin too late.
    bool refuseProgram(context& c, forward_call& call, const room_queue& queue, double load)
    {
        const auto& settings = c.state.settings;
        const auto latencyTarget = call.route.latencyTarget;
        if (!call.startsProgram || latencyTarget.count() == 0) {
            return false;
        }
        const auto running = runningRequests(c, call.service);
        const auto wait = predictWait(queue, room_rank::New, running, occupancyMs(c, call.service), load, settings.roomQueue, c.now);
        if (static_cast<double>(wait.count()) <= settings.roomQueue.maxFirstWait * static_cast<double>(latencyTarget.count())) {
            return false;
        }
        ++c.state.counters.programsOverloaded;
        count(c, "forward_programs_overloaded_total");
        logCall(c, log_level::Info, "program_refused", call,
            { { "predicted_wait_ms", std::to_string(wait.count()) }, { "running", std::to_string(running) },
                { "waiting", std::to_string(queue.calls.size()) } });
        failCall(c, call,
            { error_code::Overloaded, "no engine of " + call.service + " has room for a new program", std::max(wait, settings.defaultRetryAfter) });
        return true;
    }

    /// Routes of one service differ in how long their requests last, which must not make a server look slow.
    double comparableMs(service_times& times, const forward_call& call, double milliseconds, const time_settings& settings, time_point now)
    {
        auto& ofRoute = times.routes[call.route.name];
        addSample(ofRoute, milliseconds, settings.serviceWeight, now);
        const bool isKnown = times.request.samples > 0 && ofRoute.value > 0;
        return isKnown ? milliseconds * times.request.value / ofRoute.value : milliseconds;
    }

} // namespace

void reportLoads(context& c, wire::config_poll& poll)
{
    if (!areLoadsShared(c)) {
        return;
    }
    poll.sharesLoads = true;
    for (const auto& [id, entry] : c.state.servers.servers) {
        if (entry.inFlight != 0 && isEngine(c, entry)) {
            poll.serverRequests.push_back({ id, entry.inFlight });
        }
        if (c.state.room.measured.contains(id)) {
            poll.serverTimes.push_back({ id, std::chrono::milliseconds(static_cast<std::int64_t>(entry.time.value)) });
        }
    }
    for (const auto& [service, queue] : c.state.room.queues) {
        poll.waitingRequests.push_back({ service, static_cast<std::uint32_t>(queue.calls.size()) });
    }
    for (const auto& [key, requests] : c.state.room.prefixRequests) {
        poll.prefixRequests.push_back({ key.first, key.second, requests });
    }
    c.state.room.measured.clear();
    c.state.room.prefixRequests.clear();
}

void applyLoads(context& c, const wire::config_update& update)
{
    auto& room = c.state.room;
    if (update.loads.empty()) {
        return;
    }
    room.toldAt = c.now;
    room.hasChanged = true;
    room.loads.clear();
    for (const auto& load : update.loads) {
        room.loads[load.service] = load.utilization;
    }
    auto& servers = c.state.servers.servers;
    for (auto& [id, entry] : servers) {
        entry.othersInFlight = 0;
        entry.sentSinceReport = 0;
    }
    for (const auto& [server, requests] : update.serverRequests) {
        const auto found = servers.find(server);
        if (found != servers.end()) {
            found->second.othersInFlight = requests;
        }
    }
    placePrefixes(c, update.prefixWeights);
    constexpr std::chrono::seconds ownTimeValidity { 2 };
    for (const auto& time : update.serverTimes) {
        const auto found = servers.find(time.server);
        if (found != servers.end() && c.now - found->second.time.at > ownTimeValidity) {
            found->second.time = { static_cast<double>(time.time.count()), c.state.servers.timeSettings.minSamples, c.now };
        }
    }
}

void recordPrefixDemand(context& c, const forward_call& call)
{
    constexpr std::size_t maxPrefixes = 256;
    auto& requests = c.state.room.prefixRequests;
    if (call.sends != 0 || call.request.parts.empty() || !areLoadsShared(c) || requests.size() >= maxPrefixes) {
        return;
    }
    requests[{ call.service, call.request.parts.front().id }] += 1;
}

void describeLoad(const context& c, const forward_call& call, server_requirements& requirements)
{
    const auto& room = c.state.room;
    const auto load = room.loads.find(call.service);
    const bool isKnown = load != room.loads.end() && c.now - room.toldAt < c.state.settings.maxLoadsAge;
    if (!requirements.isEngine || !isKnown || !areLoadsShared(c)) {
        return;
    }
    requirements.knowsLoad = true;
    requirements.load = load->second;
    requirements.needsRoom = load->second >= c.state.settings.fullLoad && mayWait(call);
    requirements.occupancyMs = occupancyMs(c, call.service);
    requirements.homes = homesOf(c, call);
}

bool refuseIfOverloaded(context& c, forward_call& call, const server_requirements& requirements)
{
    const bool isOverloaded = requirements.needsRoom && requirements.load > 1;
    return isOverloaded && refuseProgram(c, call, c.state.room.queues[call.service], requirements.load);
}

void awaitRoom(context& c, forward_call& call, const server_requirements& requirements)
{
    auto& queue = c.state.room.queues[call.service];
    if (queue.byExchange.contains(call.exchange) || refuseProgram(c, call, queue, requirements.load)) {
        return;
    }
    call.step = call_step::Room;
    call.roomAwaitedAt = c.now;
    ++c.state.counters.roomWaits;
    enqueue(queue, { rankOf(c, call), dueOf(call), ++c.state.room.lastSequence, call.exchange });
}

void stopAwaitingRoom(context& c, forward_call& call)
{
    const auto queue = c.state.room.queues.find(call.service);
    if (queue == c.state.room.queues.end() || call.sends != 0) {
        return;
    }
    const bool hasWaited = dequeue(queue->second, call.exchange);
    const auto waited = hasWaited ? std::chrono::duration_cast<std::chrono::milliseconds>(c.now - call.roomAwaitedAt) : std::chrono::milliseconds(0);
    recordWait(queue->second, waited, c.state.settings.roomQueue, c.now);
    if (hasWaited) {
        c.out.emplace_back(record_metric { "forward_room_wait_seconds", static_cast<double>(waited.count()) / 1000, true });
        logCall(c, log_level::Debug, "room_found", call, { { "waited_ms", std::to_string(waited.count()) } });
    }
}

void leaveRoomQueue(context& c, const forward_call& call)
{
    const auto queue = c.state.room.queues.find(call.service);
    if (queue != c.state.room.queues.end()) {
        dequeue(queue->second, call.exchange);
    }
}

void serveRoomQueues(context& c)
{
    if (!std::exchange(c.state.room.hasChanged, false)) {
        return;
    }
    for (auto& [service, queue] : c.state.room.queues) {
        while (!queue.calls.empty()) {
            const auto exchange = queue.calls.begin()->exchange;
            startAttempt(c, c.state.calls.at(exchange));
            if (queue.byExchange.contains(exchange)) {
                break;
            }
        }
    }
}

void measureServer(context& c, const forward_call& call)
{
    const bool isResumed = !call.request.lastEvent.empty();
    if (!isSuccess(call.answer.status) || isResumed) {
        return;
    }
    constexpr double plainWeight = 0.1; // plain requests differ more from one another than streams
    auto& servers = c.state.servers;
    const auto& settings = servers.timeSettings;
    auto& times = servers.times[call.service];
    const double lasted = std::chrono::duration<double, std::milli>(c.now - call.sentAt).count();
    addSample(times.occupancy, lasted, settings.serviceWeight, c.now);
    if (!call.route.isStream) {
        recordServerTime(servers, call.server, comparableMs(times, call, lasted, settings, c.now), plainWeight, c.now);
        return;
    }
    const double ms = streamMs(times, call.answer.firstEventAt, call.answer.lastEventAt, call.answer.serverEvents, settings);
    if (ms > 0) {
        recordServerTime(servers, call.server, ms, settings.newestWeight, c.now);
        c.state.room.measured.insert(call.server);
    }
}

} // namespace cuminledge::core::forward
