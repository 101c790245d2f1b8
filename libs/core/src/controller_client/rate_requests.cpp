#include <core/controller_client/rate_requests.hpp>

#include <utility>

#include <core/group.hpp>

namespace cuminledge::core::controller_client {

void sendRateRequests(client_state& client, const std::vector<wire::rate_lease_request>& requests,
    std::uint32_t groupCount, effects& out)
{
    for (auto request : requests) {
        request.group = groupOfAccount(request.account, groupCount);
        const auto target = selectController(client, request.group);
        if (!target.empty()) {
            out.emplace_back(send_message { target, std::move(request) });
        }
    }
}

void recordLeaderFromGrant(
    client_state& client, const std::string& peer, const wire::rate_lease_grant& grant, std::uint32_t groupCount)
{
    const auto group = groupOfAccount(grant.account, groupCount);
    if (grant.notLeader) {
        recordNotLeader(client, group, peer, grant.leader);
    } else {
        recordLeader(client, group, peer);
    }
}

} // namespace cuminledge::core::controller_client
