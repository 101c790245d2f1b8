#include <core/limits/spend_ledger.hpp>

#include <algorithm>
#include <iterator>

namespace cuminledge::core::limits {

namespace {

    using seconds = std::chrono::duration<double>;

    constexpr std::ptrdiff_t maxSpans = 64;
    constexpr std::chrono::milliseconds maxReportDelay { 4'000 }; // leases end within half of this time

    void recordOverflow(spend_ledger& ledger, time_point from, time_point until)
    {
        auto& spans = ledger.overflow;
        if (!spans.empty() && spans.back().until == from) {
            spans.back().until = until;
            return;
        }
        if (std::ssize(spans) == maxSpans) {
            spans.erase(spans.begin());
        }
        spans.push_back({ from, until });
    }

    /// Takes up to `wanted` tokens from the overflow after the given time, earliest first. @return the tokens taken.
    double takeOverflow(spend_ledger& ledger, double wanted, time_point at)
    {
        const double rate = ledger.bucket.limit.ratePerSecond;
        if (rate <= 0) {
            return 0;
        }
        double taken = 0;
        std::vector<overflow_span> remaining;
        for (const auto& span : ledger.overflow) {
            const auto from = std::max(span.from, at);
            if (from >= span.until || taken >= wanted) {
                remaining.push_back(span);
                continue;
            }
            const double part = std::min(seconds(span.until - from).count() * rate, wanted - taken);
            taken += part;
            const auto used = std::chrono::ceil<duration>(seconds(part / rate));
            if (span.from < from) {
                remaining.push_back({ span.from, from });
            }
            if (from + used < span.until) {
                remaining.push_back({ from + used, span.until });
            }
        }
        if (std::ssize(remaining) > maxSpans) {
            remaining.erase(remaining.begin(), remaining.end() - maxSpans);
        }
        ledger.overflow = std::move(remaining);
        return taken;
    }

} // namespace

void advance(spend_ledger& ledger, time_point now)
{
    auto& bucket = ledger.bucket;
    if (now <= bucket.updated) {
        return;
    }
    std::erase_if(ledger.overflow, [now](const overflow_span& span) { return span.until + maxReportDelay <= now; });
    const double rate = bucket.limit.ratePerSecond;
    const double room = bucket.limit.burst - bucket.tokens;
    const double accrued = seconds(now - bucket.updated).count() * rate;
    if (accrued > room && rate > 0) {
        const auto untilFull = std::chrono::ceil<duration>(seconds(std::max(0.0, room) / rate));
        recordOverflow(ledger, std::min(now, bucket.updated + untilFull), now);
    }
    refill(bucket, now);
}

void subtractSpent(spend_ledger& ledger, std::int64_t tokens, time_point at)
{
    const auto spent = static_cast<double>(tokens);
    ledger.bucket.tokens -= spent - takeOverflow(ledger, spent, at);
}

} // namespace cuminledge::core::limits
