#include <controller/operators.hpp>

#include <utility>

#include <base/digest.hpp>
#include <controller/internal.hpp>
#include <core/consensus/consensus.hpp>
#include <core/group.hpp>
#include <wire/call_state_text.hpp>

namespace cuminledge::core::controller {

//------------------------------------------------------------------------------------------------------------------
// Replies
//------------------------------------------------------------------------------------------------------------------

void replyOk(reduction& r, exchange_id exchange, const Json::Value& body)
{
    r.out.emplace_back(reply_to_operator { exchange, true, error_code::Internal, writeJson(body) });
}

void replyError(reduction& r, exchange_id exchange, error_code code, const std::string& message, Json::Value details)
{
    details["code"] = toString(code);
    details["message"] = message;
    r.out.emplace_back(reply_to_operator { exchange, false, code, writeJson(details) });
}

void replyFaults(reduction& r, exchange_id exchange, const std::vector<json_fault>& faults)
{
    Json::Value details(Json::objectValue);
    details["faults"] = Json::arrayValue;
    for (const auto& fault : faults) {
        Json::Value entry;
        entry["path"] = fault.path;
        entry["message"] = fault.message;
        details["faults"].append(entry);
    }
    replyError(r, exchange, error_code::InvalidArgument, "the request has faults", std::move(details));
}

void replyNotLeader(reduction& r, exchange_id exchange, std::uint32_t group)
{
    ++r.state.counters.redirected;
    Json::Value details(Json::objectValue);
    const auto leader = leaderOf(r.state, group);
    const auto* member = findController(r.state.directory, leader);
    details["group"] = group;
    details["leader"] = leader;
    details["leader_address"] = member == nullptr ? std::string() : member->operatorAddress;
    replyError(r, exchange, error_code::NotLeader, "another controller leads the group", std::move(details));
}

void answerOutcomeUnknown(reduction& r, const operator_origin& origin)
{
    Json::Value details(Json::objectValue);
    details["outcome"] = "unknown";
    replyError(r, origin.exchange, error_code::Unavailable,
        "the leadership was lost before the outcome was known; it is safe to send the request again", std::move(details));
}

//------------------------------------------------------------------------------------------------------------------
// Outcomes of commands
//------------------------------------------------------------------------------------------------------------------

namespace {

    void replyRefused(reduction& r, exchange_id exchange, const wire::refused& refusal)
    {
        Json::Value details(Json::objectValue);
        details["step"] = refusal.step;
        details["detail"] = refusal.detail;
        replyError(r, exchange, static_cast<error_code>(refusal.code), refusal.message, std::move(details));
    }

    Json::Value describeOutcome(const wire::program_status& status)
    {
        Json::Value body;
        body["program"] = status.program;
        body["account"] = status.account;
        body["route"] = status.route;
        body["state"] = status.state;
        body["end_reason"] = status.endReason;
        body["committed_turns"] = status.committedTurns;
        body["turn_under_way"] = status.turnUnderWay;
        body["max_turns"] = status.maxTurns;
        body["budget_tokens"] = static_cast<Json::Int64>(status.budgetTokens);
        body["used_tokens"] = static_cast<Json::Int64>(status.usedTokens);
        body["reserved_tokens"] = static_cast<Json::Int64>(status.reservedTokens);
        body["history_tokens"] = static_cast<Json::Int64>(status.historyTokens);
        body["home"] = status.home;
        body["idle_timeout_ms"] = static_cast<Json::Int64>(status.idleTimeout.count());
        return body;
    }

    Json::Value describeOutcome(const wire::call_status& status)
    {
        Json::Value body;
        body["account"] = status.account;
        body["call"] = status.call;
        body["state"] = wire::toString(status.state);
        body["service"] = status.service;
        body["operation"] = status.operation;
        body["attempt"] = status.attempt;
        body["backend"] = status.backend;
        body["status"] = status.status;
        body["answer"] = status.answer;
        body["answer_dropped"] = status.answerDropped;
        return body;
    }

    Json::Value describeOutcome(const wire::acknowledged& done)
    {
        Json::Value body;
        body["revision"] = static_cast<Json::UInt64>(done.revision);
        return body;
    }

    /// No operator's command or query has another outcome.
    template <typename Outcome>
    Json::Value describeOutcome(const Outcome& /*outcome*/)
    {
        return Json::objectValue;
    }

} // namespace

void replyOutcome(reduction& r, exchange_id exchange, const wire::command_result& outcome)
{
    if (const auto* refusal = std::get_if<wire::refused>(&outcome)) {
        replyRefused(r, exchange, *refusal);
        return;
    }
    replyOk(r, exchange, std::visit([](const auto& done) { return describeOutcome(done); }, outcome));
}

void answerOperator(reduction& r, const operator_origin& origin, const wire::command_result& outcome)
{
    replyOutcome(r, origin.exchange, outcome);
}

void proposeForOperator(reduction& r, const operator_request& request, const wire::command& command)
{
    auto* group = findGroup(r.state, systemGroup);
    const auto proposed = propose(r, *group, command, operator_origin { request.exchange, request.method });
    if (proposed) {
        return;
    }
    if (proposed.error().code == error_code::NotLeader) {
        replyNotLeader(r, request.exchange, systemGroup);
        return;
    }
    replyError(r, request.exchange, proposed.error().code, proposed.error().message);
}

//------------------------------------------------------------------------------------------------------------------
// Methods
//------------------------------------------------------------------------------------------------------------------

namespace {

    using handler = void (*)(reduction&, const operator_request&, const Json::Value&);

    struct method {
        const char* name;
        bool needsLeader; ///< of group 0, with a lease
        handler handle;
    };

    const method methods[] = {
        { "manifest.validate", false, validateManifest },
        { "manifest.accept", true, acceptManifest },
        { "manifest.show", true, showManifest },
        { "key.issue", true, issueKey },
        { "key.withdraw", true, withdrawKey },
        { "key.list", true, listKeys },
        { "account.show", true, showAccount },
        { "program.show", false, showProgram },
        { "call.show", false, showCall },
        { "backend.list", true, listBackends },
        { "backend.drain", true, drainBackend },
        { "domain.evacuate", true, evacuateDomain },
        { "quarantine.list", true, listQuarantine },
        { "quarantine.lift", true, liftQuarantine },
        { "status", false, showStatus },
    };

    const method* findMethod(const std::string& name)
    {
        for (const auto& candidate : methods) {
            if (name == candidate.name) {
                return &candidate;
            }
        }
        return nullptr;
    }

} // namespace

const std::vector<std::string>& operatorMethods()
{
    static const std::vector<std::string> names = [] {
        std::vector<std::string> all;
        for (const auto& entry : methods) {
            all.emplace_back(entry.name);
        }
        return all;
    }();
    return names;
}

void receiveOperator(reduction& r, const operator_request& request)
{
    const auto* called = findMethod(request.method);
    if (called == nullptr) {
        replyError(r, request.exchange, error_code::InvalidArgument, "no such method");
        return;
    }
    const auto parameters = parseJson(request.parameters, "operator_request");
    if (!parameters) {
        replyError(r, request.exchange, error_code::InvalidArgument, parameters.error().message);
        return;
    }
    const auto* group = findGroup(r.state, systemGroup);
    if (called->needsLeader && (group == nullptr || !mayServe(*group, r.now))) {
        replyNotLeader(r, request.exchange, systemGroup);
        return;
    }
    called->handle(r, request, *parameters);
}

} // namespace cuminledge::core::controller
