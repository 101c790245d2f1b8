#include "admission.hpp"

#include <charconv>

#include <base/digest.hpp>
#include <core/token_estimate.hpp>

#include "authentication.hpp"
#include "chat_request.hpp"
#include "http_request.hpp"
#include "program_calls.hpp"
#include "rate.hpp"
#include "refusal.hpp"
#include "routes.hpp"
#include "service_calls.hpp"

namespace cuminledge::core::gateway {

namespace {

    constexpr std::size_t maxIdBytes = 128;

    using check_result = result<call>;

    tl::unexpected<error> invalid(std::string message)
    {
        return failure(error_code::InvalidArgument, std::move(message), "check_request");
    }

    tl::unexpected<error> methodUnknown(const std::string& method)
    {
        return failure(error_code::NotFound, "no such operation: " + method + " on this path", "check_request");
    }

    //--------------------------------------------------------------------------------------------------------------
    // Programs
    //--------------------------------------------------------------------------------------------------------------

    check_result checkOpenProgram(const context& c, const caller_request& request, call subject)
    {
        auto parsed = parseProgramRequest(request.body);
        if (!parsed) {
            return tl::unexpected<error>(parsed.error());
        }
        const auto& manifest = *c.state.configuration.manifest;
        const auto* route = manifest::findRoute(manifest, parsed->route);
        const bool permitted = route != nullptr && mayUseRoute(*route, subject.account);
        if (!permitted) {
            return failure(
                error_code::PermissionDenied, "$.route: no such route for this client account", "check_route");
        }
        subject.kind = call_kind::OpenProgram;
        subject.route = route->name;
        if (subject.account.empty()) {
            subject.account = route->openAccount;
        }
        auto program = programOf(manifest, *route, *parsed, subject.account);
        if (!program) {
            return tl::unexpected<error>(program.error());
        }
        subject.opening = std::move(*program);
        return subject;
    }

    check_result checkProgram(const caller_request& request, const std::vector<std::string>& path, call subject)
    {
        constexpr std::size_t historyDepth = 4;
        if (!isIdentifier(path[2], maxIdBytes)) {
            return failure(error_code::NotFound, "no such program", "check_request");
        }
        subject.program = path[2];
        if (path.size() == historyDepth) {
            if (path[3] != "history" || request.method != "GET") {
                return methodUnknown(request.method);
            }
            subject.kind = call_kind::ReadHistory;
        } else if (request.method == "GET") {
            subject.kind = call_kind::ReadProgram;
        } else if (request.method == "DELETE") {
            subject.kind = call_kind::EndProgram;
        } else {
            return methodUnknown(request.method);
        }
        if (!request.body.empty()) {
            return invalid("expected no body");
        }
        return subject;
    }

    //--------------------------------------------------------------------------------------------------------------
    // Calls
    //--------------------------------------------------------------------------------------------------------------

    result<std::string> optionalId(const caller_request& request, const char* header)
    {
        if (isDoubled(request, header)) {
            return invalid(std::string("the header ") + header + " stands more than once");
        }
        const auto value = headerOf(request, header);
        if (value && !isIdentifier(*value, maxIdBytes)) {
            return invalid(std::string("header ") + header + ": expected 1 to 128 letters, digits and -_.:@");
        }
        return value.value_or("");
    }

    result<std::uint32_t> turnOf(const caller_request& request)
    {
        if (isDoubled(request, "cuminledge-turn")) {
            return invalid("the header cuminledge-turn stands more than once");
        }
        const auto text = headerOf(request, "cuminledge-turn").value_or("");
        std::uint32_t turn = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), turn);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || turn == 0) {
            return invalid("header cuminledge-turn: expected a whole number from 1");
        }
        return turn;
    }

    check_result checkChat(const context& c, const caller_request& request, call subject)
    {
        auto parsed = parseChatRequest(request.body);
        if (!parsed) {
            return tl::unexpected<error>(parsed.error());
        }
        auto program = optionalId(request, "cuminledge-program");
        if (!program) {
            return tl::unexpected<error>(program.error());
        }
        subject.kind = call_kind::Chat;
        subject.program = std::move(*program);
        if (!subject.program.empty()) {
            const auto turn = turnOf(request);
            if (!turn) {
                return tl::unexpected<error>(turn.error());
            }
            subject.turn = *turn;
        } else if (headerOf(request, "cuminledge-turn")) {
            return invalid("header cuminledge-turn: stands without cuminledge-program");
        }
        subject.model = std::move(parsed->model);
        subject.stream = parsed->stream;
        subject.maxTokens = parsed->maxTokens;
        subject.body = std::move(parsed->messages);
        subject.deltaTokens = estimateTokens(subject.body);
        if (!subject.program.empty()) {
            return subject;
        }
        const auto* route = routeOfModel(*c.state.configuration.manifest, subject.account, subject.model);
        if (route == nullptr) {
            return failure(error_code::PermissionDenied,
                "$.model: no route of this client account allows " + subject.model, "check_route");
        }
        if (subject.account.empty()) {
            subject.account = route->openAccount;
        }
        return checkChatOnRoute(std::move(subject), *route);
    }

    check_result checkService(
        const context& c, const caller_request& request, const std::vector<std::string>& path, call subject)
    {
        const auto* service = manifest::findService(*c.state.configuration.manifest, path[2]);
        const bool permitted
            = service != nullptr && !subject.account.empty() && manifest::contains(service->clientAccounts, subject.account);
        if (!permitted) {
            return failure(error_code::PermissionDenied, "no such service for this client account", "check_service");
        }
        const auto* operation = manifest::findOperation(*service, path[3]);
        if (operation == nullptr) {
            return failure(error_code::NotFound, "the service has no operation " + path[3], "check_service");
        }
        if (request.body.size() > maxBodyBytes) {
            return failure(
                error_code::TooLarge, "the body is over " + std::to_string(maxBodyBytes) + " bytes", "check_request");
        }
        if (!request.body.empty()) {
            if (auto parsed = parseJson(request.body, "parse_request"); !parsed) {
                return invalid(parsed.error().message);
            }
        }
        auto callId = optionalId(request, "idempotency-key");
        auto program = optionalId(request, "cuminledge-program");
        if (!callId || !program) {
            return tl::unexpected<error>(callId ? program.error() : callId.error());
        }
        if (callId->empty() && !operation->repeatable) {
            return invalid("header idempotency-key: required, as this operation may not be repeated");
        }
        subject.kind = call_kind::Service;
        subject.service = service->name;
        subject.operation = operation->name;
        subject.repeatable = operation->repeatable;
        subject.deadline = subject.receivedAt + operation->timeout;
        subject.callId = std::move(*callId);
        subject.program = std::move(*program);
        subject.body = request.body;
        subject.requestDigest = sha256Hex(subject.service + "\n" + subject.operation + "\n" + subject.body);
        subject.fingerprint = sha256Hex(subject.account + "\n" + subject.requestDigest);
        return subject;
    }

    check_result checkReadCall(const std::vector<std::string>& path, call subject)
    {
        if (!isIdentifier(path[2], maxIdBytes)) {
            return failure(error_code::NotFound, "no such call", "check_request");
        }
        subject.kind = call_kind::ReadCall;
        subject.callId = path[2];
        return subject;
    }

    check_result checkRequest(const context& c, const caller_request& request, call subject)
    {
        const auto path = pathSegments(request.target);
        const bool known = path && path->size() >= 2 && path->front() == "v1";
        if (!known) {
            return failure(error_code::NotFound, "no such path", "check_request");
        }
        const auto& collection = (*path)[1];
        const auto depth = path->size();
        const bool isPost = request.method == "POST";
        if (collection == "programs" && depth == 2) {
            return isPost ? checkOpenProgram(c, request, std::move(subject)) : methodUnknown(request.method);
        }
        if (collection == "programs" && (depth == 3 || depth == 4)) {
            return checkProgram(request, *path, std::move(subject));
        }
        if (collection == "chat" && depth == 3 && (*path)[2] == "completions") {
            return isPost ? checkChat(c, request, std::move(subject)) : methodUnknown(request.method);
        }
        if (collection == "services" && depth == 4) {
            return isPost ? checkService(c, request, *path, std::move(subject)) : methodUnknown(request.method);
        }
        if (collection == "calls" && depth == 3 && !subject.account.empty()) {
            return request.method == "GET" ? checkReadCall(*path, std::move(subject)) : methodUnknown(request.method);
        }
        return failure(error_code::NotFound, "no such path", "check_request");
    }

    //--------------------------------------------------------------------------------------------------------------
    // Start
    //--------------------------------------------------------------------------------------------------------------

    call makeCall(context& c, const caller_request& request)
    {
        call subject;
        subject.id = c.state.nextCall++;
        subject.exchange = request.exchange;
        subject.requestId = randomId(c.random);
        subject.receivedAt = c.now;
        subject.startBy = c.now + c.state.settings.queueTimeout;
        subject.deadline = c.now + c.state.settings.callTimeout;
        return subject;
    }

    /// A refusal that comes before the idempotency record was looked at can't say whether an earlier request with the
    /// same key has run.
    ran_state ranBeforeLookup(const caller_request& request, const error& e)
    {
        const bool mayHaveRun = e.code == error_code::Unavailable && request.target.starts_with("/v1/services/")
            && headerOf(request, "idempotency-key");
        return mayHaveRun ? ran_state::Unknown : ran_state::NotRun;
    }

    /// Account, route and form have been checked.
    void beginWork(context& c, call& subject)
    {
        switch (subject.kind) {
        case call_kind::Chat:
            requestRate(c, subject);
            return;
        case call_kind::Service:
            if (subject.repeatable) {
                requestRate(c, subject);
            } else {
                findExistingCall(c, subject);
            }
            return;
        case call_kind::ReadProgram:
        case call_kind::ReadHistory:
        case call_kind::EndProgram:
        case call_kind::OpenProgram:
        case call_kind::ReadCall:
            askAboutProgram(c, subject);
            return;
        }
    }

    void startCall(context& c, call& subject)
    {
        switch (subject.kind) {
        case call_kind::OpenProgram:
            openProgram(c, subject);
            return;
        case call_kind::ReadCall:
            readCall(c, subject);
            return;
        case call_kind::Chat:
        case call_kind::Service:
        case call_kind::ReadProgram:
        case call_kind::ReadHistory:
        case call_kind::EndProgram:
            break;
        }
        if (subject.program.empty()) {
            onProgramKnown(c, subject, {});
        } else {
            findProgram(c, subject);
        }
    }

} // namespace

void onCallerRequest(context& c, const caller_request& request)
{
    auto subject = makeCall(c, request);
    const auto refuse = [&](const error& e, ran_state ran) {
        refuseExchange(c, request.exchange, subject.requestId, refusalOf(e, ran));
    };
    if (c.state.calls.size() >= c.state.settings.maxCalls) {
        const error full { error_code::Unavailable, "too many calls are under way here", "admit", {} };
        refuse(full, ranBeforeLookup(request, full));
        return;
    }
    const auto identity = authenticate(c, request);
    if (!identity) {
        refuse(identity.error(), ranBeforeLookup(request, identity.error()));
        return;
    }
    subject.key = identity->key;
    subject.account = identity->account;
    auto checked = checkRequest(c, request, subject);
    if (!checked) {
        const bool anonymous = identity->key.empty() && checked.error().code == error_code::PermissionDenied;
        if (anonymous) {
            checked.error().code = error_code::Unauthenticated;
        }
        refuse(checked.error(), ran_state::NotRun);
        return;
    }
    ++c.state.counters.callsTaken;
    if (!checked->key.empty()) {
        c.out.emplace_back(tag_connection { request.exchange, checked->key });
    }
    const auto id = checked->id;
    c.state.callOfExchange[request.exchange] = id;
    auto& stored = c.state.calls[id];
    stored = std::move(*checked);
    startCall(c, stored);
}

void onProgramKnown(context& c, call& subject, const known_program& program)
{
    const auto& manifest = c.state.configuration.manifest;
    if (subject.program.empty()) {
        beginWork(c, subject);
        return;
    }
    const auto* route = manifest ? manifest::findRoute(*manifest, program.route) : nullptr;
    const bool open = route != nullptr && route->openToAll && route->openAccount == program.account;
    const bool permitted = subject.key.empty() ? open : subject.account == program.account;
    if (!permitted) {
        const bool anonymous = subject.key.empty();
        refuseAndFinish(c, subject,
            refusalOf(error { anonymous ? error_code::Unauthenticated : error_code::NotFound, "no such program",
                          "check_program", {} },
                ran_state::NotRun));
        return;
    }
    subject.account = program.account;
    if (subject.kind != call_kind::Chat) {
        beginWork(c, subject);
        return;
    }
    if (route == nullptr || (!subject.key.empty() && !mayUseRoute(*route, subject.account))) {
        refuseAndFinish(c, subject,
            refusalOf(error { error_code::PermissionDenied, "the program's route is not open to this client account",
                          "check_route", {} },
                ran_state::NotRun));
        return;
    }
    auto checked = checkChatOnRoute(subject, *route);
    if (!checked) {
        refuseAndFinish(c, subject, refusalOf(checked.error(), ran_state::NotRun));
        return;
    }
    subject = std::move(*checked);
    beginWork(c, subject);
}

} // namespace cuminledge::core::gateway
