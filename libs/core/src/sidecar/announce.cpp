#include "announce.hpp"

#include <algorithm>

#include <core/group.hpp>

namespace cuminledge::core::sidecar {

namespace {

    constexpr std::chrono::milliseconds firstInterval { 500 };
    constexpr std::chrono::milliseconds answerPatience { 1'000 };
    constexpr std::chrono::milliseconds redirectPause { 20 };
    /// Gateways hear of a leaving backend server with their next configuration poll; what they sent before that is
    /// still taken.
    constexpr std::chrono::milliseconds leavingGrace { 2'000 };

    wire::backend_record describeBackend(const sidecar_state& state)
    {
        wire::backend_record record;
        record.backend = state.settings.backend;
        record.incarnation = state.identity.incarnation;
        record.sidecarAddress = state.settings.peerAddress;
        record.region = state.identity.region;
        record.failureDomain = state.identity.failureDomain;
        record.kind = state.settings.kind;
        record.models = state.settings.models;
        record.batchLimit = state.settings.batchLimit;
        record.cacheTokens = state.settings.cacheTokens;
        record.draining = !state.health.up || state.announcement.drainOrdered;
        record.sidecar = state.identity.name;
        return record;
    }

} // namespace

void announceNow(context& c)
{
    c.state.announcement.request = 0;
    c.state.announcement.nextAt = c.now;
    renewAnnouncement(c);
}

void renewAnnouncement(context& c)
{
    auto& announcement = c.state.announcement;
    const bool waiting = announcement.request != 0 && c.now < announcement.sentAt + answerPatience;
    if (c.now < announcement.nextAt || waiting || announcement.leavingConfirmed) {
        return;
    }
    auto& controllers = c.state.controllers;
    if (announcement.request != 0) {
        controllers.leaders.erase(systemGroup);
    }
    announcement.request = 0;
    const auto target = controller_client::selectController(controllers, systemGroup);
    if (target.empty()) {
        announcement.nextAt = c.now + redirectPause;
        return;
    }
    announcement.request = controllers.nextRequest++;
    announcement.sentAt = c.now;
    announcement.nextAt = c.now + std::max(announcement.lease / 3, firstInterval);
    c.out.emplace_back(send_message {
        target, wire::announce_backend { announcement.request, describeBackend(c.state), announcement.leaving } });
}

void onAnnounceResponse(context& c, const std::string& peer, const wire::announce_response& response)
{
    auto& announcement = c.state.announcement;
    if (response.request == 0 || response.request != announcement.request) {
        return;
    }
    announcement.request = 0;
    if (response.notLeader) {
        controller_client::recordNotLeader(c.state.controllers, systemGroup, peer, response.leader);
        announcement.nextAt = c.now + redirectPause;
        return;
    }
    controller_client::recordLeader(c.state.controllers, systemGroup, peer);
    if (!response.accepted && !announcement.leaving) {
        c.out.emplace_back(write_log { log_level::Error, "announcement_refused", { { "problem", response.problem } } });
        announcement.accepted = false;
        return;
    }
    announcement.accepted = response.accepted;
    announcement.leavingConfirmed = announcement.leaving;
    announcement.lease = response.lease;
    announcement.groupCount = std::max<std::uint32_t>(response.groupCount, 1);
    announcement.nextAt = announcement.sentAt + response.lease / 3;
    announcement.fencingNumber = std::max(announcement.fencingNumber, response.fencingNumber);
    if (response.drainOrdered && !announcement.drainOrdered) {
        announcement.refuseFrom = c.now + leavingGrace;
        c.out.emplace_back(write_log { log_level::Info, "drain_begun", {} });
    }
    announcement.drainOrdered = response.drainOrdered;
}

bool refusesNewWork(const context& c)
{
    const auto& announcement = c.state.announcement;
    return (announcement.leaving || announcement.drainOrdered) && c.now >= announcement.refuseFrom;
}

void beginLeaving(context& c)
{
    auto& announcement = c.state.announcement;
    announcement.leaving = true;
    announcement.refuseFrom = c.now + leavingGrace;
    announceNow(c);
}

} // namespace cuminledge::core::sidecar
