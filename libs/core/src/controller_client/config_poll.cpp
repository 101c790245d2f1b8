#include <core/controller_client/config_poll.hpp>

#include <algorithm>

#include <core/group.hpp>

namespace cuminledge::core::controller_client {

namespace {

    /// An unanswered poll is given up after so many intervals, and another controller is asked.
    constexpr int pollPatience = 2;
    constexpr std::chrono::milliseconds redirectPause { 20 };
    constexpr std::chrono::milliseconds hastenedInterval { 50 };

} // namespace

bool isPollDue(const poll_state& poll, std::chrono::milliseconds interval, time_point now)
{
    const bool unanswered = poll.request != 0;
    return now >= poll.nextAt && (!unanswered || now >= poll.sentAt + interval * pollPatience);
}

void pollConfiguration(client_state& client, poll_state& poll, wire::config_poll held,
    std::chrono::milliseconds interval, time_point now, effects& out)
{
    if (!isPollDue(poll, interval, now)) {
        return;
    }
    const bool unanswered = poll.request != 0;
    if (unanswered) {
        client.leaders.erase(systemGroup);
    }
    const auto target = selectController(client, systemGroup);
    poll.nextAt = now + interval;
    poll.request = 0;
    if (target.empty()) {
        return;
    }
    poll.request = client.nextRequest++;
    poll.sentAt = now;
    held.request = poll.request;
    out.emplace_back(send_message { target, held });
}

void hastenPoll(poll_state& poll, time_point now)
{
    poll.nextAt = std::min(poll.nextAt, std::max(now, poll.sentAt + hastenedInterval));
}

void repollConfiguration(poll_state& poll, time_point now)
{
    poll.request = 0;
    poll.nextAt = now;
}

bool acceptUpdate(client_state& client, poll_state& poll, const std::string& peer, const wire::config_update& update,
    std::chrono::milliseconds interval, time_point now)
{
    if (update.request != poll.request || poll.request == 0) {
        return false;
    }
    poll.request = 0;
    if (update.notLeader) {
        recordNotLeader(client, systemGroup, peer, update.leader);
        poll.nextAt = now + redirectPause;
        return false;
    }
    recordLeader(client, systemGroup, peer);
    poll.nextAt = poll.sentAt + interval;
    return true;
}

} // namespace cuminledge::core::controller_client
