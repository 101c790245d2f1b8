#include "retries.hpp"

#include <algorithm>

#include "attempts.hpp"
#include "refusal.hpp"
#include "service_calls.hpp"

namespace cuminledge::core::gateway {

namespace {

    constexpr double retryTokensPerCall = 0.2;
    constexpr double maxRetryTokens = 20;
    /// A request is not run again after this many backend servers have died while running it.
    constexpr std::uint32_t quarantineDeathCount = 2;
    constexpr std::size_t maxRetryAccounts = 50'000;

    error_code toErrorCode(const wire::attempt_failed& failed)
    {
        return failed.code <= static_cast<std::uint32_t>(error_code::Internal) ? static_cast<error_code>(failed.code)
                                                                               : error_code::Internal;
    }

    bool isRetryable(error_code code)
    {
        switch (code) {
        case error_code::InvalidArgument:
        case error_code::PermissionDenied:
        case error_code::NotFound:
        case error_code::Conflict:
        case error_code::OutOfOrder:
        case error_code::TooLarge:
        case error_code::Quarantined:
            return false;
        default:
            return true;
        }
    }

    bool spendRetryToken(gateway_state& state, const std::string& account)
    {
        auto& tokens = state.retryTokens.try_emplace(account, maxRetryTokens).first->second;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    refusal refusalForFailure(const wire::attempt_failed& failed, const gateway_call& call)
    {
        return makeRefusal(error { toErrorCode(failed), failed.message, failed.step, call.lastBackend },
            call.mayHaveRun ? ran_state::Unknown : ran_state::NotRun);
    }

    void scheduleRetry(gateway_context& context, gateway_call& call)
    {
        constexpr std::uint32_t maxDoublings = 6;
        const auto doublings = std::min(call.attemptsMade - 1, maxDoublings);
        call.step = call_step::Backend;
        call.nextCheckAt
            = context.now + jittered(context.state.settings.retryPause * (1U << doublings), context.random);
        call.startDeadline
            = std::max(call.startDeadline, std::min(call.deadline, context.now + context.state.settings.queueTimeout));
        ++context.state.counters.attemptsRetried;
        context.out.emplace_back(record_metric { "attempts_retried_total", 1, false });
    }

} // namespace

void decideAfterFailure(gateway_context& context, gateway_call& call, const wire::attempt_failed& failed)
{
    call.lastError = { toErrorCode(failed), failed.message, failed.step, call.attempt.sidecar };
    logCall(context, log_level::Info, "attempt_failed", call,
        { { "attempt", failed.attempt }, { "backend", call.attempt.backend }, { "reason", failed.message } });
    const bool proved = failed.outcome == wire::attempt_outcome::NotRun;
    releaseBackend(context, call, proved || call.cancelled ? attempt_end::Dropped : attempt_end::Failed);
    if (!call.repeatable) {
        call.mayHaveRun = !proved;
        settleCall(context, call, proved ? wire::call_state::NotRun : wire::call_state::Unknown);
        return;
    }
    auto cause = refusalForFailure(failed, call);
    if (failed.backendDied) {
        call.suspect = true;
        if (++call.backendDeaths >= quarantineDeathCount) {
            cause.code = error_code::Quarantined;
            failCall(context, call, cause);
            return;
        }
    }
    const bool ended = call.cancelled || context.now >= call.deadline;
    const bool retry = !ended && isRetryable(toErrorCode(failed))
        && call.attemptsMade < context.state.settings.maxAttempts && spendRetryToken(context.state, call.account);
    if (!retry) {
        failCall(context, call, cause);
        return;
    }
    scheduleRetry(context, call);
}

void creditRetryTokens(gateway_state& state, const std::string& account)
{
    if (state.retryTokens.size() > maxRetryAccounts) {
        state.retryTokens.clear();
    }
    auto& tokens = state.retryTokens.try_emplace(account, maxRetryTokens).first->second;
    tokens = std::min(tokens + retryTokensPerCall, maxRetryTokens);
}

} // namespace cuminledge::core::gateway
