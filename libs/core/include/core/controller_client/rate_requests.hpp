#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <core/controller_client/controller_client.hpp>
#include <core/effect.hpp>
#include <wire/control_messages.hpp>

/// Carries a gateway's requests for rate tokens to the authorities of their accounts.
namespace cuminledge::core::controller_client {

/// Sends each request to the leader of its account's group. One for which nobody is connected is dropped: the holder of
/// the leases asks again.
void sendRateRequests(client_state& client, const std::vector<wire::rate_lease_request>& requests,
    std::uint32_t groupCount, effects& out);

/// Learns from a grant who leads the account's group.
void recordLeaderFromGrant(
    client_state& client, const std::string& peer, const wire::rate_lease_grant& grant, std::uint32_t groupCount);

} // namespace cuminledge::core::controller_client
