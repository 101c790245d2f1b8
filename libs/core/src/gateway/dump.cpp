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

    Json::Value dumpConfiguration(const context& c)
    {
        const auto& configuration = c.state.configuration;
        Json::Value value(Json::objectValue);
        value["lease_held"] = holdsConfiguration(c);
        value["lease_left_ms"] = millisecondsUntil(configuration.leaseUntil, c.now);
        value["manifest_number"] = Json::UInt64(configuration.manifestNumber);
        value["keys"] = Json::UInt64(configuration.keys.size());
        value["key_revision"] = Json::UInt64(configuration.keyRevision);
        value["groups"] = configuration.groupCount;
        value["quarantine"] = Json::Value(Json::arrayValue);
        for (const auto& [fingerprint, record] : configuration.quarantine) {
            Json::Value each(Json::objectValue);
            each["fingerprint"] = fingerprint;
            each["account"] = record.account;
            each["deaths"] = record.deaths;
            each["quarantined"] = record.quarantined;
            value["quarantine"].append(std::move(each));
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

    Json::Value dumpCall(const call& subject, time_point now)
    {
        Json::Value value(Json::objectValue);
        value["request_id"] = subject.requestId;
        value["account"] = subject.account;
        value["kind"] = toString(subject.kind);
        value["step"] = toString(subject.step);
        value["age_ms"] = -millisecondsUntil(subject.receivedAt, now);
        value["program"] = subject.program;
        value["turn"] = subject.turn;
        value["call"] = subject.callId;
        value["attempt"] = subject.run.attempt;
        value["backend"] = subject.run.backend;
        value["attempts_made"] = subject.attemptsMade;
        value["caller_waits"] = subject.exchange != 0;
        return value;
    }

    Json::Value dumpCounters(const gateway_counters& counters)
    {
        Json::Value value(Json::objectValue);
        value["calls_taken"] = Json::UInt64(counters.callsTaken);
        value["calls_answered"] = Json::UInt64(counters.callsAnswered);
        value["calls_refused"] = Json::UInt64(counters.callsRefused);
        value["callers_gone"] = Json::UInt64(counters.callersGone);
        value["attempts_started"] = Json::UInt64(counters.attemptsStarted);
        value["attempts_retried"] = Json::UInt64(counters.attemptsRetried);
        value["lookups"] = Json::UInt64(counters.lookups);
        value["chunks_doubled"] = Json::UInt64(counters.chunksDoubled);
        value["chunks_missing"] = Json::UInt64(counters.chunksMissing);
        value["stray_messages"] = Json::UInt64(counters.strayMessages);
        value["keys_withdrawn"] = Json::UInt64(counters.keysWithdrawn);
        return value;
    }

} // namespace

std::string dumpState(const context& c)
{
    Json::Value value(Json::objectValue);
    value["role"] = "gateway";
    value["name"] = c.state.identity.name;
    value["incarnation"] = Json::UInt64(c.state.identity.incarnation);
    value["ready"] = c.state.ready;
    value["configuration"] = dumpConfiguration(c);
    value["backends"] = Json::Value(Json::arrayValue);
    for (const auto& [id, entry] : c.state.backends) {
        value["backends"].append(dumpBackend(entry));
    }
    value["calls_under_way"] = Json::UInt64(c.state.calls.size());
    value["calls"] = Json::Value(Json::arrayValue);
    for (const auto& [id, subject] : c.state.calls) {
        if (value["calls"].size() == maxDumpedCalls) {
            break;
        }
        value["calls"].append(dumpCall(subject, c.now));
    }
    value["controller_requests"] = Json::UInt64(c.state.controllers.pending.size());
    value["known_programs"] = Json::UInt64(c.state.programs.size());
    value["counters"] = dumpCounters(c.state.counters);
    return writeJson(value);
}

} // namespace cuminledge::core::gateway
