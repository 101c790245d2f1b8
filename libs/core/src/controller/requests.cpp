#include <controller/internal.hpp>

#include <utility>

#include <core/store/group.hpp>

namespace cuminledge::core::controller {

namespace {

    const std::string requestStep = "controller_request";

    wire::command_result refuse(error_code code, std::string message)
    {
        return wire::refused { static_cast<std::uint32_t>(code), std::move(message), requestStep, "" };
    }

    /// Operators' commands come by JSON-RPC, where they are checked; rate reservations from the leader itself.
    bool mayComeFromPeer(const wire::command& command)
    {
        if (const auto* clear = std::get_if<wire::clear_fingerprint>(&command)) {
            return !clear->byOperator;
        }
        if (const auto* end = std::get_if<wire::end_program>(&command)) {
            return !end->account.empty();
        }
        return !std::holds_alternative<wire::accept_manifest>(command) && !std::holds_alternative<wire::issue_key>(command)
            && !std::holds_alternative<wire::withdraw_key>(command) && !std::holds_alternative<wire::drain_backend>(command)
            && !std::holds_alternative<wire::reserve_rate>(command) && !std::holds_alternative<wire::accept_routes>(command)
            && !std::holds_alternative<wire::advance_time>(command) && !std::holds_alternative<wire::note_server>(command);
    }

    void answerQuery(reduction& r, const hosted_group& group, const peer_origin& origin, const std::string& body)
    {
        ++r.state.counters.queriesAnswered;
        const auto query = wire::decodeVariant<wire::query>(body, requestStep, origin.peer);
        if (!query || group.group == systemGroup) {
            ++r.state.counters.badRequests;
            answerPeer(r, group.group, origin, refuse(error_code::Protocol, "not a query for this group"));
            return;
        }
        answerPeer(r, group.group, origin, store::query(group.shard, *query));
    }

    void proposeForPeer(reduction& r, hosted_group& group, const peer_origin& origin, const std::string& body)
    {
        const auto command = wire::decodeVariant<wire::command>(body, requestStep, origin.peer);
        if (!command || store::groupOf(*command, r.state.settings.groupCount) != group.group) {
            ++r.state.counters.badRequests;
            answerPeer(r, group.group, origin, refuse(error_code::Protocol, "not a command for this group"));
            return;
        }
        if (!mayComeFromPeer(*command)) {
            ++r.state.counters.badRequests;
            answerPeer(r, group.group, origin, refuse(error_code::PermissionDenied, "this command is not a peer's to give"));
            return;
        }
        if (const auto refusal = refuseForRoom(r, group, *command)) {
            answerPeer(r, group.group, origin, *refusal);
            return;
        }
        const auto proposed = propose(r, group, *command, origin);
        if (proposed) {
            return;
        }
        const auto code = proposed.error().code;
        const bool isFinal = code == error_code::TooLarge || code == error_code::Overloaded;
        if (isFinal) {
            answerPeer(r, group.group, origin, refuse(code, proposed.error().message));
        } else {
            redirectPeer(r, group.group, origin.peer, origin.request);
        }
    }

} // namespace

void answerPeer(reduction& r, std::uint32_t group, const peer_origin& origin, const wire::command_result& outcome)
{
    wire::controller_response response;
    response.request = origin.request;
    response.group = group;
    response.body = wire::encodeVariant(outcome);
    r.out.emplace_back(send_message { origin.peer, std::move(response) });
}

void redirectPeer(reduction& r, std::uint32_t group, const std::string& peer, std::uint64_t request)
{
    wire::controller_response response;
    response.request = request;
    response.group = group;
    response.notLeader = true;
    response.leader = leaderOf(r.state, group);
    r.out.emplace_back(send_message { peer, std::move(response) });
}

void receiveRequest(reduction& r, const std::string& peer, const wire::controller_request& request)
{
    auto* group = findGroup(r.state, request.group);
    const bool mayAnswer = group != nullptr && (request.isQuery ? mayServe(*group, r.now) : group->isServing);
    if (!mayAnswer) {
        ++r.state.counters.redirected;
        redirectPeer(r, request.group, peer, request.request);
        return;
    }
    const peer_origin origin { peer, request.request };
    if (request.isQuery) {
        answerQuery(r, *group, origin, request.body);
    } else {
        proposeForPeer(r, *group, origin, request.body);
    }
}

} // namespace cuminledge::core::controller
