#include <controller/internal.hpp>

#include <algorithm>
#include <utility>

#include <core/consensus/consensus.hpp>
#include <core/group.hpp>
#include <core/route_table/validate.hpp>

namespace cuminledge::core::controller {

namespace {

    reply_to_control refusal(exchange_id exchange, control_outcome outcome, std::string message)
    {
        reply_to_control reply;
        reply.exchange = exchange;
        reply.outcome = outcome;
        reply.message = std::move(message);
        return reply;
    }

    void done(reduction& r, exchange_id exchange)
    {
        reply_to_control reply;
        reply.exchange = exchange;
        // Later announcements come straight here, rather than by a redirection each time.
        reply.leader = findController(r.state.directory, r.self.name)->operatorAddress;
        r.out.emplace_back(std::move(reply));
    }

    /// @return group 0 where this controller may answer for it; else null, and the call has been answered.
    hosted_group* servingGroup(reduction& r, exchange_id exchange)
    {
        auto* group = findGroup(r.state, systemGroup);
        if (group == nullptr || !mayServe(*group, r.now)) {
            redirectControl(r, exchange);
            return nullptr;
        }
        return group;
    }

} // namespace

void redirectControl(reduction& r, exchange_id exchange)
{
    ++r.state.counters.redirected;
    const auto leader = leaderOf(r.state, systemGroup);
    const auto* member = findController(r.state.directory, leader);
    const bool isElsewhere = member != nullptr && leader != r.self.name && !member->operatorAddress.empty();
    auto reply = refusal(exchange, isElsewhere ? control_outcome::Redirected : control_outcome::Unavailable,
        "another controller leads, or none is known to");
    if (isElsewhere) {
        reply.leader = member->operatorAddress;
    }
    r.out.emplace_back(std::move(reply));
}

void answerControl(reduction& r, const control_origin& origin, const wire::command_result& outcome)
{
    if (const auto* refused = std::get_if<wire::refused>(&outcome)) {
        r.out.emplace_back(refusal(origin.exchange, control_outcome::Unavailable, refused->message));
        return;
    }
    done(r, origin.exchange);
}

void receiveServer(reduction& r, const server_announcement& announcement)
{
    if (servingGroup(r, announcement.exchange) == nullptr) {
        return;
    }
    takeServer(r, announcement);
}

void receiveDeparture(reduction& r, const server_departure& departure)
{
    if (servingGroup(r, departure.exchange) == nullptr) {
        return;
    }
    withdrawServer(r, departure);
}

void submitRoutes(reduction& r, const routes_submission& submission)
{
    const auto faults = route_table::validate(submission.table);
    if (!faults.empty()) {
        const auto text = joined(faults, "; ");
        log(r, log_level::Warning, "routes_refused",
            { { "version", std::to_string(submission.table.version) }, { "faults", text } });
        r.out.emplace_back(refusal(submission.exchange, control_outcome::Invalid, text));
        return;
    }
    auto* group = servingGroup(r, submission.exchange);
    if (group == nullptr) {
        return;
    }
    if (submission.table.version <= r.state.control.routesVersion) {
        done(r, submission.exchange);
        return;
    }
    const wire::accept_routes command { submission.table.version, wire::encodeStruct(submission.table),
        submission.document };
    const auto proposed = propose(r, *group, command, control_origin { submission.exchange });
    if (!proposed) {
        const auto& problem = proposed.error();
        const auto outcome
            = problem.code == error_code::TooLarge ? control_outcome::Invalid : control_outcome::Unavailable;
        r.out.emplace_back(refusal(submission.exchange, outcome, problem.message));
    }
}

void showRoutes(reduction& r, const routes_query& query)
{
    if (servingGroup(r, query.exchange) == nullptr) {
        return;
    }
    if (r.state.control.routesVersion == 0) {
        r.out.emplace_back(refusal(query.exchange, control_outcome::Unavailable, "no route table was accepted yet"));
        return;
    }
    reply_to_control reply;
    reply.exchange = query.exchange;
    reply.document = r.state.control.routesDocument;
    r.out.emplace_back(std::move(reply));
}

bool isFailureDomain(const controller_state& state, const std::string& domain)
{
    const auto& backends = state.members.backends;
    return state.settings.failureDomains.contains(domain) || state.control.evacuatedDomains.contains(domain)
        || std::any_of(backends.begin(), backends.end(),
            [&domain](const auto& entry) { return entry.second.record.failureDomain == domain; });
}

void receiveEvacuation(reduction& r, const evacuation_request& request)
{
    auto* group = servingGroup(r, request.exchange);
    if (group == nullptr) {
        return;
    }
    if (!isFailureDomain(r.state, request.domain)) {
        r.out.emplace_back(refusal(request.exchange, control_outcome::NotFound, "no such failure domain"));
        return;
    }
    const wire::evacuate_domain command { request.domain, request.isStart };
    if (const auto proposed = propose(r, *group, command, control_origin { request.exchange }); !proposed) {
        r.out.emplace_back(refusal(request.exchange, control_outcome::Unavailable, proposed.error().message));
    }
}

void receiveRetirement(reduction& r, const retirement_request& request)
{
    if (servingGroup(r, request.exchange) == nullptr) {
        return;
    }
    const auto role = r.state.peerRoles.find(request.vm);
    const bool isKnown = role != r.state.peerRoles.end() && role->second == "controller";
    if (!isKnown) {
        r.out.emplace_back(refusal(request.exchange, control_outcome::NotFound, "no such storage VM"));
        return;
    }
    // A standby controller hosts no group, so nothing has to be moved off its VM.
    reply_to_control reply;
    reply.exchange = request.exchange;
    reply.state = "completed";
    r.out.emplace_back(std::move(reply));
}

} // namespace cuminledge::core::controller
