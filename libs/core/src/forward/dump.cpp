#include "dump.hpp"

#include <base/json.hpp>

namespace cuminledge::core::forward {

namespace {

    Json::Value describeServers(const context& c)
    {
        Json::Value servers(Json::arrayValue);
        for (const auto& [id, entry] : c.state.servers.servers) {
            Json::Value server(Json::objectValue);
            server["id"] = id;
            server["address"] = entry.record.address;
            server["service"] = entry.record.service;
            server["failure_domain"] = entry.record.failureDomain;
            server["software_version"] = entry.record.softwareVersion;
            server["draining"] = entry.record.draining;
            server["gone"] = entry.isGone;
            server["in_flight"] = entry.inFlight;
            server["others_in_flight"] = entry.othersInFlight;
            server["request_ms"] = entry.time.value;
            server["failures"] = entry.failures;
            server["avoided"] = c.now < entry.avoidUntil;
            server["requests_per_s"] = entry.allowance.isLimited ? Json::Value(entry.allowance.requestsPerSecond) : Json::Value();
            server["known_tokens"] = Json::Int64(entry.promptCache.tokens);
            servers.append(server);
        }
        return servers;
    }

    Json::Value describeServices(const context& c)
    {
        Json::Value services(Json::arrayValue);
        for (const auto& [name, times] : c.state.servers.times) {
            Json::Value service(Json::objectValue);
            service["service"] = name;
            service["request_ms"] = times.request.value;
            service["stream_events"] = times.events.value;
            const auto load = c.state.room.loads.find(name);
            service["load"] = load == c.state.room.loads.end() ? Json::Value() : Json::Value(load->second);
            const auto queue = c.state.room.queues.find(name);
            const bool isKnown = queue != c.state.room.queues.end();
            service["waiting"] = Json::UInt64(isKnown ? queue->second.calls.size() : 0);
            service["wait_ms"] = isKnown ? queue->second.wait.value : 0;
            services.append(service);
        }
        return services;
    }

    Json::Value describeCrashes(const context& c)
    {
        Json::Value crashes(Json::objectValue);
        crashes["records"] = Json::UInt64(c.state.crashes.quarantine.records.size());
        crashes["checks"] = Json::Value(Json::arrayValue);
        for (const auto& [start, check] : c.state.crashes.checks) {
            Json::Value entry(Json::objectValue);
            entry["server"] = start.server;
            entry["incarnation"] = Json::UInt64(start.incarnation);
            entry["step"] = toString(check.step);
            entry["suspects"] = Json::UInt64(check.suspects.size());
            crashes["checks"].append(entry);
        }
        return crashes;
    }

    Json::Value describeCalls(const context& c)
    {
        Json::Value calls(Json::arrayValue);
        for (const auto& [exchange, call] : c.state.calls) {
            Json::Value entry(Json::objectValue);
            entry["request"] = call.request.attempt;
            entry["route"] = call.route.name;
            entry["account"] = call.account;
            entry["step"] = toString(call.step);
            entry["age_ms"] = Json::Int64(age(c, call).count());
            entry["server"] = call.server;
            entry["sends"] = call.sends;
            entry["has_caller"] = call.hasCaller;
            entry["caller_blocked"] = call.isCallerBlocked;
            entry["held_bytes"] = Json::UInt64(call.accountedBytes);
            calls.append(entry);
        }
        return calls;
    }

    Json::Value describeCounters(const forwarder_counters& counters)
    {
        Json::Value value(Json::objectValue);
        value["requests"] = Json::UInt64(counters.requests);
        value["refused"] = Json::UInt64(counters.refused);
        value["programs_turned_away"] = Json::UInt64(counters.newProgramsRefused);
        value["confirmations"] = Json::UInt64(counters.confirmations);
        value["rate_retries"] = Json::UInt64(counters.rateRetries);
        value["answered"] = Json::UInt64(counters.answered);
        value["broken"] = Json::UInt64(counters.broken);
        value["callers_gone"] = Json::UInt64(counters.callersGone);
        value["sends"] = Json::UInt64(counters.sends);
        value["not_run"] = Json::UInt64(counters.notRun);
        value["lost"] = Json::UInt64(counters.lost);
        value["resumed"] = Json::UInt64(counters.resumed);
        value["room_waits"] = Json::UInt64(counters.roomWaits);
        value["programs_overloaded"] = Json::UInt64(counters.programsOverloaded);
        value["chains_cached"] = Json::UInt64(counters.chainsCached);
        value["chains_read"] = Json::UInt64(counters.chainsRead);
        value["chains_held"] = Json::UInt64(counters.chainsHeld);
        value["expired"] = Json::UInt64(counters.expired);
        value["stray_messages"] = Json::UInt64(counters.strayMessages);
        return value;
    }

} // namespace

std::string dumpState(const context& c)
{
    const auto& state = c.state;
    Json::Value dump(Json::objectValue);
    dump["name"] = state.identity.name;
    dump["ready"] = state.isReady;
    dump["routes_version"] = Json::UInt64(state.configuration.table.version);
    dump["configuration_age_ms"] = Json::Int64(
        std::chrono::duration_cast<std::chrono::milliseconds>(c.now - state.configuration.confirmedAt).count());
    dump["cached_turn_bytes"] = Json::UInt64(state.turns.bytes);
    dump["held_answer_bytes"] = Json::UInt64(state.heldAnswerBytes);
    dump["hedges"]["sent"] = Json::UInt64(state.hedging.counters.sent);
    dump["hedges"]["won"] = Json::UInt64(state.hedging.counters.won);
    dump["hedges"]["without_budget"] = Json::UInt64(state.hedging.counters.withoutBudget);
    dump["services"] = describeServices(c);
    dump["evacuated_domains"] = Json::arrayValue;
    for (const auto& domain : state.servers.evacuatedDomains) {
        dump["evacuated_domains"].append(domain);
    }
    dump["servers"] = describeServers(c);
    dump["crashes"] = describeCrashes(c);
    dump["calls"] = describeCalls(c);
    dump["counters"] = describeCounters(state.counters);
    return writeJson(dump);
}

} // namespace cuminledge::core::forward
