#include "dump.hpp"

#include <json/value.h>

#include "authentication.hpp"

namespace cuminledge::core::gateway {

namespace {

    constexpr Json::ArrayIndex maxDumpedCalls = 200;

    Json::Int64 millisecondsUntil(time_point moment, time_point now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(moment - now).count();
    }

    Json::Value dumpConfiguration(const gateway_context& context)
    {
        const auto& configuration = context.state.configuration;
        Json::Value value(Json::objectValue);
        value["lease_held"] = holdsConfiguration(context);
        value["lease_left_ms"] = millisecondsUntil(configuration.leaseUntil, context.now);
        value["manifest_number"] = Json::UInt64(configuration.manifestNumber);
        value["keys"] = Json::UInt64(configuration.keys.size());
        value["key_revision"] = Json::UInt64(configuration.keyRevision);
        value["groups"] = configuration.groupCount;
        value["quarantine"] = Json::Value(Json::arrayValue);
        for (const auto& [fingerprint, record] : configuration.quarantine.records) {
            Json::Value entry(Json::objectValue);
            entry["fingerprint"] = fingerprint;
            entry["account"] = record.account;
            entry["deaths"] = record.deaths;
            entry["quarantined"] = record.quarantined;
            value["quarantine"].append(std::move(entry));
        }
        return value;
    }

    Json::Value dumpBackend(const backend_entry& entry)
    {
        Json::Value value(Json::objectValue);
        value["backend"] = entry.record.backend;
        value["sidecar"] = entry.record.sidecar;
        value["address"] = entry.record.sidecarAddress;
        value["incarnation"] = Json::UInt64(entry.record.incarnation);
        value["announced"] = entry.announced;
        value["connected"] = entry.connected;
        value["draining"] = entry.record.draining;
        value["in_flight"] = entry.inFlight;
        value["running"] = entry.load.running;
        value["waiting"] = entry.load.waiting;
        return value;
    }

    Json::Value dumpCall(const gateway_call& call, time_point now)
    {
        Json::Value value(Json::objectValue);
        value["request_id"] = call.requestId;
        value["account"] = call.account;
        value["kind"] = toString(call.kind);
        value["step"] = toString(call.step);
        value["age_ms"] = -millisecondsUntil(call.receivedAt, now);
        value["program"] = call.program;
        value["turn"] = call.turn;
        value["call"] = call.callId;
        value["attempt"] = call.attempt.id;
        value["backend"] = call.attempt.backend;
        value["attempts_made"] = call.attemptsMade;
        value["caller_waits"] = call.exchange != 0;
        return value;
    }

    Json::Value dumpCounters(const gateway_counters& counters)
    {
        Json::Value value(Json::objectValue);
        value["calls_taken"] = Json::UInt64(counters.callsAccepted);
        value["calls_answered"] = Json::UInt64(counters.callsAnswered);
        value["calls_refused"] = Json::UInt64(counters.callsRefused);
        value["callers_gone"] = Json::UInt64(counters.callersDisconnected);
        value["attempts_started"] = Json::UInt64(counters.attemptsStarted);
        value["attempts_retried"] = Json::UInt64(counters.attemptsRetried);
        value["lookups"] = Json::UInt64(counters.lookups);
        value["chunks_doubled"] = Json::UInt64(counters.duplicateChunks);
        value["chunks_missing"] = Json::UInt64(counters.missingChunks);
        value["stray_messages"] = Json::UInt64(counters.strayMessages);
        value["keys_withdrawn"] = Json::UInt64(counters.keysWithdrawn);
        return value;
    }

} // namespace

std::string dumpState(const gateway_context& context)
{
    Json::Value value(Json::objectValue);
    value["role"] = "gateway";
    value["name"] = context.state.identity.name;
    value["incarnation"] = Json::UInt64(context.state.identity.incarnation);
    value["ready"] = context.state.ready;
    value["configuration"] = dumpConfiguration(context);
    value["backends"] = Json::Value(Json::arrayValue);
    for (const auto& [id, entry] : context.state.backends) {
        value["backends"].append(dumpBackend(entry));
    }
    value["calls_under_way"] = Json::UInt64(context.state.calls.size());
    value["calls"] = Json::Value(Json::arrayValue);
    for (const auto& [id, call] : context.state.calls) {
        if (value["calls"].size() == maxDumpedCalls) {
            break;
        }
        value["calls"].append(dumpCall(call, context.now));
    }
    value["controller_requests"] = Json::UInt64(context.state.controllers.pending.size());
    value["known_programs"] = Json::UInt64(context.state.knownPrograms.size());
    value["counters"] = dumpCounters(context.state.counters);
    return writeJson(value);
}

} // namespace cuminledge::core::gateway
