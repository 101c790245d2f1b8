#include "refusal.hpp"

#include <utility>

#include <json/value.h>

namespace cuminledge::core::gateway {

namespace {

    const char* ranStateName(ran_state ran)
    {
        switch (ran) {
        case ran_state::NotRun:
            return "not_run";
        case ran_state::Ran:
            return "ran";
        case ran_state::Unknown:
            break;
        }
        return "unknown";
    }

    error_code toErrorCode(std::uint32_t number)
    {
        return number <= static_cast<std::uint32_t>(error_code::Internal) ? static_cast<error_code>(number)
                                                                          : error_code::Internal;
    }

    std::string problemTitle(error_code code)
    {
        std::string title = toString(code);
        for (auto& letter : title) {
            letter = letter == '_' ? ' ' : letter;
        }
        return title;
    }

    header_list refusalHeaders(const refusal& cause, const std::string& requestId)
    {
        header_list headers { { "Cuminledge-Request-Id", requestId } };
        if (cause.retryAfter.count() > 0) {
            const auto seconds = std::chrono::ceil<std::chrono::seconds>(cause.retryAfter);
            headers.emplace_back("Retry-After", std::to_string(seconds.count()));
        }
        if (cause.code == error_code::Unauthenticated) {
            headers.emplace_back("WWW-Authenticate", "Bearer");
        }
        return headers;
    }

} // namespace

std::uint32_t httpStatus(error_code code)
{
    switch (code) {
    case error_code::InvalidArgument:
        return 422;
    case error_code::Unauthenticated:
        return 401;
    case error_code::PermissionDenied:
        return 403;
    case error_code::NotFound:
        return 404;
    case error_code::Conflict:
    case error_code::OutOfOrder:
        return 409;
    case error_code::BudgetExceeded:
        return 402;
    case error_code::RateLimited:
        return 429;
    case error_code::TooLarge:
        return 413;
    case error_code::Quarantined:
        return 422;
    case error_code::Overloaded:
    case error_code::Unavailable:
    case error_code::NotLeader:
        return 503;
    case error_code::Timeout:
        return 504;
    case error_code::Protocol:
        return 502;
    case error_code::Corrupt:
    case error_code::Storage:
    case error_code::DiskFull:
    case error_code::Internal:
        return 500;
    }
    return 500;
}

std::string renderProblem(const refusal& cause, const std::string& requestId)
{
    Json::Value problem(Json::objectValue);
    problem["type"] = "about:blank";
    problem["title"] = problemTitle(cause.code);
    problem["status"] = httpStatus(cause.code);
    problem["detail"] = cause.message;
    problem["code"] = toString(cause.code);
    problem["ran"] = ranStateName(cause.ran);
    problem["retry_after_ms"] = Json::Int64(cause.retryAfter.count());
    problem["request_id"] = requestId;
    problem["step"] = cause.step;
    problem["peer"] = cause.peer;
    return writeJson(problem);
}

refusal makeRefusal(const error& e, ran_state ran)
{
    refusal cause { e.code, e.message, e.step, e.peer, ran, {} };
    if (e.code == error_code::Timeout || e.code == error_code::Unavailable) {
        cause.retryAfter = std::chrono::seconds(1);
    }
    return cause;
}

refusal makeRefusal(const wire::refused& refused, ran_state ran, const std::string& peer)
{
    auto message = refused.detail.empty() ? refused.message : refused.message + ": " + refused.detail;
    return makeRefusal(error { toErrorCode(refused.code), std::move(message), refused.step, peer }, ran);
}

void refuseExchange(gateway_context& context, exchange_id exchange, const std::string& requestId, const refusal& cause)
{
    ++context.state.counters.callsRefused;
    context.out.emplace_back(reply_to_caller {
        exchange, httpStatus(cause.code), "application/problem+json", refusalHeaders(cause, requestId),
        renderProblem(cause, requestId) });
    context.out.emplace_back(record_metric { "calls_refused_total", 1, false });
    context.out.emplace_back(write_log { log_level::Info, "call_refused",
        { { "request", requestId }, { "code", toString(cause.code) }, { "ran", ranStateName(cause.ran) },
            { "at", cause.step }, { "peer", cause.peer }, { "reason", cause.message } } });
}

void refuseCaller(gateway_context& context, gateway_call& call, const refusal& cause)
{
    if (call.exchange == 0) {
        return;
    }
    if (call.streamStarted) {
        ++context.state.counters.callsRefused;
        context.out.emplace_back(
            stream_event { call.exchange, "{\"error\":" + renderProblem(cause, call.requestId) + "}" });
        context.out.emplace_back(abort_exchange { call.exchange });
        logCall(context, log_level::Info, "stream_cut_off", call,
            { { "code", toString(cause.code) }, { "reason", cause.message } });
    } else {
        refuseExchange(context, call.exchange, call.requestId, cause);
    }
    context.state.callByExchange.erase(call.exchange);
    call.exchange = 0;
}

void refuseAndFinish(gateway_context& context, gateway_call& call, const refusal& cause)
{
    refuseCaller(context, call, cause);
    finishCall(context, call);
}

} // namespace cuminledge::core::gateway
