#include "hedges.hpp"

#include <utility>

#include "attempts.hpp"
#include "crashes.hpp"

namespace cuminledge::core::forward {

namespace {

    bool mayBeHedged(const context& c, const forward_call& call)
    {
        const bool isRepeatable = call.route.isIdempotent && !call.route.isStream;
        return c.state.settings.hedges.share > 0 && isRepeatable && call.sends == 1 && call.possibleRuns < call.route.maxAttempts;
    }

    /// @return whether the servers are so busy that an extra send would delay others.
    bool areServersBusy(const context& c, const std::string& service)
    {
        const auto& table = c.state.servers;
        double slots = 0;
        double inFlight = 0;
        for (const auto& [id, entry] : table.servers) {
            if (entry.record.service == service && !entry.isGone) {
                slots += entry.record.batchLimit != 0 ? entry.record.batchLimit : table.settings.defaultSlots;
                inFlight += entry.inFlight;
            }
        }
        const double others = std::max<std::uint32_t>(table.gatewayCount, 1);
        return inFlight * others > slots * c.state.settings.hedges.maxUtilization;
    }

    /// @return a server that has not been tried and does not limit its requests, or null.
    const server_entry* selectSecondServer(context& c, const forward_call& call)
    {
        const auto server = chooseUntriedServer(c, call);
        if (!server) {
            return nullptr;
        }
        const auto& entry = c.state.servers.servers.at(*server);
        const bool isSuitable = !entry.allowance.isLimited && c.now >= entry.avoidUntil;
        return isSuitable ? &entry : nullptr;
    }

    void sendHedge(context& c, forward_call& call)
    {
        const auto* server = areServersBusy(c, call.service) ? nullptr : selectSecondServer(c, call);
        if (server == nullptr) {
            return;
        }
        if (!spend(c.state.hedging.budget)) {
            ++c.state.hedging.counters.withoutBudget;
            return;
        }
        const auto& record = server->record;
        call.hedge = { sendTo(c, call, *server), record.backend, record.address, record.incarnation, c.now };
        ++c.state.hedging.counters.sent;
        count(c, "forward_hedges_total");
        logCall(c, log_level::Info, "request_hedged", call,
            { { "first_server", call.server }, { "server", call.hedge.server },
                { "after_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(c.now - call.sentAt).count()) } });
    }

    void releaseHedge(context& c, forward_call& call, bool hasFailed)
    {
        c.state.callByUpstream.erase(call.hedge.upstream);
        recordRequestEnded(c.state.servers, call.hedge.server, hasFailed, c.now);
        call.hedge = {};
    }

    /// Exchanges the call's server and that of its hedge.
    void swapServers(forward_call& call)
    {
        std::swap(call.server, call.hedge.server);
        std::swap(call.serverAddress, call.hedge.address);
        std::swap(call.serverIncarnation, call.hedge.incarnation);
    }

    /// Makes the hedge the call's only send.
    void adoptHedge(forward_call& call)
    {
        swapServers(call);
        call.upstream = call.hedge.upstream;
        call.sentAt = call.hedge.sentAt;
        call.hedge = {};
    }

} // namespace

void planHedge(context& c, const forward_call& call)
{
    const auto times = c.state.hedging.times.find(call.route.name);
    if (!mayBeHedged(c, call)) {
        return;
    }
    const auto& settings = c.state.settings.hedges;
    earn(c.state.hedging.budget, settings);
    if (times == c.state.hedging.times.end() || times->second.samples < settings.minSamples) {
        return;
    }
    const auto usual = std::chrono::milliseconds(static_cast<std::int64_t>(times->second.value));
    c.state.hedging.due.insert({ c.now + std::max(usual, settings.minDelay), call.exchange });
}

void sendHedges(context& c)
{
    auto& due = c.state.hedging.due;
    while (!due.empty() && due.begin()->first <= c.now) {
        const auto found = c.state.calls.find(due.begin()->second);
        due.erase(due.begin());
        if (found == c.state.calls.end()) {
            continue;
        }
        auto& call = found->second;
        const bool isWaiting = call.step == call_step::Run && !call.upstream.empty() && !call.answer.hasHead && call.hasCaller;
        if (isWaiting && call.hedge.upstream.empty() && mayBeHedged(c, call) && mayRun(c.state.crashes, call.fingerprint)) {
            sendHedge(c, call);
        }
    }
}

bool isHedge(const forward_call& call, const std::string& upstream)
{
    return !call.hedge.upstream.empty() && call.hedge.upstream == upstream;
}

void preferHedge(context& c, forward_call& call)
{
    ++c.state.hedging.counters.won;
    c.out.emplace_back(cancel_upstream { call.upstream });
    releaseServer(c, call, false);
    adoptHedge(call);
}

bool continueWithHedge(context& c, forward_call& call)
{
    if (call.hedge.upstream.empty()) {
        return false;
    }
    logCall(c, log_level::Info, "hedge_goes_on", call, { { "first_server", call.server }, { "server", call.hedge.server } });
    adoptHedge(call);
    return true;
}

void loseHedge(context& c, forward_call& call, bool isNotRun)
{
    if (isNotRun) {
        --call.possibleRuns;
        ++c.state.counters.notRun;
    } else {
        ++c.state.counters.lost;
        // The suspicion names the server of the hedge.
        swapServers(call);
        suspectCrash(c, call);
        swapServers(call);
    }
    releaseHedge(c, call, true);
}

void cancelHedge(context& c, forward_call& call)
{
    if (!call.hedge.upstream.empty()) {
        c.out.emplace_back(cancel_upstream { call.hedge.upstream });
        releaseHedge(c, call, false);
    }
}

void recordAnswerTime(context& c, const forward_call& call)
{
    if (call.route.isIdempotent && !call.route.isStream) {
        const double lasted = std::chrono::duration<double, std::milli>(c.now - call.sentAt).count();
        addSample(c.state.hedging.times[call.route.name], lasted, c.state.settings.hedges.quantile);
    }
}

} // namespace cuminledge::core::forward
