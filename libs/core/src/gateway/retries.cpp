#include "retries.hpp"

#include <algorithm>

#include "attempts.hpp"
#include "refusal.hpp"
#include "service_calls.hpp"

namespace cuminledge::core::gateway {

namespace {

    constexpr double retriesPerCall = 0.2;
    constexpr double maxRetryTokens = 20;
    /// At so many deaths of backend servers a request is not run again.
    constexpr std::uint32_t quarantineDeaths = 2;
    constexpr std::size_t maxRetryAccounts = 50'000;

    error_code codeOf(const wire::attempt_failed& failed)
    {
        return failed.code <= static_cast<std::uint32_t>(error_code::Internal) ? static_cast<error_code>(failed.code)
                                                                               : error_code::Internal;
    }

    bool isWorthRetrying(error_code code)
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

    bool takeRetry(gateway_state& state, const std::string& account)
    {
        auto& tokens = state.retryTokens.try_emplace(account, maxRetryTokens).first->second;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    refusal refusalFrom(const wire::attempt_failed& failed, const call& subject)
    {
        return refusalOf(error { codeOf(failed), failed.message, failed.step, subject.lastBackend },
            subject.mayHaveRun ? ran_state::Unknown : ran_state::NotRun);
    }

    void scheduleRetry(context& c, call& subject)
    {
        constexpr std::uint32_t maxDoublings = 6;
        const auto doublings = std::min(subject.attemptsMade - 1, maxDoublings);
        subject.step = call_step::Backend;
        subject.resumeAt = c.now + jittered(c.state.settings.retryPause * (1U << doublings), c.random);
        subject.startBy = std::max(subject.startBy, std::min(subject.deadline, c.now + c.state.settings.queueTimeout));
        ++c.state.counters.attemptsRetried;
        c.out.emplace_back(record_metric { "attempts_retried_total", 1, false });
    }

} // namespace

void decideAfterFailure(context& c, call& subject, const wire::attempt_failed& failed)
{
    subject.lastError = { codeOf(failed), failed.message, failed.step, subject.run.sidecar };
    logCall(c, log_level::Info, "attempt_failed", subject,
        { { "attempt", failed.attempt }, { "backend", subject.run.backend }, { "reason", failed.message } });
    const bool proved = failed.outcome == wire::attempt_outcome::NotRun;
    releaseBackend(c, subject, proved || subject.cancelled ? attempt_end::Dropped : attempt_end::Failed);
    if (!subject.repeatable) {
        subject.mayHaveRun = !proved;
        settleCall(c, subject, proved ? wire::call_state::NotRun : wire::call_state::Unknown);
        return;
    }
    auto why = refusalFrom(failed, subject);
    if (failed.backendDied) {
        subject.suspect = true;
        if (++subject.deathsSeen >= quarantineDeaths) {
            why.code = error_code::Quarantined;
            failCall(c, subject, why);
            return;
        }
    }
    const bool ended = subject.cancelled || c.now >= subject.deadline;
    const bool retry = !ended && isWorthRetrying(codeOf(failed))
        && subject.attemptsMade < c.state.settings.maxAttempts && takeRetry(c.state, subject.account);
    if (!retry) {
        failCall(c, subject, why);
        return;
    }
    scheduleRetry(c, subject);
}

void earnRetries(gateway_state& state, const std::string& account)
{
    if (state.retryTokens.size() > maxRetryAccounts) {
        state.retryTokens.clear();
    }
    auto& tokens = state.retryTokens.try_emplace(account, maxRetryTokens).first->second;
    tokens = std::min(tokens + retriesPerCall, maxRetryTokens);
}

} // namespace cuminledge::core::gateway
