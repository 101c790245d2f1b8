#include <core/node.hpp>

#include <cassert>

#include <core/trace.hpp>

namespace cuminledge::core {

namespace {

    void shareIdentity(node& self)
    {
        if (self.gateway) {
            self.gateway->identity = self.identity;
        }
        if (self.forwarder) {
            self.forwarder->identity = self.identity;
        }
        if (self.sidecar) {
            self.sidecar->identity = self.identity;
        }
    }

} // namespace

void reduce(node& self, const event& happened, time_point now, effects& out)
{
    if (const auto* started = std::get_if<process_started>(&happened)) {
        self.random.seed(started->seed);
        self.identity.incarnation = started->incarnation;
        shareIdentity(self);
    }
    if (self.gateway) {
        gateway::reduceGateway(*self.gateway, happened, now, self.random, out);
    } else if (self.forwarder) {
        forward::reduceForwarder(*self.forwarder, happened, now, self.random, out);
    } else if (self.sidecar) {
        sidecar::reduceSidecar(*self.sidecar, happened, now, self.random, out);
    } else if (self.controller) {
        controller::reduceController(*self.controller, happened, self.identity, now, self.random, out);
    } else {
        assert(false && "a node plays one role");
    }
}

result<replay_report> replayTrace(node& self, std::string_view trace)
{
    replay_report report;
    while (hasTraceRecord(trace)) {
        auto record = readTraceRecord(trace);
        if (!record) {
            return tl::unexpected(record.error());
        }
        const auto happened = wire::decodeVariant<event>(record->event, "replay", "");
        if (!happened) {
            return tl::unexpected(happened.error());
        }
        effects caused;
        reduce(self, *happened, time_point(std::chrono::nanoseconds(record->nanoseconds)), caused);
        ++report.events;
        if (digestOf(caused) != record->effectsDigest) {
            ++report.differences;
            if (report.firstDifference == 0) {
                report.firstDifference = report.events;
            }
        }
    }
    return report;
}

} // namespace cuminledge::core
