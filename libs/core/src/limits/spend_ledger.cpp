#include <core/limits/spend_ledger.hpp>

#include <algorithm>

namespace cuminledge::core::limits {

namespace {

    using seconds = std::chrono::duration<double>;

    constexpr std::size_t maxSpans = 32;

    void noteOverflow(spend_ledger& ledger, time_point from, time_point until)
    {
        auto& spans = ledger.overflow;
        if (!spans.empty() && spans.back().until == from) {
            spans.back().until = until;
            return;
        }
        if (spans.size() == maxSpans) {
            spans.erase(spans.begin());
        }
        spans.push_back({ from, until });
    }

    /// Takes up to `wanted` tokens out of the overflow after that time. @return what was taken.
    double takeOverflow(spend_ledger& ledger, double wanted, time_point at)
    {
        const double rate = ledger.bucket.limit.ratePerSecond;
        double taken = 0;
        if (rate <= 0) {
            return 0;
        }
        for (auto& span : ledger.overflow) {
            const auto from = std::max(span.from, at);
            if (from >= span.until || taken >= wanted) {
                continue;
            }
            const double there = seconds(span.until - from).count() * rate;
            const double part = std::min(there, wanted - taken);
            taken += part;
            // What is left of the span before `at` is dropped with it where the span is cut in the middle: safe, as
            // overflow that is forgotten only lowers the level.
            const auto used = std::chrono::ceil<duration>(seconds(part / rate));
            span.from = std::min(span.until, from + used);
        }
        std::erase_if(ledger.overflow, [](const overflow_span& span) { return span.from >= span.until; });
        return taken;
    }

} // namespace

void advance(spend_ledger& ledger, time_point now)
{
    auto& bucket = ledger.bucket;
    if (now <= bucket.updated) {
        return;
    }
    const double rate = bucket.limit.ratePerSecond;
    const double room = bucket.limit.burst - bucket.tokens;
    const double comes = seconds(now - bucket.updated).count() * rate;
    if (comes > room && rate > 0) {
        const auto untilFull = std::chrono::ceil<duration>(seconds(std::max(0.0, room) / rate));
        noteOverflow(ledger, std::min(now, bucket.updated + untilFull), now);
    }
    refill(bucket, now);
}

void subtractSpent(spend_ledger& ledger, std::int64_t tokens, time_point at)
{
    const auto spent = static_cast<double>(tokens);
    ledger.bucket.tokens -= spent - takeOverflow(ledger, spent, at);
}

} // namespace cuminledge::core::limits
