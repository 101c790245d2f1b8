#include "refusal.hpp"

#include <utility>

#include <json/value.h>

namespace cuminledge::core::gateway {

namespace {

    const char* nameOf(ran_state ran)
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

    error_code codeOf(std::uint32_t number)
    {
        return number <= static_cast<std::uint32_t>(error_code::Internal) ? static_cast<error_code>(number)
                                                                          : error_code::Internal;
    }

    std::string titleOf(error_code code)
    {
        std::string title = toString(code);
        for (auto& letter : title) {
            letter = letter == '_' ? ' ' : letter;
        }
        return title;
    }

    header_list headersOf(const refusal& r, const std::string& requestId)
    {
        header_list headers { { "Cuminledge-Request-Id", requestId } };
        if (r.retryAfter.count() > 0) {
            const auto seconds = std::chrono::ceil<std::chrono::seconds>(r.retryAfter);
            headers.emplace_back("Retry-After", std::to_string(seconds.count()));
        }
        if (r.code == error_code::Unauthenticated) {
            headers.emplace_back("WWW-Authenticate", "Bearer");
        }
        return headers;
    }

} // namespace

std::uint32_t statusOf(error_code code)
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
    case error_code::Internal:
        return 500;
    }
    return 500;
}

std::string renderProblem(const refusal& r, const std::string& requestId)
{
    Json::Value problem(Json::objectValue);
    problem["type"] = "about:blank";
    problem["title"] = titleOf(r.code);
    problem["status"] = statusOf(r.code);
    problem["detail"] = r.message;
    problem["code"] = toString(r.code);
    problem["ran"] = nameOf(r.ran);
    problem["retry_after_ms"] = Json::Int64(r.retryAfter.count());
    problem["request_id"] = requestId;
    problem["step"] = r.step;
    problem["peer"] = r.peer;
    return writeJson(problem);
}

refusal refusalOf(const error& e, ran_state ran)
{
    refusal r { e.code, e.message, e.step, e.peer, ran, {} };
    if (e.code == error_code::Timeout || e.code == error_code::Unavailable) {
        r.retryAfter = std::chrono::seconds(1);
    }
    return r;
}

refusal refusalOf(const wire::refused& r, ran_state ran, const std::string& peer)
{
    auto message = r.detail.empty() ? r.message : r.message + ": " + r.detail;
    return refusalOf(error { codeOf(r.code), std::move(message), r.step, peer }, ran);
}

void refuseExchange(context& c, exchange_id exchange, const std::string& requestId, const refusal& r)
{
    ++c.state.counters.callsRefused;
    c.out.emplace_back(reply_to_caller {
        exchange, statusOf(r.code), "application/problem+json", headersOf(r, requestId), renderProblem(r, requestId) });
    c.out.emplace_back(record_metric { "calls_refused_total", 1, false });
    c.out.emplace_back(write_log { log_level::Info, "call_refused",
        { { "request", requestId }, { "code", toString(r.code) }, { "ran", nameOf(r.ran) }, { "at", r.step },
            { "peer", r.peer }, { "reason", r.message } } });
}

void refuseCaller(context& c, call& subject, const refusal& r)
{
    if (subject.exchange == 0) {
        return;
    }
    if (subject.streamBegun) {
        ++c.state.counters.callsRefused;
        c.out.emplace_back(
            stream_event { subject.exchange, "{\"error\":" + renderProblem(r, subject.requestId) + "}" });
        c.out.emplace_back(abort_exchange { subject.exchange });
        logCall(c, log_level::Info, "stream_cut_off", subject, { { "code", toString(r.code) }, { "reason", r.message } });
    } else {
        refuseExchange(c, subject.exchange, subject.requestId, r);
    }
    c.state.callOfExchange.erase(subject.exchange);
    subject.exchange = 0;
}

void refuseAndFinish(context& c, call& subject, const refusal& r)
{
    refuseCaller(c, subject, r);
    finishCall(c, subject);
}

} // namespace cuminledge::core::gateway
