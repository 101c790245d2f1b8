#include <core/scheduling/attempt_queue.hpp>

#include <algorithm>

namespace cuminledge::core::scheduling {

namespace {

    using seconds = std::chrono::duration<double>;

    double costOf(const queue_settings& settings, std::int64_t prefillTokens, std::int64_t completionTokens)
    {
        return static_cast<double>(prefillTokens) + settings.completionWeight * static_cast<double>(completionTokens);
    }

    double costOf(const queue_settings& settings, const queued_attempt& attempt)
    {
        return costOf(settings, attempt.prefillTokens, attempt.expectedTokens);
    }

    bool isActive(const account_queue& account)
    {
        return account.running > 0 || !account.queued.empty();
    }

    /// Without the lift an account could save up service while it is away and then shut out all others.
    double liftFor(const attempt_queue& queue)
    {
        return queue.order.empty() ? queue.lastCounter : queue.order.begin()->first;
    }

    /// Changes an account's counter and keeps the order in step with it.
    void setCounter(attempt_queue& queue, const std::string& name, account_queue& account, double counter)
    {
        if (!account.queued.empty()) {
            queue.order.erase({ account.counter, name });
            queue.order.insert({ counter, name });
        }
        account.counter = counter;
    }

    queued_attempt takeOut(attempt_queue& queue, const std::string& name, std::list<queued_attempt>::iterator position)
    {
        auto& account = queue.accounts.at(name);
        queued_attempt taken = std::move(*position);
        account.queued.erase(position);
        const double cost = costOf(queue.settings, taken);
        account.queuedCost -= cost;
        queue.queuedCost -= cost;
        --queue.queuedCount;
        queue.accountOf.erase(taken.attempt);
        if (account.queued.empty()) {
            account.queuedCost = 0;
            queue.order.erase({ account.counter, name });
        }
        return taken;
    }

    double serviceRate(const attempt_queue& queue)
    {
        return queue.costPerSecond > 0 ? queue.costPerSecond : queue.settings.initialCostPerSecond;
    }

    /// The account that pays when the whole queue is full.
    std::string longestAccount(const attempt_queue& queue)
    {
        std::string longest;
        double cost = -1;
        for (const auto& [counter, name] : queue.order) {
            const auto& account = queue.accounts.at(name);
            if (account.queuedCost > cost) {
                cost = account.queuedCost;
                longest = name;
            }
        }
        return longest;
    }

    push_outcome refuse(attempt_queue& queue, push_refusal reason, const std::string& account)
    {
        constexpr std::chrono::milliseconds leastRetryAfter { 100 };
        ++queue.refused;
        push_outcome outcome;
        outcome.refusal = reason;
        outcome.retryAfter = std::max(leastRetryAfter, predictedWait(queue, account) / 2);
        return outcome;
    }

    void noteAttained(attempt_queue& queue, const queued_attempt& attempt)
    {
        if (attempt.program.empty()) {
            return;
        }
        auto& attained = queue.attained[attempt.program];
        attained = std::max(attained, attempt.attainedTokens);
    }

    std::int64_t attainedBy(const attempt_queue& queue, const queued_attempt& attempt)
    {
        const auto found = queue.attained.find(attempt.program);
        return found == queue.attained.end() ? attempt.attainedTokens
                                             : std::max(found->second, attempt.attainedTokens);
    }

    /// Lower goes first.
    double rankOf(const attempt_queue& queue, const queued_attempt& attempt, time_point now)
    {
        double rank = static_cast<double>(attainedBy(queue, attempt));
        if (attempt.remainingTurns >= 0) {
            // A known remainder says more about how soon the program can be out of the way than its past.
            constexpr double turnTokens = 500;
            rank = std::min(rank, attempt.remainingTurns * turnTokens);
        }
        if (queue.settings.useAgeing) {
            rank -= seconds(now - attempt.arrivedAt).count() * queue.settings.ageingTokensPerSecond;
        }
        return rank;
    }

    std::list<queued_attempt>::iterator bestOf(attempt_queue& queue, account_queue& account, time_point now)
    {
        auto best = account.queued.begin();
        if (!queue.settings.leastAttainedFirst) {
            return best;
        }
        double bestRank = rankOf(queue, *best, now);
        for (auto position = std::next(best); position != account.queued.end(); ++position) {
            const double rank = rankOf(queue, *position, now);
            if (rank < bestRank) {
                best = position;
                bestRank = rank;
            }
        }
        return best;
    }

    std::string nextAccount(const attempt_queue& queue)
    {
        if (queue.settings.fairAcrossAccounts) {
            return queue.order.begin()->second;
        }
        const auto earliest = std::min_element(queue.order.begin(), queue.order.end(),
            [&queue](const auto& left, const auto& right) {
                return queue.accounts.at(left.second).queued.front().arrivedAt
                    < queue.accounts.at(right.second).queued.front().arrivedAt;
            });
        return earliest->second;
    }

    void forgetIdle(attempt_queue& queue, const std::string& name)
    {
        const auto found = queue.accounts.find(name);
        if (found != queue.accounts.end() && !isActive(found->second)) {
            // A counter behind the lift would be raised to it on return, so only one ahead of it says anything.
            if (found->second.counter <= liftFor(queue)) {
                queue.accounts.erase(found);
            }
        }
    }

    /// Bounds the table: idle accounts stay only while their counter is ahead of the active ones.
    void forgetIdleAccounts(attempt_queue& queue)
    {
        constexpr std::size_t checkedAbove = 64;
        if (queue.accounts.size() <= checkedAbove + 2 * queue.order.size()) {
            return;
        }
        std::vector<std::string> idle;
        for (const auto& [name, account] : queue.accounts) {
            if (!isActive(account)) {
                idle.push_back(name);
            }
        }
        for (const auto& name : idle) {
            forgetIdle(queue, name);
        }
    }

    /// Bounds the table: what is forgotten here, the next attempt of the program brings again.
    void forgetPrograms(attempt_queue& queue)
    {
        constexpr std::size_t maxPrograms = 16'384;
        if (queue.attained.size() > maxPrograms) {
            queue.attained.clear();
        }
    }

    void measureRate(attempt_queue& queue, double cost, time_point now)
    {
        constexpr seconds window { 1 };
        constexpr double newShare = 0.3;
        queue.windowCost += cost;
        if (queue.windowStart == time_point {}) {
            queue.windowStart = now;
            return;
        }
        const seconds passed = now - queue.windowStart;
        if (passed < window) {
            return;
        }
        const double rate = queue.windowCost / passed.count();
        // Only a server with a backlog shows its full rate.
        if (queue.queuedCount > 0) {
            queue.costPerSecond
                = queue.costPerSecond > 0 ? (1 - newShare) * queue.costPerSecond + newShare * rate : rate;
        }
        queue.windowCost = 0;
        queue.windowStart = now;
    }

} // namespace

std::chrono::milliseconds predictedWait(const attempt_queue& queue, const std::string& account)
{
    const auto found = queue.accounts.find(account);
    const double own = found == queue.accounts.end() ? 0 : found->second.queuedCost;
    const bool counted = found != queue.accounts.end() && !found->second.queued.empty();
    const auto rivals = static_cast<double>(queue.order.size() + (counted ? 0 : 1));
    // Fair order serves an account at its share of the rate, so only its own backlog, times the accounts that share
    // the server, can stand before it.
    const double ahead = queue.settings.fairAcrossAccounts ? std::min(queue.queuedCost, own * rivals) : queue.queuedCost;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(seconds(ahead / serviceRate(queue)));
    return wait;
}

push_outcome push(attempt_queue& queue, queued_attempt attempt, time_point now)
{
    const auto& settings = queue.settings;
    if (queue.accountOf.count(attempt.attempt) > 0 || queue.running.count(attempt.attempt) > 0) {
        return refuse(queue, push_refusal::Duplicate, attempt.account);
    }
    if (settings.refuseEarly && now + predictedWait(queue, attempt.account) > attempt.latestStart) {
        return refuse(queue, push_refusal::DeadlineCannotBeMet, attempt.account);
    }
    const auto known = queue.accounts.find(attempt.account);
    if (known != queue.accounts.end() && known->second.queued.size() >= settings.maxQueuedPerAccount) {
        return refuse(queue, push_refusal::AccountFull, attempt.account);
    }
    push_outcome outcome;
    if (queue.queuedCount >= settings.maxQueued) {
        const auto longest = longestAccount(queue);
        if (longest == attempt.account || longest.empty() || !settings.fairAcrossAccounts) {
            return refuse(queue, push_refusal::QueueFull, attempt.account);
        }
        outcome.displaced = takeOut(queue, longest, std::prev(queue.accounts.at(longest).queued.end()));
        ++queue.displaced;
    }
    const double lift = liftFor(queue);
    auto& account = queue.accounts[attempt.account];
    if (!isActive(account)) {
        account.counter = std::max(account.counter, lift);
    }
    if (account.queued.empty()) {
        queue.order.insert({ account.counter, attempt.account });
    }
    const double cost = costOf(settings, attempt);
    account.queuedCost += cost;
    queue.queuedCost += cost;
    ++queue.queuedCount;
    ++queue.pushed;
    noteAttained(queue, attempt);
    queue.accountOf[attempt.attempt] = attempt.account;
    account.queued.push_back(std::move(attempt));
    return outcome;
}

std::vector<queued_attempt> next(attempt_queue& queue, time_point now, std::size_t slots)
{
    std::vector<queued_attempt> chosen;
    while (chosen.size() < slots && !queue.order.empty()) {
        const auto name = nextAccount(queue);
        auto& account = queue.accounts.at(name);
        auto taken = takeOut(queue, name, bestOf(queue, account, now));
        const double cost = costOf(queue.settings, taken);
        ++account.running;
        queue.lastCounter = account.counter;
        setCounter(queue, name, account, account.counter + cost);
        queue.running[taken.attempt] = { name, taken.program, cost, 0 };
        ++queue.started;
        chosen.push_back(std::move(taken));
    }
    return chosen;
}

std::size_t admissionSlots(std::uint32_t batchLimit, std::uint32_t runningThere)
{
    const auto usable = std::max(1U, batchLimit);
    return usable > runningThere ? usable - runningThere : 0;
}

bool remove(attempt_queue& queue, const std::string& attempt)
{
    const auto found = queue.accountOf.find(attempt);
    if (found == queue.accountOf.end()) {
        return false;
    }
    const auto name = found->second;
    auto& queued = queue.accounts.at(name).queued;
    const auto position = std::find_if(
        queued.begin(), queued.end(), [&attempt](const queued_attempt& q) { return q.attempt == attempt; });
    takeOut(queue, name, position);
    return true;
}

void onServiceReceived(attempt_queue& queue, const std::string& attempt, std::int64_t prefillTokens,
    std::int64_t completionTokens, time_point now)
{
    const auto found = queue.running.find(attempt);
    if (found == queue.running.end()) {
        return;
    }
    auto& run = found->second;
    const double got = costOf(queue.settings, prefillTokens, completionTokens);
    if (got <= run.got) {
        return;
    }
    const double more = got - run.got;
    run.got = got;
    measureRate(queue, more, now);
    if (!run.program.empty()) {
        queue.attained[run.program] += static_cast<std::int64_t>(more);
    }
    if (run.got > run.charged) {
        auto& account = queue.accounts.at(run.account);
        setCounter(queue, run.account, account, account.counter + run.got - run.charged);
        run.charged = run.got;
    }
}

void onAttemptEnded(attempt_queue& queue, const std::string& attempt)
{
    const auto found = queue.running.find(attempt);
    if (found == queue.running.end()) {
        return;
    }
    const auto run = found->second;
    queue.running.erase(found);
    auto& account = queue.accounts.at(run.account);
    --account.running;
    setCounter(queue, run.account, account, account.counter - (run.charged - run.got));
    forgetPrograms(queue);
    forgetIdleAccounts(queue);
}

std::vector<queued_attempt> expire(attempt_queue& queue, time_point now)
{
    std::vector<std::string> late;
    for (const auto& [counter, name] : queue.order) {
        for (const auto& attempt : queue.accounts.at(name).queued) {
            if (attempt.latestStart < now) {
                late.push_back(attempt.attempt);
            }
        }
    }
    std::vector<queued_attempt> taken;
    for (const auto& attempt : late) {
        const auto name = queue.accountOf.at(attempt);
        auto& queued = queue.accounts.at(name).queued;
        const auto position = std::find_if(
            queued.begin(), queued.end(), [&attempt](const queued_attempt& q) { return q.attempt == attempt; });
        taken.push_back(takeOut(queue, name, position));
        ++queue.expired;
    }
    return taken;
}

//------------------------------------------------------------------------------------------------------------------
// Naive version
//------------------------------------------------------------------------------------------------------------------

void push(fcfs_queue& queue, queued_attempt attempt)
{
    queue.queued.push_back(std::move(attempt));
}

std::vector<queued_attempt> next(fcfs_queue& queue, std::size_t slots)
{
    std::vector<queued_attempt> chosen;
    while (chosen.size() < slots && !queue.queued.empty()) {
        chosen.push_back(std::move(queue.queued.front()));
        queue.queued.pop_front();
    }
    return chosen;
}

} // namespace cuminledge::core::scheduling
