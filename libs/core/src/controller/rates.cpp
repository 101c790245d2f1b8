#include <controller/internal.hpp>

#include <utility>

#include <fmt/format.h>

#include <core/consensus/consensus.hpp>
#include <core/group.hpp>

namespace cuminledge::core::controller {

namespace {

    void carryOut(reduction& r, hosted_group& group, limits::authority_output& output)
    {
        for (auto& [gateway, grant] : output.grants) {
            r.out.emplace_back(send_message { gateway, std::move(grant) });
        }
        for (auto& [gateway, recall] : output.recalls) {
            recall.group = group.group;
            r.out.emplace_back(send_message { gateway, std::move(recall) });
        }
        for (const auto& reservation : output.reservations) {
            // One that is not proposed now is proposed again by tickAuthority().
            static_cast<void>(propose(r, group, reservation, own_origin {}));
        }
    }

} // namespace

namespace {

    struct account_limit {
        std::string account;
        limits::rate_limit limit;
    };

    /// Only the accounts that have a limit, from whichever configuration the deployment uses.
    std::vector<account_limit> configuredLimits(const controller_state& state)
    {
        std::vector<account_limit> limits;
        if (state.manifest) {
            for (const auto& account : state.manifest->clientAccounts) {
                limits.push_back({ account.id, { account.ratePerSecond, static_cast<double>(account.burst) } });
            }
        }
        if (state.routes) {
            for (const auto& account : state.routes->accounts) {
                if (account.ratePerSecond > 0) {
                    limits.push_back({ account.name, { account.ratePerSecond, account.burst } });
                }
            }
        }
        return limits;
    }

} // namespace

void applyLimits(reduction& r, hosted_group& group)
{
    const bool isConfigured = r.state.manifest || r.state.routes;
    if (!isConfigured || group.group == systemGroup) {
        return;
    }
    std::set<std::string> known;
    for (const auto& [account, limit] : configuredLimits(r.state)) {
        if (groupOfAccount(account, r.state.settings.groupCount) != group.group) {
            continue;
        }
        known.insert(account);
        const auto held = group.authority.accounts.find(account);
        const bool isChanged = held == group.authority.accounts.end() || held->second.ledger.bucket.limit.ratePerSecond != limit.ratePerSecond
            || held->second.ledger.bucket.limit.burst != limit.burst;
        if (isChanged) {
            log(r, log_level::Info, "rate_limit_set",
                { { "account", account }, { "rate_per_second", fmt::format("{:g}", limit.ratePerSecond) },
                    { "burst", fmt::format("{:g}", limit.burst) } });
        }
        limits::setAccountLimit(group.authority, account, limit, r.now);
    }
    std::vector<std::string> gone;
    for (const auto& [id, account] : group.authority.accounts) {
        if (!known.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        limits::removeAccount(group.authority, id);
    }
}

void receiveRateRequest(reduction& r, const std::string& peer, const wire::rate_lease_request& request)
{
    auto* group = findGroup(r.state, request.group);
    const bool isConfigured = r.state.manifest || r.state.routes;
    if (group == nullptr || request.group == systemGroup || !group->isServing || !isConfigured) {
        ++r.state.counters.redirected;
        wire::rate_lease_grant grant;
        grant.request = request.request;
        grant.notLeader = true;
        grant.leader = leaderOf(r.state, request.group);
        grant.account = request.account;
        grant.session = request.session;
        r.out.emplace_back(send_message { peer, std::move(grant) });
        return;
    }
    limits::authority_output output;
    limits::onRateRequest(group->authority, peer, request, r.now, output);
    carryOut(r, *group, output);
}

void noteReservation(reduction& r, hosted_group& group, const wire::reserve_rate& reservation)
{
    limits::authority_output output;
    limits::onReservationApplied(group.authority, reservation, r.now, output);
    carryOut(r, group, output);
}

void tickRates(reduction& r, hosted_group& group)
{
    if (group.group == systemGroup || !group.isServing) {
        return;
    }
    limits::authority_output output;
    limits::tickAuthority(group.authority, r.now, output);
    carryOut(r, group, output);
}

} // namespace cuminledge::core::controller
