#include <core/limits/load_board.hpp>

#include <algorithm>
#include <cmath>

namespace cuminledge::core::limits {

namespace {

    /// Of a report; more can't be under way.
    constexpr std::uint32_t maxRequests = 100'000;

    void addRequests(load_board& board, const gateway_report& report)
    {
        for (const auto& [server, requests] : report.requests) {
            const auto engine = board.engines.find(server);
            if (engine != board.engines.end()) {
                engine->second.requests += requests;
            }
        }
    }

    void removeRequests(load_board& board, const gateway_report& report)
    {
        for (const auto& [server, requests] : report.requests) {
            const auto engine = board.engines.find(server);
            if (engine != board.engines.end()) {
                engine->second.requests -= std::min(requests, engine->second.requests);
            }
        }
    }

    void removeLostGateways(load_board& board, time_point now)
    {
        for (auto it = board.gateways.begin(); it != board.gateways.end();) {
            if (now - it->second.polledAt < board.settings.gatewayTimeout) {
                ++it;
                continue;
            }
            removeRequests(board, it->second);
            it = board.gateways.erase(it);
        }
    }

    void takeTimes(load_board& board, const std::vector<wire::server_time>& times)
    {
        for (const auto& time : times) {
            const auto engine = board.engines.find(time.server);
            if (engine == board.engines.end() || time.time.count() <= 0) {
                continue;
            }
            auto& known = engine->second.requestMs;
            const auto measured = static_cast<double>(time.time.count());
            known = known == 0 ? measured : known + board.settings.timeWeight * (measured - known);
        }
    }

    std::map<std::string, double> meanTimes(const load_board& board)
    {
        std::map<std::string, std::pair<double, int>> sums;
        for (const auto& [id, engine] : board.engines) {
            if (engine.requestMs > 0) {
                auto& [sum, count] = sums[engine.service];
                sum += engine.requestMs;
                ++count;
            }
        }
        std::map<std::string, double> means;
        for (const auto& [service, sum] : sums) {
            means[service] = sum.first / sum.second;
        }
        return means;
    }

} // namespace

void setEngines(load_board& board, const std::map<std::string, shared_engine>& engines)
{
    std::erase_if(board.engines, [&engines](const auto& entry) { return !engines.contains(entry.first); });
    for (const auto& [id, engine] : engines) {
        auto& known = board.engines[id];
        known.service = engine.service;
        known.places = engine.places;
        known.requests = 0;
    }
    for (const auto& [name, report] : board.gateways) {
        addRequests(board, report);
    }
}

void recordReport(load_board& board, const std::string& gateway, const wire::config_poll& poll, time_point now)
{
    removeLostGateways(board, now);
    auto& report = board.gateways[gateway];
    removeRequests(board, report);
    report.polledAt = now;
    report.requests.clear();
    report.waiting.clear();
    for (const auto& [server, requests] : poll.serverRequests) {
        report.requests[server] = std::min(requests, maxRequests);
    }
    for (const auto& [service, waiting] : poll.waitingRequests) {
        report.waiting[service] = std::min(waiting, maxRequests);
    }
    addRequests(board, report);
    takeTimes(board, poll.serverTimes);
    recordPrefixes(board.prefixes, poll.prefixRequests, now);
}

std::vector<wire::server_requests> requestsOfOthers(const load_board& board, const std::string& gateway)
{
    const auto own = board.gateways.find(gateway);
    std::vector<wire::server_requests> requests;
    for (const auto& [id, engine] : board.engines) {
        auto others = engine.requests;
        if (own != board.gateways.end()) {
            const auto reported = own->second.requests.find(id);
            others -= reported == own->second.requests.end() ? 0 : std::min(reported->second, others);
        }
        if (others != 0) {
            requests.push_back({ id, others });
        }
    }
    return requests;
}

std::vector<wire::service_load> measureLoads(const load_board& board)
{
    struct totals {
        double places = 0;
        double requests = 0;
    };
    std::map<std::string, totals> services;
    for (const auto& [id, engine] : board.engines) {
        auto& service = services[engine.service];
        service.places += engine.places;
        service.requests += engine.requests;
    }
    for (const auto& [name, report] : board.gateways) {
        for (const auto& [service, waiting] : report.waiting) {
            services[service].requests += waiting;
        }
    }
    std::vector<wire::service_load> loads;
    for (const auto& [name, service] : services) {
        if (service.places > 0) {
            loads.push_back({ name, service.requests / service.places });
        }
    }
    return loads;
}

std::vector<wire::server_time> unusualTimes(const load_board& board)
{
    const double factor = board.settings.unusualFactor;
    const auto means = meanTimes(board);
    std::vector<wire::server_time> times;
    for (const auto& [id, engine] : board.engines) {
        if (engine.requestMs <= 0) {
            continue;
        }
        const double mean = means.at(engine.service);
        if (engine.requestMs > mean * factor || engine.requestMs * factor < mean) {
            times.push_back({ id, std::chrono::milliseconds(std::llround(engine.requestMs)) });
        }
    }
    return times;
}

} // namespace cuminledge::core::limits
