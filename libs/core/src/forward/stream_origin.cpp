#include "stream_origin.hpp"

#include <algorithm>

namespace cuminledge::core::forward {

namespace {

    /// Longest id of a request whose stream can be resumed.
    constexpr std::size_t maxAttemptBytes = 256;
    /// Added to the time that the caller waits, so that it can resume a stream after a restart of the gateways.
    constexpr std::chrono::milliseconds retentionMargin { 10'000 };
    constexpr std::chrono::milliseconds maxRetention { 600'000 };

    refusal notResumable(std::string message)
    {
        return { error_code::Unavailable, std::move(message) };
    }

    bool hasService(const wire::route_rule& route, const std::string& service)
    {
        return std::any_of(route.services.begin(), route.services.end(),
            [&](const wire::weighted_service& share) { return share.service == service && share.weight > 0; });
    }

    bool canBeResumed(const forward_call& call)
    {
        const bool isFirstRequest = !resumesStream(call) && call.origin.service.empty();
        return call.route.isStream && call.route.isResumable && isFirstRequest
            && call.request.attempt.size() <= maxAttemptBytes;
    }

    std::chrono::milliseconds retentionOf(const forward_call& call)
    {
        return std::min(std::max(call.request.timeLeft, call.route.timeout) + retentionMargin, maxRetention);
    }

    /// Replaces the last record of the stream.
    void sendRecord(context& c, forward_call& call, const std::string& softwareVersion)
    {
        auto& record = call.originRecord;
        if (record.request != 0) {
            c.state.callByControllerRequest.erase(record.request);
            controller_client::discardRequest(c.state.controllers, record.request);
        }
        record.softwareVersion = softwareVersion;
        ++record.sequence;
        const wire::record_stream command { call.account, call.request.attempt, call.service, softwareVersion,
            record.sequence, retentionOf(call) };
        record.request = controller_client::send(c.state.controllers, accountGroup(c, call), wire::command(command),
            "record_stream", c.now, c.state.settings.settleTimeout, c.out);
        c.state.callByControllerRequest[record.request] = call.exchange;
    }

} // namespace

bool resumesStream(const forward_call& call)
{
    return call.route.isStream && !call.request.lastEvent.empty();
}

std::optional<refusal> requestOrigin(context& c, forward_call& call)
{
    if (call.route.retainsTurns) {
        return notResumable("the turn would be retained without the events before the resumption");
    }
    const auto& first = call.request.resumedAttempt;
    if (first.empty() || first.size() > maxAttemptBytes) {
        return notResumable("the request does not name the request that began the stream");
    }
    if (c.state.controllers.connected.empty()) {
        return refusal { error_code::Unavailable, "no controller can tell where the stream began", c.state.settings.defaultRetryAfter };
    }
    call.originRequest = controller_client::send(c.state.controllers, accountGroup(c, call),
        wire::query(wire::read_stream { call.account, first }), "read_stream", c.now, controllerTimeout(c, call), c.out);
    c.state.callByControllerRequest[call.originRequest] = call.exchange;
    return std::nullopt;
}

std::optional<refusal> applyOrigin(context& c, forward_call& call, const wire::command_result& outcome)
{
    call.originRequest = 0;
    const auto* origin = std::get_if<wire::stream_origin>(&outcome);
    if (origin == nullptr || origin->service.empty()) {
        return notResumable("no record says where the stream of " + call.request.resumedAttempt + " began");
    }
    if (!hasService(call.route, origin->service)) {
        return notResumable("the route no longer leads to " + origin->service + ", which began the stream");
    }
    logCall(c, log_level::Info, "stream_origin", call,
        { { "resumed_request", call.request.resumedAttempt }, { "service", origin->service },
            { "version", origin->softwareVersion } });
    call.origin = *origin;
    call.service = origin->service;
    return std::nullopt;
}

bool recordOrigin(context& c, forward_call& call, const std::string& softwareVersion)
{
    auto& record = call.originRecord;
    if (!canBeResumed(call) || softwareVersion == record.softwareVersion) {
        return true;
    }
    const bool isFirst = record.sequence == 0;
    sendRecord(c, call, softwareVersion);
    record.isAwaited = !isFirst;
    return isFirst;
}

void invalidateOrigin(context& c, forward_call& call)
{
    call.origin.softwareVersion.clear();
    if (call.originRecord.sequence != 0) {
        sendRecord(c, call, "");
    }
}

} // namespace cuminledge::core::forward
