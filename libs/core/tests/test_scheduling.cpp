#include <core/scheduling/attempt_queue.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>

using namespace cuminledge;
using namespace cuminledge::core::scheduling;
using namespace std::chrono_literals;

namespace {

const time_point start { 1h };

queued_attempt makeAttempt(int number, const std::string& account, time_point now, std::int64_t attained = 0)
{
    queued_attempt attempt;
    attempt.attempt = "attempt-" + std::to_string(number);
    attempt.account = account;
    attempt.program = "program-" + std::to_string(number);
    attempt.attainedTokens = attained;
    attempt.prefillTokens = 100;
    attempt.expectedTokens = 100;
    attempt.arrivedAt = now;
    attempt.latestStart = now + 1h;
    return attempt;
}

void finish(attempt_queue& queue, const std::string& attempt, time_point now)
{
    onServiceReceived(queue, attempt, 100, 100, now);
    onAttemptEnded(queue, attempt);
}

/// The flooding account has a backlog, then another account sends one attempt. @return how many of the flood go first.
int floodedBefore(bool fairAcrossAccounts)
{
    attempt_queue queue;
    queue.settings.fairAcrossAccounts = fairAcrossAccounts;
    int number = 0;
    for (; number < 100; ++number) {
        push(queue, makeAttempt(number, "flood", start + number * 1ms), start);
    }
    push(queue, makeAttempt(number, "small", start + 200ms), start + 200ms);
    for (int before = 0;; ++before) {
        const auto taken = next(queue, start + 300ms, 1);
        if (taken.front().account == "small") {
            return before;
        }
        finish(queue, taken.front().attempt, start + 300ms);
    }
}

/// One old program among a stream of new ones. @return whether it ran within the turns given.
bool oldProgramRuns(bool useAgeing)
{
    attempt_queue queue;
    queue.settings.useAgeing = useAgeing;
    push(queue, makeAttempt(0, "account", start, 50'000), start);
    for (int number = 1; number < 2'000; ++number) {
        const auto now = start + number * 1s;
        push(queue, makeAttempt(number, "account", now), now);
        const auto taken = next(queue, now, 1);
        if (taken.front().attempt == "attempt-0") {
            return true;
        }
        finish(queue, taken.front().attempt, now);
    }
    return false;
}

} // namespace

TEST_CASE("An account that floods does not shut out another", "[scheduling]")
{
    CHECK(floodedBefore(true) <= 1);
    CHECK(floodedBefore(false) == 100); // without fair shares the small account waits for the whole backlog
}

TEST_CASE("Nothing starves", "[scheduling]")
{
    CHECK(oldProgramRuns(true));
    CHECK_FALSE(oldProgramRuns(false));
}

TEST_CASE("Within an account the program with the least service goes first", "[scheduling]")
{
    attempt_queue queue;
    push(queue, makeAttempt(1, "account", start, 9'000), start);
    push(queue, makeAttempt(2, "account", start, 100), start);
    auto nearEnd = makeAttempt(3, "account", start, 90'000);
    nearEnd.remainingTurns = 0;
    push(queue, nearEnd, start);
    const auto taken = next(queue, start, 3);
    REQUIRE(taken.size() == 3);
    CHECK(taken[0].attempt == "attempt-3"); // its program is known to end with it
    CHECK(taken[1].attempt == "attempt-2");
    queue.settings.leastAttainedFirst = false;
}

TEST_CASE("An account that returns gets no credit for its absence", "[scheduling]")
{
    attempt_queue queue;
    int number = 0;
    push(queue, makeAttempt(number++, "away", start), start);
    finish(queue, next(queue, start, 1).front().attempt, start);
    for (int i = 0; i < 50; ++i) {
        push(queue, makeAttempt(number++, "busy", start), start);
    }
    for (int i = 0; i < 20; ++i) {
        finish(queue, next(queue, start, 1).front().attempt, start);
    }
    for (int i = 0; i < 20; ++i) {
        push(queue, makeAttempt(number++, "away", start), start);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 20; ++i) {
        const auto taken = next(queue, start, 1).front();
        ++served[taken.account];
        finish(queue, taken.attempt, start);
    }
    CHECK(served["busy"] >= 9);
    CHECK(served["away"] >= 9);
}

TEST_CASE("A full queue gives up the longest account's last attempt, not the newcomer", "[scheduling]")
{
    attempt_queue queue;
    queue.settings.maxQueued = 10;
    queue.settings.maxQueuedPerAccount = 10;
    for (int number = 0; number < 10; ++number) {
        CHECK(push(queue, makeAttempt(number, "flood", start), start).refusal == push_refusal::None);
    }
    CHECK(push(queue, makeAttempt(10, "flood", start), start).refusal == push_refusal::AccountFull);
    const auto outcome = push(queue, makeAttempt(11, "small", start), start);
    CHECK(outcome.refusal == push_refusal::None);
    REQUIRE(outcome.displaced);
    CHECK(outcome.displaced->attempt == "attempt-9");
    CHECK(queue.queuedCount == 10);
}

TEST_CASE("An attempt whose latest start can't be met is refused at once", "[scheduling]")
{
    attempt_queue queue;
    queue.settings.initialCostPerSecond = 300;
    for (int number = 0; number < 10; ++number) {
        push(queue, makeAttempt(number, "flood", start), start);
    }
    auto hopeless = makeAttempt(10, "flood", start);
    hopeless.latestStart = start + 2s;
    const auto outcome = push(queue, hopeless, start);
    CHECK(outcome.refusal == push_refusal::DeadlineCannotBeMet);
    CHECK(outcome.retryAfter > 0ms);
    auto other = makeAttempt(11, "small", start);
    other.latestStart = start + 2s;
    CHECK(push(queue, other, start).refusal == push_refusal::None); // overload degrades by account
    queue.settings.refuseEarly = false;
    hopeless.attempt = "attempt-12";
    CHECK(push(queue, hopeless, start).refusal == push_refusal::None);
    const auto late = expire(queue, start + 3s);
    CHECK(late.size() == 2);
}

TEST_CASE("Engines are never given more than their batch limit", "[scheduling]")
{
    CHECK(admissionSlots(16, 0) == 16);
    CHECK(admissionSlots(16, 15) == 1);
    CHECK(admissionSlots(16, 16) == 0);
    CHECK(admissionSlots(16, 99) == 0);
}

TEST_CASE("Against first come first served: the same attempts, each once, within the bounds", "[scheduling]")
{
    const bool held = rc::check("every push ends as started, removed, displaced, expired or refused, once", [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        attempt_queue queue;
        queue.settings.maxQueued = 20;
        queue.settings.maxQueuedPerAccount = 12;
        fcfs_queue naive;
        std::map<std::string, int> ended;
        std::vector<std::string> under;
        int pushed = 0;
        std::size_t naiveServed = 0;
        for (int step = 0; step < 400; ++step) {
            const auto now = start + step * 50ms;
            const auto action = random() % 10;
            if (action < 5) {
                auto attempt = makeAttempt(pushed++, "account-" + std::to_string(random() % 5), now,
                    static_cast<std::int64_t>(random() % 5'000));
                attempt.latestStart = now + std::chrono::milliseconds(random() % 20'000);
                push(naive, attempt);
                const auto outcome = push(queue, attempt, now);
                ended[attempt.attempt] += outcome.refusal == push_refusal::None ? 0 : 1;
                if (outcome.displaced) {
                    ++ended[outcome.displaced->attempt];
                }
            } else if (action < 8) {
                for (const auto& taken : next(queue, now, 1 + random() % 3)) {
                    ++ended[taken.attempt];
                    under.push_back(taken.attempt);
                }
                naiveServed += next(naive, 1).size();
            } else if (action == 8 && !under.empty()) {
                finish(queue, under.back(), now);
                under.pop_back();
            } else {
                for (const auto& late : expire(queue, now)) {
                    ++ended[late.attempt];
                    RC_ASSERT(late.latestStart < now);
                }
                const auto any = "attempt-" + std::to_string(random() % (pushed + 1));
                ended[any] += remove(queue, any) ? 1 : 0;
            }
            RC_ASSERT(queue.queuedCount <= queue.settings.maxQueued);
            RC_ASSERT(queue.accountOf.size() == queue.queuedCount);
        }
        for (const auto& taken : next(queue, start + 1h, 1'000)) {
            ++ended[taken.attempt];
        }
        naiveServed += next(naive, 1'000).size();
        RC_ASSERT(naiveServed == static_cast<std::size_t>(pushed));
        for (int number = 0; number < pushed; ++number) {
            RC_ASSERT(ended["attempt-" + std::to_string(number)] == 1);
        }
    });
    CHECK(held);
}

TEST_CASE("Accounts with a backlog get equal service", "[scheduling]")
{
    const bool held = rc::check("the gap between any two stays within two attempts' cost", [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        attempt_queue queue;
        queue.settings.maxQueuedPerAccount = 1'000;
        int number = 0;
        for (int i = 0; i < 900; ++i) {
            // The first account sends five times as much as the others.
            const auto account = random() % 8;
            push(queue, makeAttempt(number++, account < 5 ? "a" : "b" + std::to_string(account), start), start);
        }
        std::map<std::string, double> got;
        for (int i = 0; i < 150; ++i) {
            const auto taken = next(queue, start, 1).front();
            const auto answer = static_cast<std::int64_t>(random() % 200);
            onServiceReceived(queue, taken.attempt, 100, answer, start);
            onAttemptEnded(queue, taken.attempt);
            got[taken.account] += 100 + queue.settings.completionWeight * static_cast<double>(answer);
        }
        const auto [least, most] = std::minmax_element(
            got.begin(), got.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
        RC_ASSERT(most->second - least->second <= 2 * (100 + 2 * 200));
    });
    CHECK(held);
}
