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

    using check_result = result<gateway_call>;

    tl::unexpected<error> invalid(std::string message)
    {
        return failure(error_code::InvalidArgument, std::move(message), "check_request");
    }

    tl::unexpected<error> unsupportedMethod(const std::string& method)
    {
        return failure(error_code::NotFound, "no such operation: " + method + " on this path", "check_request");
    }

    //--------------------------------------------------------------------------------------------------------------
    // Programs
    //--------------------------------------------------------------------------------------------------------------

    check_result checkOpenProgram(const gateway_context& context, const caller_request& request, gateway_call call)
    {
        auto parsed = parseProgramRequest(request.body);
        if (!parsed) {
            return tl::unexpected<error>(parsed.error());
        }
        const auto& manifest = *context.state.configuration.manifest;
        const auto* route = manifest::findRoute(manifest, parsed->route);
        const bool permitted = route != nullptr && canUseRoute(*route, call.account);
        if (!permitted) {
            return failure(
                error_code::PermissionDenied, "$.route: no such route for this client account", "check_route");
        }
        call.kind = call_kind::OpenProgram;
        call.route = route->name;
        if (call.account.empty()) {
            call.account = route->openAccount;
        }
        auto program = makeOpenProgram(manifest, *route, *parsed, call.account);
        if (!program) {
            return tl::unexpected<error>(program.error());
        }
        call.openCommand = std::move(*program);
        return call;
    }

    check_result checkProgram(const caller_request& request, const std::vector<std::string>& path, gateway_call call)
    {
        constexpr std::size_t historyDepth = 4;
        if (!isIdentifier(path[2], maxIdBytes)) {
            return failure(error_code::NotFound, "no such program", "check_request");
        }
        call.program = path[2];
        if (path.size() == historyDepth) {
            if (path[3] != "history" || request.method != "GET") {
                return unsupportedMethod(request.method);
            }
            call.kind = call_kind::ReadHistory;
        } else if (request.method == "GET") {
            call.kind = call_kind::ReadProgram;
        } else if (request.method == "DELETE") {
            call.kind = call_kind::EndProgram;
        } else {
            return unsupportedMethod(request.method);
        }
        if (!request.body.empty()) {
            return invalid("expected no body");
        }
        return call;
    }

    //--------------------------------------------------------------------------------------------------------------
    // Calls
    //--------------------------------------------------------------------------------------------------------------

    result<std::string> parseOptionalId(const caller_request& request, const char* header)
    {
        if (isDuplicated(request, header)) {
            return invalid(std::string("the header ") + header + " stands more than once");
        }
        const auto value = findHeader(request, header);
        if (value && !isIdentifier(*value, maxIdBytes)) {
            return invalid(std::string("header ") + header + ": expected 1 to 128 letters, digits and -_.:@");
        }
        return value.value_or("");
    }

    result<std::uint32_t> parseTurn(const caller_request& request)
    {
        if (isDuplicated(request, "cuminledge-turn")) {
            return invalid("the header cuminledge-turn stands more than once");
        }
        const auto text = findHeader(request, "cuminledge-turn").value_or("");
        std::uint32_t turn = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), turn);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || turn == 0) {
            return invalid("header cuminledge-turn: expected a whole number from 1");
        }
        return turn;
    }

    check_result checkChat(const gateway_context& context, const caller_request& request, gateway_call call)
    {
        auto parsed = parseChatRequest(request.body);
        if (!parsed) {
            return tl::unexpected<error>(parsed.error());
        }
        auto program = parseOptionalId(request, "cuminledge-program");
        if (!program) {
            return tl::unexpected<error>(program.error());
        }
        call.kind = call_kind::Chat;
        call.program = std::move(*program);
        if (!call.program.empty()) {
            const auto turn = parseTurn(request);
            if (!turn) {
                return tl::unexpected<error>(turn.error());
            }
            call.turn = *turn;
        } else if (findHeader(request, "cuminledge-turn")) {
            return invalid("header cuminledge-turn: stands without cuminledge-program");
        }
        call.model = std::move(parsed->model);
        call.stream = parsed->stream;
        call.maxTokens = parsed->maxTokens;
        call.body = std::move(parsed->messages);
        call.deltaTokens = estimateTokens(call.body);
        if (!call.program.empty()) {
            return call;
        }
        const auto* route = findRouteForModel(*context.state.configuration.manifest, call.account, call.model);
        if (route == nullptr) {
            return failure(error_code::PermissionDenied,
                "$.model: no route of this client account allows " + call.model, "check_route");
        }
        if (call.account.empty()) {
            call.account = route->openAccount;
        }
        return checkChatOnRoute(std::move(call), *route);
    }

    check_result checkService(
        const gateway_context& context, const caller_request& request, const std::vector<std::string>& path,
        gateway_call call)
    {
        const auto* service = manifest::findService(*context.state.configuration.manifest, path[2]);
        const bool permitted
            = service != nullptr && !call.account.empty() && manifest::contains(service->clientAccounts, call.account);
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
        auto callId = parseOptionalId(request, "idempotency-key");
        auto program = parseOptionalId(request, "cuminledge-program");
        if (!callId || !program) {
            return tl::unexpected<error>(callId ? program.error() : callId.error());
        }
        if (callId->empty() && !operation->repeatable) {
            return invalid("header idempotency-key: required, as this operation may not be repeated");
        }
        call.kind = call_kind::Service;
        call.service = service->name;
        call.operation = operation->name;
        call.repeatable = operation->repeatable;
        call.deadline = call.receivedAt + operation->timeout;
        call.callId = std::move(*callId);
        call.program = std::move(*program);
        call.body = request.body;
        call.requestDigest = sha256Hex(call.service + "\n" + call.operation + "\n" + call.body);
        call.fingerprint = sha256Hex(call.account + "\n" + call.requestDigest);
        return call;
    }

    check_result checkReadCall(const std::vector<std::string>& path, gateway_call call)
    {
        if (!isIdentifier(path[2], maxIdBytes)) {
            return failure(error_code::NotFound, "no such call", "check_request");
        }
        call.kind = call_kind::ReadCall;
        call.callId = path[2];
        return call;
    }

    check_result checkRequest(const gateway_context& context, const caller_request& request, gateway_call call)
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
            return isPost ? checkOpenProgram(context, request, std::move(call)) : unsupportedMethod(request.method);
        }
        if (collection == "programs" && (depth == 3 || depth == 4)) {
            return checkProgram(request, *path, std::move(call));
        }
        if (collection == "chat" && depth == 3 && (*path)[2] == "completions") {
            return isPost ? checkChat(context, request, std::move(call)) : unsupportedMethod(request.method);
        }
        if (collection == "services" && depth == 4) {
            return isPost ? checkService(context, request, *path, std::move(call)) : unsupportedMethod(request.method);
        }
        if (collection == "calls" && depth == 3 && !call.account.empty()) {
            return request.method == "GET" ? checkReadCall(*path, std::move(call)) : unsupportedMethod(request.method);
        }
        return failure(error_code::NotFound, "no such path", "check_request");
    }

    //--------------------------------------------------------------------------------------------------------------
    // Start
    //--------------------------------------------------------------------------------------------------------------

    gateway_call makeCall(gateway_context& context, const caller_request& request)
    {
        gateway_call call;
        call.id = context.state.nextCallId++;
        call.exchange = request.exchange;
        call.requestId = randomId(context.random);
        call.receivedAt = context.now;
        call.startDeadline = context.now + context.state.settings.queueTimeout;
        call.deadline = context.now + context.state.settings.callTimeout;
        return call;
    }

    /// @return the execution state for a refusal made before the idempotency record is read. If the gateway is
    ///         unavailable, an earlier request with the same idempotency key may have run.
    ran_state ranStateBeforeLookup(const caller_request& request, const error& e)
    {
        const bool mayHaveRun = e.code == error_code::Unavailable && request.target.starts_with("/v1/services/")
            && findHeader(request, "idempotency-key");
        return mayHaveRun ? ran_state::Unknown : ran_state::NotRun;
    }

    /// Continues a call after its account, route and body have passed the checks.
    void continueCheckedCall(gateway_context& context, gateway_call& call)
    {
        switch (call.kind) {
        case call_kind::Chat:
            acquireRateToken(context, call);
            return;
        case call_kind::Service:
            if (call.repeatable) {
                acquireRateToken(context, call);
            } else {
                findExistingCall(context, call);
            }
            return;
        case call_kind::ReadProgram:
        case call_kind::ReadHistory:
        case call_kind::EndProgram:
        case call_kind::OpenProgram:
        case call_kind::ReadCall:
            sendProgramRequest(context, call);
            return;
        }
    }

    void startCall(gateway_context& context, gateway_call& call)
    {
        switch (call.kind) {
        case call_kind::OpenProgram:
            openProgram(context, call);
            return;
        case call_kind::ReadCall:
            readCall(context, call);
            return;
        case call_kind::Chat:
        case call_kind::Service:
        case call_kind::ReadProgram:
        case call_kind::ReadHistory:
        case call_kind::EndProgram:
            break;
        }
        if (call.program.empty()) {
            onProgramKnown(context, call, {});
        } else {
            findProgram(context, call);
        }
    }

} // namespace

void onCallerRequest(gateway_context& context, const caller_request& request)
{
    auto call = makeCall(context, request);
    const auto refuse = [&](const error& e, ran_state ran) {
        refuseExchange(context, request.exchange, call.requestId, makeRefusal(e, ran));
    };
    if (context.state.calls.size() >= context.state.settings.maxCalls) {
        const error full { error_code::Unavailable, "too many calls are under way here", "admit", {} };
        refuse(full, ranStateBeforeLookup(request, full));
        return;
    }
    const auto identity = authenticate(context, request);
    if (!identity) {
        refuse(identity.error(), ranStateBeforeLookup(request, identity.error()));
        return;
    }
    call.key = identity->key;
    call.account = identity->account;
    auto checked = checkRequest(context, request, call);
    if (!checked) {
        const bool anonymous = identity->key.empty() && checked.error().code == error_code::PermissionDenied;
        if (anonymous) {
            checked.error().code = error_code::Unauthenticated;
        }
        refuse(checked.error(), ran_state::NotRun);
        return;
    }
    ++context.state.counters.callsAccepted;
    if (!checked->key.empty()) {
        context.out.emplace_back(tag_connection { request.exchange, checked->key });
    }
    const auto id = checked->id;
    context.state.callByExchange[request.exchange] = id;
    auto& stored = context.state.calls[id];
    stored = std::move(*checked);
    startCall(context, stored);
}

void onProgramKnown(gateway_context& context, gateway_call& call, const known_program& program)
{
    const auto& manifest = context.state.configuration.manifest;
    if (call.program.empty()) {
        continueCheckedCall(context, call);
        return;
    }
    const auto* route = manifest ? manifest::findRoute(*manifest, program.route) : nullptr;
    const bool open = route != nullptr && route->openToAll && route->openAccount == program.account;
    const bool permitted = call.key.empty() ? open : call.account == program.account;
    if (!permitted) {
        const bool anonymous = call.key.empty();
        refuseAndFinish(context, call,
            makeRefusal(error { anonymous ? error_code::Unauthenticated : error_code::NotFound, "no such program",
                            "check_program", {} },
                ran_state::NotRun));
        return;
    }
    call.account = program.account;
    if (call.kind != call_kind::Chat) {
        continueCheckedCall(context, call);
        return;
    }
    if (route == nullptr || (!call.key.empty() && !canUseRoute(*route, call.account))) {
        refuseAndFinish(context, call,
            makeRefusal(error { error_code::PermissionDenied, "the program's route is not open to this client account",
                            "check_route", {} },
                ran_state::NotRun));
        return;
    }
    auto checked = checkChatOnRoute(call, *route);
    if (!checked) {
        refuseAndFinish(context, call, makeRefusal(checked.error(), ran_state::NotRun));
        return;
    }
    call = std::move(*checked);
    continueCheckedCall(context, call);
}

} // namespace cuminledge::core::gateway
