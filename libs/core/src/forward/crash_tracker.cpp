#include <core/forward/crash_tracker.hpp>

#include <algorithm>

namespace cuminledge::core::forward {

namespace {

    bool isSuspected(const crash_check& check, const std::string& fingerprint)
    {
        return std::any_of(check.suspects.begin(), check.suspects.end(),
            [&](const crash_suspect& suspect) { return suspect.fingerprint == fingerprint; });
    }

    /// A server that accepts connections has most likely not crashed.
    std::uint32_t crashesSeenHere(const crash_tracker& tracker, const std::string& fingerprint)
    {
        return static_cast<std::uint32_t>(
            std::count_if(tracker.checks.begin(), tracker.checks.end(), [&](const auto& entry) {
                return entry.second.step != crash_check_step::Accepting && isSuspected(entry.second, fingerprint);
            }));
    }

    void enter(crash_check& check, crash_check_step step, time_point endsAt)
    {
        check.step = step;
        check.stepEndsAt = endsAt;
    }

    std::vector<crash_report> confirm(const crash_tracker& tracker, const server_start& start, crash_check& check, time_point now)
    {
        enter(check, crash_check_step::Confirmed, now + tracker.settings.confirmedRetention);
        std::vector<crash_report> reports;
        reports.reserve(check.suspects.size());
        for (const auto& suspect : check.suspects) {
            reports.push_back({ suspect, start });
        }
        return reports;
    }

    bool hasRestarted(const server_table& servers, const server_start& start)
    {
        const auto found = servers.servers.find(start.server);
        return found != servers.servers.end() && found->second.record.incarnation != start.incarnation;
    }

    bool isWithdrawn(const server_table& servers, const server_start& start)
    {
        const auto found = servers.servers.find(start.server);
        return found == servers.servers.end() || found->second.isGone;
    }

    bool hasEnded(const server_table& servers, const server_start& start, const crash_check& check)
    {
        const bool isUnreachable = check.step == crash_check_step::Unreachable;
        const bool isUndecided = isUnreachable || check.step == crash_check_step::Accepting;
        return isUndecided && (hasRestarted(servers, start) || (isUnreachable && isWithdrawn(servers, start)));
    }

} // namespace

const char* toString(crash_check_step step)
{
    switch (step) {
    case crash_check_step::Due:
        return "due";
    case crash_check_step::Asked:
        return "asked";
    case crash_check_step::Unreachable:
        return "unreachable";
    case crash_check_step::Accepting:
        return "accepting";
    case crash_check_step::Confirmed:
        return "confirmed";
    }
    return "due";
}

void recordLostAnswer(crash_tracker& tracker, const server_start& start, const std::string& address,
    const crash_suspect& suspect, time_point now)
{
    if (contains(tracker.completed, suspect.fingerprint)) {
        return;
    }
    const bool isNew = !tracker.checks.contains(start);
    if (isNew && tracker.checks.size() >= tracker.settings.maxChecks) {
        return;
    }
    auto& check = tracker.checks[start];
    check.address = address;
    const bool isOver = check.step == crash_check_step::Accepting || check.step == crash_check_step::Confirmed;
    if (isNew || isOver) {
        // What an earlier check found says nothing of an answer that was lost after it.
        check.suspects.clear();
        enter(check, crash_check_step::Due,
            std::max(now + tracker.settings.checkDelay, check.lastAskedAt + tracker.settings.checkInterval));
    }
    if (!isSuspected(check, suspect.fingerprint)) {
        check.suspects.push_back(suspect);
    }
}

bool recordCompletion(crash_tracker& tracker, const std::string& fingerprint)
{
    insert(tracker.completed, fingerprint);
    for (auto& [start, check] : tracker.checks) {
        std::erase_if(check.suspects, [&](const crash_suspect& suspect) { return suspect.fingerprint == fingerprint; });
    }
    return tracker.quarantine.records.contains(fingerprint);
}

bool mayRun(const crash_tracker& tracker, const std::string& fingerprint)
{
    const auto found = tracker.quarantine.records.find(fingerprint);
    const bool isKnown = found != tracker.quarantine.records.end();
    const auto recorded = isKnown ? found->second.deaths : 0;
    const bool isQuarantined = isKnown && found->second.quarantined;
    return !isQuarantined && std::max(recorded, crashesSeenHere(tracker, fingerprint)) < tracker.settings.maxCrashes;
}

std::vector<check_server> takeDueChecks(crash_tracker& tracker, time_point now)
{
    std::vector<check_server> due;
    for (auto& [start, check] : tracker.checks) {
        if (check.step == crash_check_step::Due && now >= check.stepEndsAt) {
            enter(check, crash_check_step::Asked, time_point::max());
            check.lastAskedAt = now;
            due.push_back({ start.server, start.incarnation, check.address });
        }
    }
    return due;
}

std::vector<crash_report> onServerChecked(crash_tracker& tracker, const server_checked& outcome, time_point now)
{
    const server_start start { outcome.server, outcome.incarnation };
    const auto found = tracker.checks.find(start);
    if (found == tracker.checks.end() || found->second.step != crash_check_step::Asked) {
        return {};
    }
    auto& check = found->second;
    switch (outcome.reachability) {
    case server_reachability::Refuses:
        return confirm(tracker, start, check, now);
    case server_reachability::Unreachable:
        enter(check, crash_check_step::Unreachable, now + tracker.settings.withdrawalTimeout);
        return {};
    case server_reachability::Accepts:
        enter(check, crash_check_step::Accepting, now + tracker.settings.restartTimeout);
        return {};
    }
    return {};
}

std::vector<crash_report> resolveChecks(crash_tracker& tracker, const server_table& servers, time_point now)
{
    std::vector<crash_report> reports;
    for (auto it = tracker.checks.begin(); it != tracker.checks.end();) {
        auto& [start, check] = *it;
        if (hasEnded(servers, start, check)) {
            const auto confirmed = confirm(tracker, start, check, now);
            reports.insert(reports.end(), confirmed.begin(), confirmed.end());
        }
        const bool isDecided = check.step != crash_check_step::Due && now >= check.stepEndsAt;
        it = isDecided ? tracker.checks.erase(it) : std::next(it);
    }
    return reports;
}

std::vector<std::string> applyUpdate(crash_tracker& tracker, const wire::config_update& update)
{
    controller_client::applyUpdate(tracker.quarantine, update);
    std::vector<std::string> completed;
    for (const auto& record : update.quarantine) {
        if (!record.cleared && contains(tracker.completed, record.fingerprint)) {
            completed.push_back(record.fingerprint);
        }
    }
    return completed;
}

} // namespace cuminledge::core::forward
