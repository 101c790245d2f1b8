#include "dump.hpp"

#include <json/value.h>

namespace cuminledge::core::sidecar {

namespace {

    constexpr Json::ArrayIndex maxDumpedAttempts = 200;

    Json::Value dumpAttempt(const attempt_entry& entry, time_point now)
    {
        Json::Value value(Json::objectValue);
        value["attempt"] = entry.start.attempt;
        value["account"] = entry.start.account;
        value["program"] = entry.start.program;
        value["turn"] = entry.start.turn;
        value["call"] = entry.start.call;
        value["phase"] = toString(entry.phase);
        value["gateway"] = entry.gateway;
        value["suspect"] = entry.start.suspect;
        value["age_ms"] = Json::Int64(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.arrivedAt).count());
        value["answer_bytes"] = Json::UInt64(entry.text.size());
        return value;
    }

    Json::Value dumpCounters(const sidecar_counters& counters)
    {
        Json::Value value(Json::objectValue);
        value["attempts_taken"] = Json::UInt64(counters.attemptsTaken);
        value["attempts_doubled"] = Json::UInt64(counters.attemptsDoubled);
        value["attempts_refused"] = Json::UInt64(counters.attemptsRefused);
        value["attempts_done"] = Json::UInt64(counters.attemptsDone);
        value["attempts_failed"] = Json::UInt64(counters.attemptsFailed);
        value["attempts_cancelled"] = Json::UInt64(counters.attemptsCancelled);
        value["backend_deaths"] = Json::UInt64(counters.backendDeaths);
        value["stray_messages"] = Json::UInt64(counters.strayMessages);
        return value;
    }

} // namespace

std::string dumpState(const context& c)
{
    const auto& state = c.state;
    Json::Value value(Json::objectValue);
    value["role"] = "sidecar";
    value["name"] = state.identity.name;
    value["incarnation"] = Json::UInt64(state.identity.incarnation);
    value["backend"] = state.settings.backend;
    value["backend_up"] = state.health.up;
    value["engine_incarnation"] = Json::UInt64(state.health.incarnation);
    value["announced"] = state.announcement.accepted;
    value["leaving"] = state.announcement.leaving;
    value["drain_ordered"] = state.announcement.drainOrdered;
    value["fencing_number"] = Json::UInt64(state.announcement.fencingNumber);
    value["running"] = Json::UInt64(state.running.size());
    value["waiting"] = Json::UInt64(state.queue.queuedCount);
    value["suspects_waiting"] = Json::UInt64(state.suspects.size());
    value["attempts_held"] = Json::UInt64(state.attempts.size());
    value["attempts_closed"] = Json::UInt64(state.closed.size());
    value["history_programs"] = Json::UInt64(state.histories.programs.size());
    value["history_bytes"] = Json::UInt64(state.histories.bytes);
    value["cache_pins"] = Json::UInt64(state.pins.pins.size());
    value["cache_tokens_held"] = Json::Int64(state.pins.heldTokens);
    value["attempts"] = Json::Value(Json::arrayValue);
    for (const auto& [attempt, entry] : state.attempts) {
        if (value["attempts"].size() == maxDumpedAttempts) {
            break;
        }
        if (entry.phase != attempt_phase::Finished) {
            value["attempts"].append(dumpAttempt(entry, c.now));
        }
    }
    value["counters"] = dumpCounters(state.counters);
    return writeJson(value);
}

} // namespace cuminledge::core::sidecar
